package follower

import (
	"context"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// lookEvery is how often a follower that rests looks whether it has to go on sooner.
const lookEvery = 150 * timekeeper.Millisecond

// rest waits until the next read is due, by the pace as it is meanwhile: a process that is
// cut off from those it shares the reading with has a pace of its own.
func (follower *Follower[T]) rest(ctx context.Context) {
	clock := follower.settings.Clock
	began, factor := clock.Now(), follower.draws.Float64()
	for {
		left := follower.due(factor) - clock.Now().Since(began)
		if left <= 0 || clock.Sleep(ctx, min(left, lookEvery)) != nil {
			return
		}
	}
}

// due returns how long after a read the next one is due, by a factor that is drawn
// from [0, 1).
func (follower *Follower[T]) due(factor float64) timekeeper.Span {
	if !follower.Failing() {
		return follower.settings.ReadInterval.spread(follower.pace(), factor)
	}
	probing := probing(follower.pause)
	return probing.spread(probing.For(follower.settings.Processes()), factor)
}

// probing returns the pacing of calls to a store that fails, by the pause of a process that
// is alone. Each call is paid and one that finds the store back tells the others, so
// together they ask as often as a few would.
func probing(pause timekeeper.Span) Interval {
	return Interval{Min: pause, Max: longestProbe, MaxUnshared: probers}
}

const (
	// probers is how many processes ask a store that fails as often as one would.
	probers = 4
	// longestProbe is the longest time between two calls of one process then: a hundred
	// of them still notice the store's return within a few hundred milliseconds.
	longestProbe = 15 * timekeeper.Second
)

// pace returns the time from one read to the next. What others have read newer is read
// at once. While rows may be due to go it is
// the shortest, since who still has them must hear from the store; while the table
// may still fill it is short.
func (follower *Follower[T]) pace() timekeeper.Span {
	pacing, now := follower.settings.ReadInterval, follower.settings.Clock.Now()
	shared := pacing.For(follower.settings.Readers())
	follower.copying.Lock()
	defer follower.copying.Unlock()
	switch {
	case follower.isBehind(now):
		return 0
	case len(follower.lapsing) > 0 || now < follower.lenient:
		return pacing.Min
	case now < follower.settles:
		return min(shared, settlingPaces*pacing.Min)
	}
	return shared
}

const (
	// settling is how long after the first copy, or after an outage, a table may
	// still fill: rows that lapsed are back within two seconds.
	settling = 4 * timekeeper.Second
	// settlingPaces is the pace meanwhile, in spans of a reader of its own: with a pace
	// of seconds entries that have all started again send the work of a whole site to
	// the few replicas that were there first.
	settlingPaces = 2
)
