package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// breaker is a circuit breaker: it keeps requests from a replica until an instant, and then
// lets one at a time find out whether the replica takes work again, so that not all who
// wait run into it together. The zero value lets all through.
type breaker struct {
	// until is when the first may find out.
	until timekeeper.Instant
	// trial is until when one does; zero while none does.
	trial timekeeper.Instant
}

// trialSpan is how long one request may take to find out whether a replica is
// back, before another one tries: the time in which a connection opens.
const trialSpan = 400 * timekeeper.Millisecond

// tried notes that a request goes to the replica.
func (breaker *breaker) tried(now timekeeper.Instant) {
	if breaker.until != 0 {
		breaker.trial = now.Add(trialSpan)
	}
}

// ends returns when a request may go to the replica; the past means that it may now.
func (breaker *breaker) ends() timekeeper.Instant { return max(breaker.until, breaker.trial) }
