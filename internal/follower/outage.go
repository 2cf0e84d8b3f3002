package follower

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// firstPause and longestPause bound the time between two reads of a store
	// that fails. The longest one is well under the time in which a change has
	// to be in force after the store is back.
	firstPause   = 60 * timekeeper.Millisecond
	longestPause = 600 * timekeeper.Millisecond
	// outage is how long the store must have failed for rows that are missing
	// afterwards to count as lapsed: shorter gaps make no row lapse. sharedOutage is the
	// same where others found it failing: what they last confirmed may be a second old.
	outage       = timekeeper.Second
	sharedOutage = 2 * timekeeper.Second
)

func (follower *Follower[T]) failed(err error, now timekeeper.Instant) timekeeper.Span {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	if follower.failing == 0 {
		follower.failing = now
		follower.settings.Log.WithFields(logrus.Fields{
			"table": follower.settings.Name, "cause": err.Error(), "version": uint64(follower.version),
		}).Warn("store lost")
	}
	follower.pause = min(max(firstPause, 2*follower.pause), longestPause)
	return timekeeper.Span(float64(follower.pause) * (0.5 + follower.draws.Float64()/2))
}

// recovered notes that the store answered, and what to think of rows that are missing
// since; the lock must be held.
func (follower *Follower[T]) recovered(doubted bool, now timekeeper.Instant) {
	follower.pause = 0
	from, away := follower.outageBegan(doubted, now)
	if away {
		back := now
		if served := follower.settings.ServingOthersSince(from); served != 0 {
			back = min(back, served)
		}
		follower.lenient, follower.settles = back.Add(follower.settings.Lapse), now.Add(settling)
		follower.keepLapsing()
	}
	if follower.failing == 0 {
		return
	}
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "away-ms": int64(now.Since(follower.failing)), "outage": away,
	}).Info("store regained")
	follower.failing = 0
}

// keepLapsing keeps rows that are missing already for as long as others, since the store
// may have been back for a moment only; the lock must be held.
func (follower *Follower[T]) keepLapsing() {
	for key, due := range follower.lapsing {
		follower.lapsing[key] = max(due, follower.lenient)
	}
}

// outageBegan returns since when the store may have been away for all, and whether that
// is long enough for rows to have lapsed; the lock must be held. A process that leaves the
// reading to others may never have failed itself, so it is enough that anyone found the
// store failing since the copy was last known to be the table's. OthersServed says where it
// was not away for all.
func (follower *Follower[T]) outageBegan(doubted bool, now timekeeper.Instant) (timekeeper.Instant, bool) {
	if follower.known && (doubted || follower.doubted > follower.fresh) {
		return max(follower.fresh, follower.failing), now.Since(follower.fresh) >= sharedOutage
	}
	if follower.failing == 0 {
		return now, false
	}
	began := max(follower.failing, follower.fresh)
	return began, now.Since(began) >= outage
}

// Failing reports whether the store did not answer the last call.
func (follower *Follower[T]) Failing() bool {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	return follower.failing != 0
}
