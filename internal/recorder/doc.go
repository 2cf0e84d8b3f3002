// Package recorder keeps the fleet's own record, from which a regulator can
// check that each promise held.
//
// Each process records its events in sequence. The record never holds the
// contents of calls, only their hashes.
//
// # Chain
//
// The records of one incarnation of a process are numbered from 1. Each record
// has a link: the SHA-256 sum of the previous link and the record's own bytes
// (Haber and Stornetta, "How to Time-Stamp a Digital Document", 1991). Changing,
// dropping or moving a record changes every link after it. The first link is
// derived from the origin, so a chain can't be presented as another process's.
//
// # Segments
//
// Records are stored in segments, immutable objects named
//
//	record/<service, "entry" or "operator">/<name>/<incarnation>/<first sequence number>
//
// A segment is a magic line, the SHA-256 sum of the rest, and the rest: a
// header, one line for each record, and the last link, compressed by DEFLATE.
// Each record's line starts with the first eight bytes of its link, so that the
// verifier can identify the first wrong record.
//
// # Loss
//
// Record never blocks. When its queue is full, it drops and counts events, and a
// Gap event holds the count. While the store is down, segments wait in memory up
// to a limit; past it the recorder drops the oldest, and a Gap event holds their
// sequence numbers. The chain that lost records always declares the loss.
package recorder
