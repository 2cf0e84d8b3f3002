package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// disputedFor is how long copies of one version must differ before a reader reads
	// everything: what is told of a change arrives within a digest or two, a second each.
	// Others wait twice as long, until readers agree.
	disputedFor = 3 * timekeeper.Second
	// disputeGap is within what time of each other two signs of it belong together.
	disputeGap = 2500 * timekeeper.Millisecond
	// settledFor is how long nothing is read again for it: where two builds of the program
	// count rows differently their copies differ for as long as both run.
	settledFor = 30 * timekeeper.Second
)

// dispute notes that another's copy is of the same version and different; the lock must
// be held. Rows that are kept though missing, or that were told of a newer version, make
// a difference that is none.
func (follower *Follower[T]) dispute(now timekeeper.Instant) {
	if len(follower.lapsing)+len(follower.told) > 0 {
		return
	}
	if now.Since(follower.differed) > disputeGap {
		follower.differs = now
	}
	follower.differed = now
}

// disputed reports whether copies of one version have differed for a span, so that one
// of them is wrong; the lock must be held. No change that is read later would correct it,
// so each side reads everything once.
func (follower *Follower[T]) disputed(now timekeeper.Instant, span timekeeper.Span) bool {
	if follower.settled != 0 && now.Since(follower.settled) < settledFor {
		return false
	}
	return follower.differed.Since(follower.differs) >= span && now.Since(follower.differed) <= disputeGap
}

// settle notes that everything has been read for a dispute; the lock must be held.
func (follower *Follower[T]) settle(now timekeeper.Instant) {
	if follower.differed != 0 {
		follower.differs, follower.differed, follower.settled = 0, 0, now
	}
}
