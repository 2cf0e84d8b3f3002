package admitter

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// classes is the number of urgencies of RFC 9218, 0 (first) to 7 (last).
	classes = 8
	// urgentClass is the last class that counts as live work.
	urgentClass = 0
	// agedClass is the best class that a ticket reaches by waiting.
	agedClass = 1
	// agedShare is one in how many grants goes to aged work when live work waits.
	agedShare = 8
	// minimumBound lets an empty replica take any ticket.
	minimumBound = 1
)

// Limits bound what a controller admits. Slots must be positive.
type Limits struct {
	// Slots is how many calls run at once.
	Slots int
	// QueueLength is how many calls wait at most.
	QueueLength int
	// UrgentSlots is how many of the slots only class 0 may use; zero means none.
	UrgentSlots int
	// LoadFactor is c of the bound; zero means that there is no bound.
	LoadFactor float64
	// FreeCalls is how many calls a replica takes whatever the bound says; zero
	// means none. A few calls crush no engine, and with them a service under
	// light load keeps its chats where their prefixes are.
	FreeCalls int
	// MaxMeanAge is the age past which a mean is not believed; zero means 5 seconds.
	MaxMeanAge timekeeper.Span
	// Ageing is the wait that lifts a ticket by one class; zero means half a second.
	Ageing timekeeper.Span
	// Backoff tells refused callers when to come back.
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

// coldShare is how far above the mean a cold ticket is taken, as a share of
// the way to the bound.
const coldShare = 0.25

// checked returns the limits with defaults; it panics when one is out of range.
func (limits Limits) checked() Limits {
	if limits.Slots <= 0 || limits.QueueLength < 0 || limits.UrgentSlots >= limits.Slots {
		panic(badLimits)
	}
	return limits.withDefaults()
}

// unbounded is the bound where none applies.
const unbounded = math.MaxInt64

// Bound returns the work at which the replica takes no further ticket:
// ceil(c * (total + own) / n), as in consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2018). A ticket is taken while the work
// held is below the bound, so a replica carries at most c times the mean and
// the one ticket that crosses it.
//
// A mean that is unknown or too old sets no bound. Held to an old low mean, all
// replicas would refuse while none is full; without it the slots and the queue
// still cap each replica, and only the spread between replicas grows. A service
// of one has no mean to compare with, so its caps alone hold.
//
// A cold ticket is taken up to a quarter of the way from the mean to the bound
// only. The harm is a returning chat that is sent away from its prefix because
// work that could run anywhere came first; the rest of the way is for it.
func (limits Limits) Bound(mean Mean, held int64, ticket Ticket) int64 {
	if limits.LoadFactor == 0 || mean.Replicas <= 1 || mean.Age > limits.MaxMeanAge {
		return unbounded
	}
	// What is held here is known exactly, so it is the least that the total can be.
	total := max(mean.Total, held)
	factor := limits.LoadFactor
	if ticket.PrefixMiss {
		factor = 1 + (factor-1)*coldShare
	}
	bound := math.Ceil(factor * float64(total+ticket.Work) / float64(mean.Replicas))
	return max(minimumBound, int64(bound))
}

// Backoff chooses when a refused caller should come back.
type Backoff struct {
	// Draw returns a number in [0, 1) from a seeded source; nil means always 0.
	Draw func() float64
}

const (
	// leastRetry is the shortest span that Retry-After can tell, a whole second.
	leastRetry = timekeeper.Second
	// longestRetry keeps one bad estimate from sending a caller away for long.
	longestRetry = 30 * timekeeper.Second
)

// RetryAfter returns the expected wait, stretched at random to between one and
// three times. The failure it prevents: all callers refused by one burst come
// back in the same second and make the next burst.
func (backoff Backoff) RetryAfter(estimate timekeeper.Span) timekeeper.Span {
	base := min(max(estimate, leastRetry), longestRetry)
	if backoff.Draw == nil {
		return base
	}
	const spread = 2
	return base + timekeeper.Span(backoff.Draw()*spread*float64(base))
}
