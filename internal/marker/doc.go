// Package marker gives each event of a streamed answer an id that names its
// place, so that a caller whose connection broke can ask for the rest of the
// same answer.
//
// It works on bytes alone: no I/O, no goroutines. A Marker is for one stream and
// one goroutine.
package marker
