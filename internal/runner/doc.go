// Package runner is the agent: the one process that talks to an upstream instance.
//
// It accepts yamux sessions from entries and other agents. A stream that opens with an
// Offer is a call: the controller (package admitter) grants, queues or refuses it, and the
// Run frame commits it. The agent buffers the upstream's answer while relaying it, so that
// a caller whose connection broke can resume.
//
// Lock order: Agent.mu before the lock of a replayer.Answer; neither is held during I/O.
package runner
