// Package forwarder implements the entry: the HTTP front end that callers reach.
//
// It authenticates the team, classifies the call, ranks candidate replicas, offers
// the call to their agents one after the other, and relays the answer as it
// arrives. It keeps no durable state.
//
// A call that must run at most once is tried at another replica only if nothing of
// it has run: the agent refused it, could not be reached before the Run frame was
// sent, or has left a tombstone for it. An idempotent call is also tried elsewhere
// after OutcomeUnknown (as when its connection was lost and the agent can't say what
// became of it), as long as nothing was written to the caller.
package forwarder
