package admitter

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// classCount is the number of urgencies of RFC 9218, 0 (first) to 7 (last).
	classCount = 8
	// urgentClass is the last class that counts as urgent.
	urgentClass = 0
	// bestAgedClass is the best class that a ticket reaches by waiting.
	bestAgedClass = 1
	// agedGrantInterval reserves every eighth grant for aged tickets while urgent
	// ones wait.
	agedGrantInterval = 8
	// minBound lets an empty replica take any ticket.
	minBound = 1
)

// Limits bound what a controller admits. Slots must be positive.
type Limits struct {
	// Slots is how many calls run at once.
	Slots int
	// QueueLength is how many calls wait at most.
	QueueLength int
	// UrgentSlots is how many of the slots only class 0 may use; zero means none.
	UrgentSlots int
	// LoadFactor is the factor c in Bound; zero means that there is no bound.
	LoadFactor float64
	// FreeCalls is how many calls a replica takes regardless of the bound; zero
	// means none. A few calls overload no engine, and the exemption keeps chats
	// at the replicas that cache their prefixes while the service is lightly loaded.
	FreeCalls int
	// MaxMeanAge is the age above which a mean is ignored; zero means 5 seconds.
	MaxMeanAge timekeeper.Span
	// Ageing is the wait that raises a ticket by one class; zero means half a second.
	Ageing timekeeper.Span
	// Backoff sets when refused callers should retry.
	Backoff Backoff
}

func (limits Limits) withDefaults() Limits {
	if limits.MaxMeanAge == 0 {
		limits.MaxMeanAge = 5 * timekeeper.Second
	}
	if limits.Ageing == 0 {
		limits.Ageing = timekeeper.Second / 2
	}
	return limits
}

// prefixMissShare is the part of the way from the mean to the bound up to which
// a replica takes tickets whose prefix it doesn't cache.
const prefixMissShare = 0.25

// validated returns the limits with defaults; it panics when one is out of range.
func (limits Limits) validated() Limits {
	if limits.Slots <= 0 || limits.QueueLength < 0 || limits.UrgentSlots >= limits.Slots {
		panic(invalidLimits)
	}
	return limits.withDefaults()
}

// unbounded is the bound where none applies.
const unbounded = math.MaxInt64

// Bound returns the work at which the replica takes no further ticket:
// ceil(c * (total + ticket.Work) / n), with c the LoadFactor and n the number of
// replicas, as in consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018). A ticket is taken while the work held is below the bound,
// so a replica carries at most c times the mean and the one ticket that crosses
// it.
//
// A mean that is unknown or older than MaxMeanAge sets no bound: under an old
// low mean all replicas would refuse while none is full. Without a bound the
// slots and the queue still cap each replica, and only the spread between
// replicas grows. A service of one replica has no mean to compare with, so it
// has no bound either.
//
// A ticket whose prefix isn't cached here is taken only up to a quarter of the
// way from the mean to the bound. The rest is kept for returning chats, which
// would otherwise be sent away from their prefixes by work that could run on any
// replica.
func (limits Limits) Bound(mean Mean, held int64, ticket Ticket) int64 {
	if limits.LoadFactor == 0 || mean.Replicas <= 1 || mean.Age > limits.MaxMeanAge {
		return unbounded
	}
	// The work held here is known exactly, so the total can't be lower.
	total := max(mean.Total, held)
	factor := limits.LoadFactor
	if ticket.PrefixMiss {
		factor = 1 + (factor-1)*prefixMissShare
	}
	bound := math.Ceil(factor * float64(total+ticket.Work) / float64(mean.Replicas))
	return max(minBound, int64(bound))
}

// Backoff chooses when a refused caller should retry.
type Backoff struct {
	// Draw returns a number in [0, 1) from a seeded source; nil means always 0.
	Draw func() float64
}

const (
	// minBaseRetryAfter is the shortest span that Retry-After can express, one
	// second; the expected wait is raised to it before the random factor.
	minBaseRetryAfter = timekeeper.Second
	// maxBaseRetryAfter limits the expected wait before the random factor, so that
	// one bad estimate doesn't send a caller away for long.
	maxBaseRetryAfter = 30 * timekeeper.Second
)

// RetryAfter returns the expected wait, limited to between 1 and 30 seconds,
// times a random factor between one and three. Without the jitter all callers
// that were refused in one burst would retry in the same second and cause the
// next burst.
func (backoff Backoff) RetryAfter(estimate timekeeper.Span) timekeeper.Span {
	base := min(max(estimate, minBaseRetryAfter), maxBaseRetryAfter)
	if backoff.Draw == nil {
		return base
	}
	const spread = 2
	return base + timekeeper.Span(backoff.Draw()*spread*float64(base))
}
