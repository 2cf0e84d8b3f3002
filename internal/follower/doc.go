// Package follower keeps a copy of a table of the platform's store: it reads
// the whole once, then only what has changed.
//
// The copy never goes back: what is older than the version that is known is not
// taken. While the store is away the last copy stays. Rows that are missing when
// the store is back stay for a while, since those who write them need a moment
// to write them again.
package follower
