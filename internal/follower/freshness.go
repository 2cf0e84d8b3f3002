package follower

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Bound is the time within which a process that reaches the store, or another process that does,
// must know a change, counted from the store's answer to its writer. Zero means that there is none.
//
// The waits on the way are shares of it: a copy that was not confirmed for MaxAge is refreshed, by
// the store and by other processes at once, and two attempts of each way end within the rest.
type Bound timekeeper.Span

// MaxAge is how long ago the copy may have been confirmed before the process refreshes it.
func (bound Bound) MaxAge() timekeeper.Span { return timekeeper.Span(bound) * 3 / 5 }

// Wait is how long the store may hold a read: the copies that its answers confirm are then
// within MaxAge at other processes too.
func (bound Bound) Wait() timekeeper.Span { return timekeeper.Span(bound) / 2 }

// Attempt is how long one attempt to refresh the copy may take.
func (bound Bound) Attempt() timekeeper.Span { return timekeeper.Span(bound) * 3 / 25 }

// PeerAttempt is how long an attempt with other processes may take. Those with the store go on
// meanwhile.
func (bound Bound) PeerAttempt() timekeeper.Span { return timekeeper.Span(bound) / 4 }

// check is the time between two checks of the age.
func (bound Bound) check() timekeeper.Span { return timekeeper.Span(bound) / 20 }

// maxPause is the longest time between two attempts.
func (bound Bound) maxPause() timekeeper.Span { return timekeeper.Span(bound) / 4 }

// maxAgeJitter is the share of MaxAge by which processes refresh earlier, so that the first one to
// be served can confirm the copies of others.
const maxAgeJitter = 0.2

// failingFactor is by how much rarer stale processes ask the store while others find it failing.
const failingFactor = 4

// keepFresh refreshes the copy whenever it is older than the bound allows, until ctx ends.
func (follower *Follower[T]) keepFresh(ctx context.Context) {
	if follower.settings.Bound == 0 {
		return
	}
	if follower.settings.FetchCopy != nil {
		peers := way{wake: follower.becameStale, due: follower.peerDue, refresh: follower.refreshFromPeer}
		follower.settings.Go("refresh a copy from peers", func() { follower.attempt(ctx, peers) })
	}
	store := way{due: follower.storeDue, refresh: follower.refreshFromStore}
	follower.settings.Go("refresh a copy from the store", func() { follower.attempt(ctx, store) })
}

// way is a way to refresh the copy.
type way struct {
	// wake ends a wait for the age of the copy; nil means that nothing does.
	wake <-chan struct{}
	due  func(now timekeeper.Instant) bool
	// refresh makes an attempt and reports whether it had success.
	refresh func(ctx context.Context) bool
}

// attempt refreshes the copy whenever that is due, until ctx ends. The first two attempts follow each
// other at once, the pauses between further ones double.
func (follower *Follower[T]) attempt(ctx context.Context, way way) {
	clock, bound := follower.settings.Clock, follower.settings.Bound
	pause, next := timekeeper.Span(0), timekeeper.Instant(0)
	for follower.waitForAge(ctx, way.wake) == nil {
		now := clock.Now()
		follower.checkAge(now)
		if now < next || !way.due(now) {
			continue
		}
		if way.refresh(ctx) {
			pause, next = 0, 0
			continue
		}
		next = clock.Now().Add(pause)
		pause = min(max(bound.check(), 2*pause), bound.maxPause())
	}
}

// peersState is what other processes have answered since the copy became stale.
type peersState uint8

const (
	// notAsked means that no attempt has ended yet, unanswered that none of them answered, and
	// staleToo that those that did have no newer confirmation.
	notAsked peersState = iota
	unanswered
	staleToo
)

// staleness is a time in which the copy is older than the bound allows. The zero value is none.
type staleness struct {
	since timekeeper.Instant
	peers peersState
	// storeAt is when this process asks the store if the copies of others are stale too. Each draws
	// an instant, so that together they ask once in a check.
	storeAt timekeeper.Instant
}

// age returns how long ago the copy was confirmed, and whether that is too long; copyLock must be
// held.
func (follower *Follower[T]) age(now timekeeper.Instant) (age timekeeper.Span, stale bool) {
	age = now.Since(follower.confirmedAt)
	return age, age >= follower.maxAge()
}

// maxAge returns Bound.MaxAge with this process's jitter.
func (follower *Follower[T]) maxAge() timekeeper.Span {
	return timekeeper.Span(float64(follower.settings.Bound.MaxAge()) * (1 - maxAgeJitter*follower.ageJitter))
}

