// Package resumer finds out where a stream began, for a caller that takes it up at another entry.
//
// Replicas of several software versions may serve side by side, and a stream may go on only at the
// version that began it. A caller names the try that began the stream, not the version. So each
// entry keeps a Record of the streams that it began, and before it forwards the first event it
// sends the record to a few peers, chosen by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998). The entry that gets the caller back asks the
// peers that it would have chosen. All entries choose alike, but for those that have just joined or
// left.
//
// A record is only ever right or missing: an entry that finds none goes on at a version only where
// no other can have begun the stream. That is so if the service has had replicas of one version
// only, for longer than streams last, as this entry or one that it asked has seen (History), and all
// that it asked have answered. Otherwise the stream has to be refused. Lost, late and repeated messages, dead or frozen peers and
// entries that don't know each other thus cost resumptions, and join no streams.
//
// Records are kept for as long as the caller may come back, and their number is bounded.
package resumer
