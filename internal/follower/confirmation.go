package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// FromStore is the origin of a confirmation by an answer of the store to this process.
const FromStore = "store"

// Confirmation is the word that a copy matched the table at an instant. The zero value means that
// there has been none.
type Confirmation struct {
	At timekeeper.Instant
	// From is FromStore, or the name of the process that the store answered.
	From string
}

// LastConfirmation returns the newest confirmation of the copy.
func (follower *Follower[T]) LastConfirmation() Confirmation {
	if confirmation := follower.confirmation.Load(); confirmation != nil {
		return *confirmation
	}
	return Confirmation{}
}

// confirm records a confirmation unless a newer one is known; copyLock must be held.
func (follower *Follower[T]) confirm(confirmation Confirmation) {
	if confirmation.At > follower.confirmedAt {
		follower.confirmedAt = confirmation.At
		follower.confirmation.Store(&confirmation)
		follower.recordFresh(confirmation)
	}
}
