package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// mismatchTimeout is how long copies of one version must differ before a reader reads
	// the whole table: an update arrives within one or two digests, a second each. Other
	// processes wait twice as long, until the readers agree.
	mismatchTimeout = 3 * timekeeper.Second
	// maxMismatchGap is the maximum time between two observations of the same mismatch.
	maxMismatchGap = 2500 * timekeeper.Millisecond
	// rereadInterval is the minimum time between two reads of the whole table for a
	// mismatch: two builds of the program that compute checksums differently have different
	// copies for as long as both run.
	rereadInterval = 30 * timekeeper.Second
)

// recordMismatch records that another process's copy is of the same version but different;
// copyLock must be held. It ignores differences that are due to lapsed rows, or to rows of
// an update that is newer than the copy.
func (follower *Follower[T]) recordMismatch(now timekeeper.Instant) {
	if len(follower.lapsing)+len(follower.updateVersions) > 0 {
		return
	}
	if now.Since(follower.lastMismatch) > maxMismatchGap {
		follower.mismatchSince = now
	}
	follower.lastMismatch = now
}

// mismatched reports whether copies of one version have differed for a span, so that one of
// them is wrong; copyLock must be held. Later changes would not correct it, so each side
// reads the whole table once.
func (follower *Follower[T]) mismatched(now timekeeper.Instant, span timekeeper.Span) bool {
	if follower.lastReread != 0 && now.Since(follower.lastReread) < rereadInterval {
		return false
	}
	return follower.lastMismatch.Since(follower.mismatchSince) >= span && now.Since(follower.lastMismatch) <= maxMismatchGap
}

// recordReread records a read of the whole table, which ends a mismatch; copyLock must be
// held.
func (follower *Follower[T]) recordReread(now timekeeper.Instant) {
	if follower.lastMismatch != 0 {
		follower.mismatchSince, follower.lastMismatch, follower.lastReread = 0, 0, now
	}
}
