// Package replayer keeps one answer of an upstream while it is relayed, and
// for a while after: who reads it may stop, come back and go on where it was.
//
// An Answer stands between the goroutine that reads it from the upstream and
// those that relay it. It bounds what waits for a reader, so that flow control
// reaches from a slow caller to the upstream, and what is kept behind a reader.
package replayer
