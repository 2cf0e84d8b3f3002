package timekeeper

import "sync"

// Manual is a clock for tests: it stands still until Advance moves it.
// Its methods may be called from several goroutines.
type Manual struct {
	mu      sync.Mutex
	now     Instant
	waiting map[int]waiter
	next    int
}

type waiter struct {
	due   Instant
	fired chan Instant
}

// NewManual returns a manual clock that shows start.
func NewManual(start Instant) *Manual {
	return &Manual{now: start, waiting: map[int]waiter{}}
}

// Clock returns a Clock that reads the manual clock.
func (manual *Manual) Clock() Clock {
	return Clock{Now: manual.Now, After: manual.after}
}

// Now returns the instant that the clock shows.
func (manual *Manual) Now() Instant {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	return manual.now
}

// Advance moves the clock forward by span and fires every timer that is due.
// Advance panics when span is negative.
func (manual *Manual) Advance(span Span) {
	if span < 0 {
		panic(badAdvance)
	}
	manual.mu.Lock()
	defer manual.mu.Unlock()
	manual.now = manual.now.Add(span)
	for id, wait := range manual.waiting {
		if wait.due <= manual.now {
			wait.fired <- manual.now
			delete(manual.waiting, id)
		}
	}
}

const badAdvance = "timekeeper: a clock can't be moved back"

func (manual *Manual) after(span Span) (fired <-chan Instant, release func()) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	out := make(chan Instant, 1)
	if span <= 0 {
		out <- manual.now
		return out, func() {}
	}
	id := manual.next
	manual.next++
	manual.waiting[id] = waiter{due: manual.now.Add(span), fired: out}
	return out, func() { manual.forget(id) }
}

func (manual *Manual) forget(id int) {
	manual.mu.Lock()
	defer manual.mu.Unlock()
	delete(manual.waiting, id)
}
