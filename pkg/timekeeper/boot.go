package timekeeper

// SinceBoot returns a clock that starts at the wall time and then advances monotonically,
// also while the machine is suspended. It ignores later changes of the wall time.
//
// It guards against wall time that jumps by seconds or minutes, forward or back, and
// against suspension of the machine. With the wall clock, a jump gives a lease two
// holders, marks a live peer as dead, and ends a deadline before it began or delays it
// until the clock has caught up. With a clock that stops during suspension, as the
// monotonic clock of the Go runtime does, a lease holder that resumes takes its expired
// lease for valid.
//
// Timers of this clock use the runtime's timers: one that is due during suspension fires
// late, and the code that it wakes must call Now. Where the system can't report the time
// since boot, SinceBoot returns the clock of Steady.
func SinceBoot() Clock {
	atStart, ok := bootTime()
	if !ok {
		return Steady()
	}
	return clockFrom(wallNow(), func() Span {
		elapsed, _ := bootTime()
		return elapsed - atStart
	})
}

// clockFrom returns a clock that shows start plus elapsed().
func clockFrom(start Instant, elapsed func() Span) Clock {
	now := func() Instant { return start.Add(elapsed()) }
	return Clock{Now: now, After: func(span Span) (<-chan Instant, func()) { return timerOn(now, span) }}
}
