// Package simulator is a discrete-event simulation of entries in front of model
// engines. It shows how placement decisions affect callers under loads that no
// test machine could generate.
//
// Placement is the real code of package balancer: each entry has its own fleet
// and receives digests of its peers with a delay. Engines follow the published
// behaviour of continuous batching: each step generates one token for each
// running request and prefills a chunk of the pending prompts, so prefill slows
// all streams. A part that is cached together with all parts before it is not
// prefilled again. Cached parts and requests share one memory; the least recently
// used parts are evicted. Callers arrive at random times, expect their first event
// within a target, leave after a timeout, and retry once when they are refused.
//
// A run is determined by its seed. A run of a site of the current size takes about
// a tenth of a second for ten seconds of traffic.
package simulator
