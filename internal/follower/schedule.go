package follower

import (
	"context"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// checkInterval is how often a waiting follower checks whether its next read has become due
// earlier.
const checkInterval = 150 * timekeeper.Millisecond

// waitForNextRead waits until the next read is due. The interval may change meanwhile: a
// process that is cut off from the other readers no longer shares the reading with them.
func (follower *Follower[T]) waitForNextRead(ctx context.Context) {
	clock := follower.settings.Clock
	began, factor := clock.Now(), follower.random.Float64()
	for {
		left := follower.untilNextRead(factor) - clock.Now().Since(began)
		if left <= 0 || clock.Sleep(ctx, min(left, checkInterval)) != nil {
			return
		}
	}
}

// untilNextRead returns the time from one read to the next, with jitter by a factor that is
// drawn from [0, 1).
func (follower *Follower[T]) untilNextRead(factor float64) timekeeper.Span {
	if !follower.Failing() {
		regular := follower.settings.ReadInterval.jitter(follower.readInterval(), factor)
		if follower.settings.IsPrimary() {
			return min(regular, follower.readCredit.wait)
		}
		return regular
	}
	interval := probeInterval(follower.currentBackoff())
	return interval.jitter(interval.For(follower.settings.Processes()), factor)
}

func (follower *Follower[T]) currentBackoff() timekeeper.Span {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	return follower.backoff
}

// probeInterval returns the interval of calls to a failing store from the backoff of a
// single process. Each call to the store is paid for, and a process that finds the store
// back reports that to the others, so together they call as often as a few would.
func probeInterval(backoff timekeeper.Span) Interval {
	return Interval{Min: backoff, Max: maxProbeInterval, MaxUnshared: maxUnsharedProbers}
}

const (
	// maxUnsharedProbers is the number of processes up to which each calls a failing store
	// at its own backoff.
	maxUnsharedProbers = 4
	// maxProbeInterval is the longest time between two calls of one process: a hundred
	// processes still notice the store's return within a few hundred milliseconds.
	maxProbeInterval = 15 * timekeeper.Second
)

// readInterval returns the time from one read to the next. It is zero if another process
// has a newer copy, and the minimum while lapsed rows may expire, since a row that was
// written again must be read before its lapse ends. While the table may still be filling it
// is short.
func (follower *Follower[T]) readInterval() timekeeper.Span {
	interval, now := follower.settings.ReadInterval, follower.settings.Clock.Now()
	shared := interval.For(follower.settings.Readers())
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	switch {
	case follower.isBehind(now):
		return 0
	case len(follower.lapsing) > 0 || now < follower.keepUntil:
		return interval.Min
	case now < follower.fillingUntil:
		return min(shared, fillIntervals*interval.Min)
	}
	return shared
}

const (
	// fillTime is how long after the first copy, or after an outage, a table may still be
	// filling: writers of lapsed rows write them again within two seconds.
	fillTime = 4 * timekeeper.Second
	// fillIntervals is the interval in that time, as a multiple of Interval.Min: with
	// intervals of seconds, entries that have all restarted send the load of a whole site
	// to the few replicas that were listed first.
	fillIntervals = 2
)

const (
	// maxReadCredit is how many reads a primary makes batchTime apart before it reads once in
	// Interval.Min. It is enough for the rows that a release writes in a few seconds.
	maxReadCredit = 8
	// batchTime is the time from one read of a primary to the next, in which changes that are
	// written together gather.
	batchTime = 25 * timekeeper.Millisecond
)

// readCredit is a token bucket for the reads of a primary: rows change seldom, but a replica
// that turns cold or leaves has to be known to all at once. The zero value is a full bucket.
type readCredit struct {
	// spent is how many reads have been made and not yet gained back, as of updatedAt.
	spent     float64
	updatedAt timekeeper.Instant
	// wait is the least time from the last read to the next.
	wait timekeeper.Span
}

// spend takes one read out of the bucket, which gains one in each interval.
func (credit *readCredit) spend(interval timekeeper.Span, now timekeeper.Instant) {
	if interval > 0 {
		credit.spent -= float64(now.Since(credit.updatedAt)) / float64(interval)
	}
	credit.spent, credit.updatedAt = max(0, credit.spent)+1, now
	credit.wait = max(batchTime, timekeeper.Span((credit.spent-maxReadCredit)*float64(interval)))
}
