package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// breaker is a circuit breaker. It blocks requests to a replica until a given time and then
// admits one trial request at a time, so that waiting requests don't all hit a replica that is
// still down. The zero value admits all requests.
type breaker struct {
	// until is when the first trial request may be sent; zero if all requests are admitted.
	until timekeeper.Instant
	// trial is when the running trial request times out; zero if none is running.
	trial timekeeper.Instant
}

// trialTimeout is how long a trial request may take before another one is admitted: the time in
// which a connection opens.
const trialTimeout = 400 * timekeeper.Millisecond

// startTrial records that a request is sent to the replica. While until is set, that is the
// trial request.
func (breaker *breaker) startTrial(now timekeeper.Instant) {
	if breaker.until != 0 {
		breaker.trial = now.Add(trialTimeout)
	}
}

// retryAt returns when a request may be sent to the replica. A time in the past means now.
func (breaker *breaker) retryAt() timekeeper.Instant { return max(breaker.until, breaker.trial) }
