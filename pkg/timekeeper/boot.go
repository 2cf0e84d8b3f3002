package timekeeper

// SinceBoot returns a clock that begins at the time of day and then goes on evenly, also
// while the machine is suspended. It does not follow when the time of day is set.
//
// The failure: the time of day jumps by seconds or minutes, ahead or back, or a machine
// is suspended. The symptom, by the time of day: a lease that has two holders, a live
// peer that is held dead, a deadline that is over before it began, or waited for until
// the clock has caught up. By a clock that stands still while the machine is suspended,
// as the runtime's own does: a holder that wakes and takes its lease for valid.
//
// Timers of this clock still run on the runtime's: one that is due in a suspension fires
// late, and whoever it wakes must ask Now. Where the system can't tell the time since it
// started, the clock is that of Steady.
func SinceBoot() Clock {
	first, known := bootTime()
	if !known {
		return Steady()
	}
	return evenly(wallNow(), func() Span {
		passed, _ := bootTime()
		return passed - first
	})
}

// evenly returns a clock that begins at an instant and adds what has passed since.
func evenly(begin Instant, passed func() Span) Clock {
	now := func() Instant { return begin.Add(passed()) }
	return Clock{Now: now, After: func(span Span) (<-chan Instant, func()) { return afterOn(now, span) }}
}
