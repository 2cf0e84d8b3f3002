// Package dialer keeps one yamux session to each peer and opens streams on it.
//
// A session is dialled when the first stream is opened and dropped when it breaks;
// the next stream dials again. All streams to a peer share the session's TCP
// connection, and each has its own flow-control window, so that one slow caller
// doesn't block the others.
package dialer