// waitForAge waits until the copy may be stale, or a check later if it may have to be refreshed already.
func (follower *Follower[T]) waitForAge(ctx context.Context, wake <-chan struct{}) error {
	clock := follower.settings.Clock
	now, check := clock.Now(), follower.settings.Bound.check()
	follower.copyLock.Lock()
	age, _ := follower.age(now)
	wait := check
	if !follower.outageUnverified(now) && follower.behindSince == 0 && follower.staleness.since == 0 && follower.hasCopy {
		wait = min(max(check, follower.maxAge()-age), behindTimeout)
	}
	follower.copyLock.Unlock()
	fired, release := clock.After(wait)
	defer release()
	select {
	case <-ctx.Done():
	case <-fired:
	case <-wake:
	}
	return ctx.Err()
}

// checkAge records whether the copy is stale.
func (follower *Follower[T]) checkAge(now timekeeper.Instant) {
	if !follower.becomesStale(now) {
		return
	}
	processes, spacing := follower.settings.Processes(), follower.settings.Bound.check()
	if follower.settings.FailingElsewhere() {
		spacing *= failingFactor
	}
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	window := float64(processes) * float64(spacing)
	follower.staleness = staleness{since: now, storeAt: now.Add(timekeeper.Span(window * follower.storeRandom.Float64()))}
	follower.logger(follower.version).WithFields(logrus.Fields{
		"age-ms": int64(now.Since(follower.confirmedAt)), "failing": follower.failingSince != 0, "backoff-ms": int64(follower.backoff),
		"behind": follower.behindSince != 0, "processes": processes,
	}).Warn("copy not confirmed in time")
	select {
	case follower.becameStale <- struct{}{}:
	default:
	}
}

// becomesStale reports whether the copy is stale and was not at the last check.
func (follower *Follower[T]) becomesStale(now timekeeper.Instant) bool {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	_, stale := follower.age(now)
	if !follower.hasCopy || !stale {
		follower.staleness = staleness{}
		return false
	}
	return follower.staleness.since == 0
}

// peerDue reports whether another process should be asked: the copy is stale, others have a newer
// one, or rows are kept since an outage that may have been none.
func (follower *Follower[T]) peerDue(now timekeeper.Instant) bool {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	return follower.staleness.since != 0 || follower.outageUnverified(now) || follower.isBehind(now)
}

// storeDue reports whether the store should be asked beside the regular reads. If the copies of
// others are stale too, the processes ask one after the other; while the store serves none of them,
// the probes of those that find it failing are enough.
func (follower *Follower[T]) storeDue(now timekeeper.Instant) bool {
	failingElsewhere := follower.settings.FailingElsewhere()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if follower.staleness.since == 0 {
		return false
	}
	switch follower.staleness.peers {
	case notAsked:
		return now.Since(follower.staleness.since) >= follower.settings.Bound.check()
	case staleToo:
		failing := failingElsewhere || follower.failingSince != 0
		return now >= follower.staleness.storeAt && (!failing || follower.settings.ServingOthersSince(now.Add(-maxServedGap)) != 0)
	}
	return true
}

// refreshFromStore reads what has changed, without a wait, and reports whether the store answered.
func (follower *Follower[T]) refreshFromStore(ctx context.Context) bool {
	timeout, cancel := context.WithTimeout(ctx, follower.settings.Bound.Attempt().Duration())
	defer cancel()
	answer, err := follower.read(timeout, false)
	if err != nil {
		follower.deferStore()
		return false
	}
	follower.applyAnswer(answer, follower.settings.FailingElsewhere(), follower.settings.Clock.Now())
	return true
}

// deferStore leaves the next attempts with the store to the other processes.
func (follower *Follower[T]) deferStore() {
	processes, now := follower.settings.Processes(), follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	follower.staleness.storeAt = now.Add(timekeeper.Span(processes) * follower.settings.Bound.maxPause())
}

// refreshFromPeer asks other processes and reports whether nothing is left to ask.
func (follower *Follower[T]) refreshFromPeer(ctx context.Context) bool {
	timeout, cancel := context.WithTimeout(ctx, follower.settings.Bound.PeerAttempt().Duration())
	defer cancel()
	follower.copyLock.Lock()
	follower.behindSince = 0
	follower.copyLock.Unlock()
	answered, _ := follower.fetchCopy(timeout)
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	if follower.staleness.since != 0 {
		follower.staleness.peers = unanswered
		if answered {
			follower.staleness.peers = staleToo
		}
	}
	follower.copyLock.Unlock()
	return !follower.peerDue(now)
}

// recordFresh logs that a stale copy has been confirmed; copyLock must be held.
func (follower *Follower[T]) recordFresh(confirmation Confirmation) {
	now := follower.settings.Clock.Now()
	if _, stale := follower.age(now); stale || follower.staleness.since == 0 {
		return
	}
	follower.logger(follower.version).WithFields(logrus.Fields{
		"from": confirmation.From, "stale-for-ms": int64(now.Since(follower.staleness.since)),
	}).Info("copy confirmed again")
	follower.staleness = staleness{}
}
