package timekeeper

import "sync"

// Manual is a clock for tests that advances only when Advance is called. Its methods
// are safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    Instant
	timers map[int]manualTimer
	nextID int
}

type manualTimer struct {
	due   Instant
	fired chan Instant
}

// NewManual returns a manual clock set to start.
func NewManual(start Instant) *Manual {
	return &Manual{now: start, timers: map[int]manualTimer{}}
}

// Clock returns a Clock that uses the manual clock.
func (manual *Manual) Clock() Clock {
	return Clock{Now: manual.Now, After: manual.after}
}

// Now returns the current instant of the manual clock.
func (manual *Manual) Now() Instant {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	return manual.now
}

// Advance moves the clock forward by span and fires every timer that is due. It panics
// if span is negative.
func (manual *Manual) Advance(span Span) {
	if span < 0 {
		panic(negativeAdvance)
	}
	manual.mu.Lock()
	defer manual.mu.Unlock()
	manual.now = manual.now.Add(span)
	for id, timer := range manual.timers {
		if timer.due <= manual.now {
			timer.fired <- manual.now
			delete(manual.timers, id)
		}
	}
}

const negativeAdvance = "timekeeper: a clock can't be moved back"

func (manual *Manual) after(span Span) (fired <-chan Instant, release func()) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	out := make(chan Instant, 1)
	if span <= 0 {
		out <- manual.now
		return out, func() {}
	}
	id := manual.nextID
	manual.nextID++
	manual.timers[id] = manualTimer{due: manual.now.Add(span), fired: out}
	return out, func() { manual.removeTimer(id) }
}

func (manual *Manual) removeTimer(id int) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	delete(manual.timers, id)
}
