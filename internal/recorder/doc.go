// Package recorder keeps the fleet's own record, from which a regulator can
// check that each promise held.
//
// Each process writes events in sequence. Contents of calls never stand in the
// record, only their hashes.
//
// # Chain
//
// The records of one incarnation of a process are numbered from 1. Each record
// has a link: the SHA-256 sum of the link before it and the record's own bytes
// (Haber and Stornetta, "How to Time-Stamp a Digital Document", 1991). Whoever
// changes, drops or moves a record changes every link after it. The first link
// is derived from the origin, so a chain can't be passed off as another
// process's.
//
// # Segments
//
// Records are stored in segments, immutable objects named
//
//	record/<service, or "entry">/<name>/<incarnation>/<first sequence number>
//
// A segment is a magic line, the SHA-256 sum of the rest, and the rest: a
// header, one line for each record, and the last link, compressed by DEFLATE.
// A record's line carries the first eight bytes of its link, so that the
// verifier can name the first record that is wrong.
//
// # Loss
//
// Record never blocks. When its queue is full, events are counted, and a Gap
// event tells how many were lost. While the store is down, segments wait in
// memory up to a limit; then the oldest are dropped, and a Gap event tells
// their sequence numbers. What was lost is always declared by the same chain.
package recorder
