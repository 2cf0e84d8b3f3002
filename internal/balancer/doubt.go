package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// firstPause and longestPause bound how long a replica that can't be reached
	// gets nothing. A replica that crashed is back after some seconds; one
	// refused connection a second is what finding that out costs.
	firstPause   = 300 * timekeeper.Millisecond
	longestPause = 1200 * timekeeper.Millisecond
	// failureMemory is the half-life of seen failures. A replica that fails part
	// of its requests gets its work back over a few of these.
	failureMemory = 2 * timekeeper.Second
	// failurePenalty is what one remembered failure adds to the expected time. A
	// failed request costs its caller about a second: it comes back once.
	failurePenalty = 150 * timekeeper.Millisecond
	// refusalWeight is what a request counts that the replica did not run: it
	// costs a round trip and one of the retries.
	refusalWeight = 0.3
	// mostFailures bounds the memory, so that a replica is forgiven in the end.
	mostFailures = 12.0
)

// doubt is why a replica may get no work, or less.
type doubt struct {
	// until is when a replica that can't be reached may be tried again.
	until timekeeper.Instant
	pause timekeeper.Span
	// trial is until when a single request finds out whether it is back.
	trial timekeeper.Instant
	// failures are remembered with a half-life.
	failures decaying
}

// unreachable notes a refused or silent connection.
func (doubt *doubt) unreachable(now timekeeper.Instant) {
	if now < doubt.until {
		return
	}
	doubt.pause = min(max(firstPause, 2*doubt.pause), longestPause)
	doubt.until = now.Add(doubt.pause)
}

// failed notes a request that the replica failed, or, with a weight under one,
// did not take.
func (doubt *doubt) failed(weight float64, now timekeeper.Instant) {
	doubt.failures.set(min(doubt.failures.now(failureMemory, now)+weight, mostFailures), now)
}

// served notes a request that the replica answered.
func (doubt *doubt) served() {
	doubt.until, doubt.pause, doubt.trial = 0, 0, 0
}

// trialSpan is how long one request may take to find out whether a replica is
// back, before another one tries: the time in which a connection opens.
const trialSpan = 400 * timekeeper.Millisecond

// tried notes that a request goes to the replica.
func (doubt *doubt) tried(now timekeeper.Instant) {
	if doubt.pause > 0 {
		doubt.trial = now.Add(trialSpan)
	}
}

// open reports whether the replica may get work at all. After it could not be
// reached one request at a time finds out whether it is back, so that not all
// who wait run into it together.
func (doubt *doubt) open(now timekeeper.Instant) bool {
	return now >= doubt.until && (doubt.pause == 0 || now >= doubt.trial)
}

func (doubt *doubt) penalty(now timekeeper.Instant) float64 {
	return doubt.failures.now(failureMemory, now) * float64(failurePenalty)
}
