package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// backoffSpread is the part of a backoff by which entries stretch it at random, at most:
	// replicas refuse many entries in the same instant.
	backoffSpread = 0.2
	// mostSpread bounds that.
	mostSpread = timekeeper.Second
)

// backoff is a time for which a replica wants nothing from this entry, as it said with a
// refusal (RFC 9110, section 10.2.3). The zero value is none.
type backoff struct {
	breaker
	// since is when it was asked for last.
	since timekeeper.Instant
}

// ask takes in what a refusal asks for. Of two that overlap the later end holds.
func (backoff *backoff) ask(until, now timekeeper.Instant) {
	backoff.since, backoff.trial = now, 0
	backoff.until = max(backoff.until, until)
}

// served notes that the replica answered a request that was sent at an instant. One that was
// under way before the backoff says nothing about its end.
func (backoff *backoff) served(sent timekeeper.Instant) {
	if sent >= backoff.until {
		backoff.breaker, backoff.since = breaker{}, 0
	}
}

// StartBackoff notes that an incarnation of a replica wants nothing from this entry for a
// time, and returns when that ends here.
func (fleet *Fleet) StartBackoff(incarnation string, span timekeeper.Span, now timekeeper.Instant) timekeeper.Instant {
	if span <= 0 {
		return now
	}
	spread := timekeeper.Span(fleet.draws.Float64() * min(backoffSpread*float64(span), float64(mostSpread)))
	said := fleet.saidBy(incarnation)
	said.backoff.ask(now.Add(span+spread), now)
	fleet.setSaid(incarnation, said)
	return said.backoff.until
}

// BackoffRemaining returns how long it takes until a replica of a service may get a request,
// where all that could get some are in a backoff; zero where one isn't.
func (fleet *Fleet) BackoffRemaining(service string, now timekeeper.Instant) timekeeper.Span {
	least := timekeeper.Span(0)
	for _, known := range fleet.services[service] {
		if _, closed := fleet.closed(known); closed {
			continue
		}
		left := known.said.backoff.ends().Since(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
