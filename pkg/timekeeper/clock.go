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
	out := make(chan Instant, 1)
	timer := time.AfterFunc(span.Duration(), func() { out <- wallNow() })
	return out, func() { timer.Stop() }
}
