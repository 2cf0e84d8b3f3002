package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// backoffSpread is the largest share of a backoff that an entry adds to it at random. A
	// replica refuses many entries in the same instant, and they must not all come back at
	// once.
	backoffSpread = 0.2
	// maxBackoffSpread limits the random extension of a long backoff.
	maxBackoffSpread = timekeeper.Second
)

// backoff is the time for which a replica asked this entry to send no requests, with a refusal
// that carries Retry-After (RFC 9110, section 10.2.3). The zero value means no backoff.
type backoff struct {
	breaker
	// since is when the replica last asked for a backoff.
	since timekeeper.Instant
}

// extend starts a backoff or extends the current one. If two backoffs overlap, the later end
// counts.
func (backoff *backoff) extend(until, now timekeeper.Instant) {
	backoff.since, backoff.trial = now, 0
	backoff.until = max(backoff.until, until)
}

// recordServed records that the replica answered a request that was sent at the given time. A
// request sent before the end of the backoff doesn't show that the backoff is over.
func (backoff *backoff) recordServed(sent timekeeper.Instant) {
	if sent >= backoff.until {
		backoff.breaker, backoff.since = breaker{}, 0
	}
}

// StartBackoff records that a replica incarnation asked this entry to back off for the given
// span, and returns when the backoff ends for this entry.
func (fleet *Fleet) StartBackoff(incarnation string, span timekeeper.Span, now timekeeper.Instant) timekeeper.Instant {
	if span <= 0 {
		return now
	}
	spread := timekeeper.Span(fleet.random.Float64() * min(backoffSpread*float64(span), float64(maxBackoffSpread)))
	statements := fleet.statementsOf(incarnation)
	statements.backoff.extend(now.Add(span+spread), now)
	fleet.setStatements(incarnation, statements)
	return statements.backoff.until
}

// BackoffRemaining returns the time until the first replica of a service may get a request
// again, if all that aren't leaving or evacuated are in a backoff or run the trial request
// after it; zero otherwise.
func (fleet *Fleet) BackoffRemaining(service string, now timekeeper.Instant) timekeeper.Span {
	shortest := timekeeper.Span(0)
	for _, member := range fleet.services[service] {
		if _, closed := fleet.closedUntilUpdate(member); closed {
			continue
		}
		remaining := member.statements.backoff.retryAt().Since(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}
