package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// minUnreachablePause and maxUnreachablePause limit how long an unreachable replica gets no
	// requests. A crashed replica is back after some seconds; detecting that costs one refused
	// connection per second.
	minUnreachablePause = 300 * timekeeper.Millisecond
	maxUnreachablePause = 1200 * timekeeper.Millisecond
	// failureHalfLife is the half-life of recorded failures. A replica that fails part of its
	// requests gets its work back over a few half-lives.
	failureHalfLife = 2 * timekeeper.Second
	// failurePenalty is what one recorded failure adds to the expected time. A failed request
	// costs its caller about a second, because the caller retries once.
	failurePenalty = 150 * timekeeper.Millisecond
	// refusalWeight is the weight of a request that the replica refused to run. A refusal
	// costs a round trip and one of the retries.
	refusalWeight = 0.3
	// maxFailures limits the recorded failures, so that a replica recovers eventually.
	maxFailures = 12.0
)

// health is a replica's circuit breaker for failed connections, and its recent failures.
type health struct {
	// breaker blocks requests to an unreachable replica for a pause that grows.
	breaker
	pause timekeeper.Span
	// failures is the number of recent failures.
	failures decaying
}

// markUnreachable records a connection that was refused or not answered.
func (health *health) markUnreachable(now timekeeper.Instant) {
	if now < health.until {
		return
	}
	health.pause = min(max(minUnreachablePause, 2*health.pause), maxUnreachablePause)
	health.until = now.Add(health.pause)
}

// recordFailure records a request that the replica failed, or, with a weight below one,
// refused.
func (health *health) recordFailure(weight float64, now timekeeper.Instant) {
	health.failures.set(min(health.failures.now(failureHalfLife, now)+weight, maxFailures), now)
}

// recordServed records a request that the replica answered.
func (health *health) recordServed() {
	health.breaker, health.pause = breaker{}, 0
}

// admits reports whether the breaker admits a request.
func (health *health) admits(now timekeeper.Instant) bool { return now >= health.retryAt() }

func (health *health) penalty(now timekeeper.Instant) float64 {
	return health.failures.now(failureHalfLife, now) * float64(failurePenalty)
}
