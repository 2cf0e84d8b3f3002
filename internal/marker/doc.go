// Package marker adds an id with a byte offset to each event of a streamed answer,
// so that a caller whose connection broke can request the rest of the answer.
//
// The package does no I/O and starts no goroutines. A Marker is for one stream and
// is not safe for concurrent use.
package marker
