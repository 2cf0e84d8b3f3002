package timekeeper

import (
	"context"
	"time"
)

// Clock tells the time and waits. Both fields must be set; Wall and
// Manual.Clock return complete clocks.
type Clock struct {
	// Now returns the current instant.
	Now func() Instant
	// After returns a channel that receives one value once span has passed,
	// and a function that releases the timer. A span of zero or less fires at once.
	After func(span Span) (<-chan Instant, func())
}

// Wall returns the clock of the machine.
func Wall() Clock {
	return Clock{Now: wallNow, After: wallAfter}
}

// Sleep waits until span has passed or ctx ends, and returns the error of ctx
// in the second case.
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

// Every calls work after each span until ctx ends. The span is asked anew for
// each round, so a caller may add jitter.
func (clock Clock) Every(ctx context.Context, span func() Span, work func(ctx context.Context)) {
	for clock.Sleep(ctx, span()) == nil {
		work(ctx)
	}
}

func wallNow() Instant {
	return FromTime(time.Now())
}

func wallAfter(span Span) (fired <-chan Instant, release func()) {
	return afterOn(wallNow, span)
}

// Steady returns a clock that begins at the time of day and then goes on evenly:
// it does not follow when the time of day is set. Deadlines and ages are to be
// taken from it.
func Steady() Clock {
	start := time.Now()
	base := FromTime(start)
	now := func() Instant { return base.Add(Span(time.Since(start) / time.Millisecond)) }
	return Clock{Now: now, After: func(span Span) (<-chan Instant, func()) { return afterOn(now, span) }}
}

func afterOn(now func() Instant, span Span) (fired <-chan Instant, release func()) {
	out := make(chan Instant, 1)
	timer := time.AfterFunc(span.Duration(), func() { out <- now() })
	return out, func() { timer.Stop() }
}

// In returns the moment that lies span from now, for deadlines of connections,
// which the runtime keeps evenly whatever happens to the time of day.
func In(span Span) time.Time {
	return time.Now().Add(span.Duration())
}
