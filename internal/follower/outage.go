package follower

import (
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// minBackoff and maxBackoff bound the time between two reads of a failing store. The
	// maximum is well under the time within which a change must be in force after the store
	// is back.
	minBackoff = 60 * timekeeper.Millisecond
	maxBackoff = 600 * timekeeper.Millisecond
	// minOutage is how long the store must have failed for missing rows to count as lapsed:
	// in shorter outages no row lapses. minSharedOutage is the same if other processes
	// found the store failing: their last confirmation of the copy may be a second old.
	minOutage       = timekeeper.Second
	minSharedOutage = 2 * timekeeper.Second
	// minLateness is how late an answer must be to show an outage by itself: the store was
	// unresponsive for at least this time, and at most for the whole call, in which rows may
	// have lapsed.
	minLateness = 500 * timekeeper.Millisecond
)

// recordFailure records a failed call to the store and returns the backoff, with jitter. The
// store has been failing since the call should have been answered, if that is earlier: a call
// to an unresponsive store ends seconds later.
func (follower *Follower[T]) recordFailure(err error, due, now timekeeper.Instant) timekeeper.Span {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if follower.failingSince == 0 {
		follower.failingSince = min(now, due)
		follower.logger(follower.version).WithField("cause", err.Error()).Warn("store lost")
	}
	if eris.Is(err, errStale) {
		follower.logger(follower.version).WithField("cause", err.Error()).Warn("answer rejected")
	}
	follower.backoff = min(max(minBackoff, 2*follower.backoff), maxBackoff)
	return timekeeper.Span(float64(follower.backoff) * (0.5 + follower.random.Float64()/2))
}

// recordRecovery records that the store answered, and decides how long missing rows are
// kept; copyLock must be held.
func (follower *Follower[T]) recordRecovery(answer answer[T], failingElsewhere bool, now timekeeper.Instant) {
	follower.backoff = 0
	from, isOutage := follower.outageStart(failingElsewhere, now)
	if since, late := follower.lateAnswer(answer, now); late && !isOutage && !follower.servingOthers(now) {
		from, isOutage = since, true
	}
	if isOutage {
		follower.keepMissing(follower.settings.ServingOthersSince(from), now)
	}
	if follower.failingSince == 0 {
		return
	}
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "away-ms": int64(now.Since(follower.failingSince)), "outage": isOutage,
	}).Info("store regained")
	follower.failingSince = 0
}

// keepMissing keeps rows that are missing for a Lapse after an outage, which ended when the store began
// to serve others, or now if served is zero; copyLock must be held. Rows may have lapsed since the
// copy was last confirmed.
func (follower *Follower[T]) keepMissing(served, now timekeeper.Instant) {
	back := now
	if served != 0 {
		back = min(back, served)
	}
	if follower.outageFrom == 0 || now >= follower.keepUntil {
		follower.outageFrom = follower.confirmedAt
	}
	follower.keepUntil = max(follower.keepUntil, back.Add(follower.settings.Lapse))
	follower.fillingUntil = now.Add(fillTime)
	follower.extendLapsing()
}

// keepLapsing keeps a row that another process keeps since an outage. If this copy listed it before, that
// outage may have been none. copyLock must be held.
func (follower *Follower[T]) keepLapsing(key string, expiresAt timekeeper.Instant, listed bool, now timekeeper.Instant) {
	switch {
	case !listed:
		follower.certainUntil = max(follower.certainUntil, expiresAt)
	case !follower.outageUnverified(now):
		follower.outageFrom = follower.confirmedAt
	}
	follower.lapsing[key] = expiresAt
}

// outageUnverified reports whether rows are kept since an outage that may have been none; copyLock must be held.
func (follower *Follower[T]) outageUnverified(now timekeeper.Instant) bool {
	return follower.outageFrom != 0 && (len(follower.lapsing) > 0 || now < follower.keepUntil)
}

// mayHaveLapsed reports whether rows that another process's copy lacks may have lapsed since this copy was
// confirmed, and are not kept for that already; copyLock must be held.
func (follower *Follower[T]) mayHaveLapsed(servedSince, now timekeeper.Instant) bool {
	from := follower.confirmedAt
	if from == 0 || now.Since(from) < minSharedOutage || servedAllAlong(servedSince, from) {
		return false
	}
	return follower.outageFrom != from || now >= follower.keepUntil
}

// servedAllAlong reports whether the store has served processes without a gap since before an instant.
func servedAllAlong(servedSince, from timekeeper.Instant) bool {
	return servedSince != 0 && servedSince <= from.Add(noticeDelay)
}

// extendLapsing keeps rows that are missing already until keepUntil too, since the store
// may have been back for only a moment; copyLock must be held.
func (follower *Follower[T]) extendLapsing() {
	for key, expiresAt := range follower.lapsing {
		follower.lapsing[key] = max(expiresAt, follower.keepUntil)
	}
}

// verifyOutage drops the rows that are kept since an outage, if another process knows that the store has
// served without a gap since before: then it was this process that was cut off, and no row has lapsed.
// copyLock must be held.
func (follower *Follower[T]) verifyOutage(servedSince, now timekeeper.Instant) {
	if follower.outageFrom == 0 || !servedAllAlong(servedSince, follower.outageFrom) {
		return
	}
	follower.outageFrom, follower.keepUntil = 0, follower.certainUntil
	for key, expiresAt := range follower.lapsing {
		follower.lapsing[key] = min(expiresAt, follower.certainUntil)
	}
	if follower.removeExpired(now) {
		follower.apply()
	}
}

// outageStart returns since when the store may have been unavailable for all processes, and
// whether that is long enough for rows to have lapsed; copyLock must be held. A process
// that is not a reader may never have seen a failure itself, so a failure of any process
// since the copy was last confirmed counts. ServingOthersSince shows whether the store was
// unavailable for all.
func (follower *Follower[T]) outageStart(failingElsewhere bool, now timekeeper.Instant) (timekeeper.Instant, bool) {
	if follower.hasCopy && (failingElsewhere || follower.failedElsewhereAt > follower.confirmedAt) {
		return max(follower.confirmedAt, follower.failingSince), now.Since(follower.confirmedAt) >= minSharedOutage
	}
	if follower.failingSince == 0 {
		return now, false
	}
	began := max(follower.failingSince, follower.confirmedAt)
	return began, now.Since(began) >= minOutage
}

// lateAnswer reports whether the answer that has just arrived shows an outage by being late,
// and since when the store was unresponsive; copyLock must be held. An answer that follows a
// late one comes from a slow store; if it counted, missing rows would be kept for as long as
// the store is slow. Nor does it count while others are served: this process or its connection
// is slow.
func (follower *Follower[T]) lateAnswer(answer answer[T], now timekeeper.Instant) (timekeeper.Instant, bool) {
	if !answer.held {
		return now, false
	}
	slow := follower.lastLate
	follower.lastLate = now.Since(answer.due) >= minLateness
	since := max(answer.due, follower.confirmedAt)
	return since, !slow && now.Since(since) >= minLateness
}

// servingOthers reports whether the store has served other processes for a whole Lapse up to
// now, without a gap in which rows could have lapsed; copyLock must be held.
func (follower *Follower[T]) servingOthers(now timekeeper.Instant) bool {
	lapse := follower.settings.Lapse
	served := follower.settings.ServingOthersSince(now.Add(-lapse - noticeDelay - maxServedGap))
	return served != 0 && now.Since(served) >= lapse
}

// Failing reports whether the last call to the store failed.
func (follower *Follower[T]) Failing() bool {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	return follower.failingSince != 0
}
