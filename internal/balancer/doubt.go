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
	// breaker keeps requests from a replica that can't be reached, for a pause that grows.
	breaker
	pause timekeeper.Span
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
	doubt.breaker, doubt.pause = breaker{}, 0
}

// open reports whether the replica may get work at all.
func (doubt *doubt) open(now timekeeper.Instant) bool { return now >= doubt.ends() }

func (doubt *doubt) penalty(now timekeeper.Instant) float64 {
	return doubt.failures.now(failureMemory, now) * float64(failurePenalty)
}
