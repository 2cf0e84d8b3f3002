// Package follower keeps a copy of a table of the platform's store: it reads
// the whole once, then only what has changed.
//
// Of many processes only a few read and tell the others: News is what a reading
// changed, a Listing the version and the checksum of a reader's copy. Who has the same
// checksum has a copy of that version; who has not fetches one. Each still reads for
// itself when it hears nothing for a while.
//
// The copy never goes back: what is older than the version that is known is not
// taken. While the store is away the last copy stays. Rows that are missing when
// the store is back stay for a while, since those who write them need a moment
// to write them again.
package follower
