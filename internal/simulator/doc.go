// Package simulator plays entries before model engines in virtual time, to see
// what a decision does to callers under loads that no test machine could make.
//
// The decisions are the real ones of package balancer: each entry has a fleet of
// its own, and hears of the others as late as digests come. Engines follow the
// published behaviour of continuous batching: each step makes one token for each
// running request and reads a chunk of the prompts that wait, so reading slows
// all streams; a part that is cached, with all parts before it, is not read
// again; parts and requests share one memory, least recently used parts yield.
// Callers come at random times, want their first event within a target, leave
// after a while, and come back once when they are refused.
//
// Everything follows from a seed. A run of a site of today's size takes about a
// tenth of a second for ten seconds of traffic.
package simulator
