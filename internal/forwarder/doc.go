// Package forwarder is the entry: the HTTP front that callers reach.
//
// It authenticates the team, classifies the call, ranks candidate replicas,
// offers the call to their agents one after the other, and relays the answer
// as it arrives. It keeps nothing that must last.
//
// A call is tried elsewhere only when nothing of it has run: when the agent
// refused it, could not be reached before the Run frame was sent, or has left
// a tombstone for it.
package forwarder
