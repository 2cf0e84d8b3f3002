package timekeeper

import (
	"context"
	"time"
)

// Clock returns the current time and starts timers. Both fields must be set; Wall,
// Steady, SinceBoot and Manual.Clock return complete clocks.
type Clock struct {
	// Now returns the current instant.
	Now func() Instant
	// After returns a channel that receives one value after span, and a function that
	// stops the timer. A span of zero or less fires at once.
	After func(span Span) (<-chan Instant, func())
}

// Wall returns the wall clock. It jumps when the system time is set.
func Wall() Clock {
	return Clock{Now: wallNow, After: wallAfter}
}

// Sleep waits for span. It returns early with the error of ctx when ctx ends.
func (clock Clock) Sleep(ctx context.Context, span Span) error {
	fired, release := clock.After(span)
	defer release()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls work after each span until ctx ends. It calls span anew before each wait,
// so that span may add jitter.
func (clock Clock) Every(ctx context.Context, span func() Span, work func(ctx context.Context)) {
	for clock.Sleep(ctx, span()) == nil {
		work(ctx)
	}
}

func wallNow() Instant {
	return FromTime(time.Now())
}

func wallAfter(span Span) (fired <-chan Instant, release func()) {
	return timerOn(wallNow, span)
}

// Steady returns a clock that starts at the wall time and then advances monotonically:
// it ignores later changes of the wall time. Use it for deadlines and ages.
func Steady() Clock {
	start := time.Now()
	base := FromTime(start)
	now := func() Instant { return base.Add(Span(time.Since(start) / time.Millisecond)) }
	return Clock{Now: now, After: func(span Span) (<-chan Instant, func()) { return timerOn(now, span) }}
}

func timerOn(now func() Instant, span Span) (fired <-chan Instant, release func()) {
	out := make(chan Instant, 1)
	timer := time.AfterFunc(span.Duration(), func() { out <- now() })
	return out, func() { timer.Stop() }
}

// In returns the time that is span from now, for deadlines of connections. The runtime
// measures them by its monotonic clock, so changes of the wall time don't affect them.
func In(span Span) time.Time {
	return time.Now().Add(span.Duration())
}
