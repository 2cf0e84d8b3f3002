// Package connector carries one HTTP/1.1 exchange at a time over kept
// connections to replicas.
//
// net/http writes the request and reads the answer; the connections are kept
// here, not by its Transport, because three things must be certain that the
// Transport leaves open. It sends a request again by itself on a kept
// connection that turns out to be dead, so a request might run twice. It takes
// whatever bytes come first on a kept connection as the answer, so an answer
// that nobody waits for would go to the wrong caller. And it opens a second
// connection while a first is on its way, while a replica resets connections
// over its limit.
//
// An exchange says how far it got: Unsent means that no byte of the request
// left this process, and only then is it certain that nothing ran.
package connector
