// Package replayer buffers an answer of an upstream while it is relayed and for
// some time after, so that a reader can stop and later resume at the same offset.
//
// An Answer connects the goroutine that reads the answer from the upstream to those
// that relay it. It limits the unread bytes, so that a slow caller slows down the
// upstream, and the bytes that it retains behind a reader.
package replayer
