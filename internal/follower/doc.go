// Package follower keeps a copy of a table of the platform's store: it reads the whole
// table once, and from then on only the changes.
//
// Of many processes only a few, the readers, read the table and publish what they find: an
// Update holds what a read has changed, a Summary the version and the checksum of a
// reader's copy. A process whose checksum matches has a copy of that version; one whose
// checksum differs fetches a reader's copy. A process that receives no matching summary for
// a while reads for itself.
//
// The copy never goes back: answers older than its version are rejected. While the store is
// unavailable the last copy stays. Rows that are missing after an outage stay for a while,
// since their writers need a moment to write them again.
//
// The store may come back from a copy of its own that is some seconds old, in a later era. Its
// versions are then newer although their numbers are lower, its changes do not follow from the
// copy, and the whole table is read anew.
package follower
