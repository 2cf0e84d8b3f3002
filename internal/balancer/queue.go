package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// rateMemory is the half-life over which a service's ends are counted.
	rateMemory = timekeeper.Second
	// mostWaiting bounds the requests that wait for one service. Their bodies are
	// bounded in bytes elsewhere; beyond this the order costs more than it brings.
	mostWaiting = 256
	// teamMemory is the half-life over which a team's grants count against it.
	teamMemory = 2 * timekeeper.Second
)

// Waiter is a request that waits for a replica. The most urgent goes first, among equals
// who can still be on time, then the team that has had least of late, then who came first.
// Whoever can't be served in time is told so at once.
type Waiter struct {
	Request Request
	// Rank orders who waits: the lowest is the most urgent.
	Rank int
	Team string
	// Due is until when a place is on time, Until the last instant at which it is
	// of use.
	Due, Until timekeeper.Instant

	// Placement is set when a replica was found, Reason when the wait is over
	// without one. Wait is then how long the queue needs to drain.
	Placement *Placement
	Reason    Reason
	Wait      timekeeper.Span
	// Ahead is how many waited before it when it came.
	Ahead int

	number uint64
}

// serviceQueue is who waits for a service, and how fast it goes.
type serviceQueue struct {
	waiting []*Waiter
	ends    decaying
	// arrivals counts requests by their priority.
	arrivals [Priorities]decaying
}

// moreUrgent returns the share of the arrivals that are more urgent than a
// priority.
func (queue *serviceQueue) moreUrgent(priority int, now timekeeper.Instant) float64 {
	before, all := 0.0, 0.0
	for i := range queue.arrivals {
		count := queue.arrivals[i].now(rateMemory, now)
		all += count
		if i < priority {
			before += count
		}
	}
	if all == 0 {
		return 0
	}
	return before / all
}

func (fleet *Fleet) queue(service string) *serviceQueue {
	return entryOf(fleet.queues, service)
}

// Enqueue asks for a replica, now or when there is a place. The waiter is decided
// when it has a placement or a reason; else it waits, and Dispatch decides it.
func (fleet *Fleet) Enqueue(waiter *Waiter, now timekeeper.Instant) {
	fleet.number++
	waiter.number = fleet.number
	queue := fleet.queue(waiter.Request.Service)
	queue.arrivals[waiter.Request.Priority].add(1, rateMemory, now)
	first := len(queue.waiting) == 0 || waiter.Rank < queue.mostUrgent()
	if first && fleet.try(waiter, now) {
		return
	}
	if first && !fleet.waits(waiter, now) || fleet.backsOffFor(waiter, fleet.BackoffRemaining(waiter.Request.Service, now), now) {
		return
	}
	waiter.Reason = noReason
	waiter.Wait, waiter.Ahead = queue.drain(waiter, now), len(queue.waiting)
	if now.Add(waiter.Wait) > waiter.Until || len(queue.waiting) >= mostWaiting {
		waiter.Reason = AllFull
		return
	}
	queue.waiting = append(queue.waiting, waiter)
}

// waits reports whether a place may come soon for a waiter that found none. Where only the
// replicas that it has not met back off, others behind it find a place.
func (fleet *Fleet) waits(waiter *Waiter, now timekeeper.Instant) bool {
	switch waiter.Reason {
	case AllFull, AllUnreachable:
		return true
	case AllBackingOff:
		left := fleet.BackoffRemaining(waiter.Request.Service, now)
		return left > 0 && !fleet.backsOffFor(waiter, left, now)
	}
	return false
}

// backsOffFor decides a waiter where all replicas of its service back off for so long that
// waiting is of no use, and reports whether it does.
func (fleet *Fleet) backsOffFor(waiter *Waiter, left timekeeper.Span, now timekeeper.Instant) bool {
	if left == 0 || now.Add(left) <= waiter.Until {
		return false
	}
	waiter.Reason, waiter.Wait = AllBackingOff, left
	return true
}

// try gives a waiter a replica if there is one.
func (fleet *Fleet) try(waiter *Waiter, now timekeeper.Instant) bool {
	waiter.Placement, waiter.Reason = fleet.Choose(waiter.Request, now)
	if waiter.Placement == nil {
		return false
	}
	fleet.team(waiter.Team).add(1, teamMemory, now)
	return true
}

func (fleet *Fleet) team(name string) *decaying {
	return entryOf(fleet.teams, name)
}

func (queue *serviceQueue) mostUrgent() int {
	most := queue.waiting[0].Rank
	for _, waiter := range queue.waiting[1:] {
		most = min(most, waiter.Rank)
	}
	return most
}

// drain returns how long a waiter has to wait at the pace of the last second;
// zero while no pace is known.
func (queue *serviceQueue) drain(waiter *Waiter, now timekeeper.Instant) timekeeper.Span {
	ends := queue.ends.now(rateMemory, now)
	if ends < 1 {
		return 0
	}
	ahead := 1
	for _, other := range queue.waiting {
		if other.Rank <= waiter.Rank {
			ahead++
		}
	}
	// A steady rate r of ends holds the decaying count at r times 1.44 half-lives.
	const steady = 1.44
	return timekeeper.Span(float64(ahead) * steady * float64(rateMemory) / ends)
}

// Dequeue takes a waiter out whose caller has left.
func (fleet *Fleet) Dequeue(waiter *Waiter) {
	queue := fleet.queue(waiter.Request.Service)
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other *Waiter) bool { return other == waiter })
}

// Waiting returns how many requests wait for a replica.
func (fleet *Fleet) Waiting() int {
	total := 0
	for _, queue := range fleet.queues {
		total += len(queue.waiting)
	}
	return total
}

// Dispatch gives places that have come free to those who wait, and returns who
// is decided: placed, or out of time.
func (fleet *Fleet) Dispatch(now timekeeper.Instant) []*Waiter {
	var decided []*Waiter
	for _, queue := range fleet.queues {
		if len(queue.waiting) > 0 {
			decided = append(decided, fleet.dispatch(queue, now)...)
		}
	}
	return decided
}

func (fleet *Fleet) dispatch(queue *serviceQueue, now timekeeper.Instant) []*Waiter {
	var decided []*Waiter
	left := fleet.BackoffRemaining(queue.waiting[0].Request.Service, now)
	queue.waiting = slices.DeleteFunc(queue.waiting, func(waiter *Waiter) bool {
		switch {
		case now >= waiter.Until:
			waiter.Reason, waiter.Wait = AllFull, queue.drain(waiter, now)
		case !fleet.backsOffFor(waiter, left, now):
			return false
		}
		decided = append(decided, waiter)
		return true
	})
	for len(queue.waiting) > 0 {
		next := fleet.next(queue.waiting, now)
		waiter := queue.waiting[next]
		if !fleet.try(waiter, now) && fleet.waits(waiter, now) {
			// Who comes behind would not find a place either.
			waiter.Reason = noReason
			return decided
		}
		decided = append(decided, waiter)
		queue.waiting = slices.Delete(queue.waiting, next, next+1)
	}
	return decided
}

// next returns who gets the next place: the most urgent, then who is on time,
// then the team that has had least of late, then who came first. It looks at each
// once; at hundreds of ends a second with hundreds who wait, sorting them for each
// end held up the entry for longer than their callers' patience.
func (fleet *Fleet) next(waiting []*Waiter, now timekeeper.Instant) int {
	best := 0
	for i := 1; i < len(waiting); i++ {
		if fleet.before(waiting[i], waiting[best], now) {
			best = i
		}
	}
	return best
}

func (fleet *Fleet) before(a, b *Waiter, now timekeeper.Instant) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if lateA, lateB := now >= a.Due, now >= b.Due; lateA != lateB {
		return lateB
	}
	if a.Team != b.Team {
		hadA, hadB := fleet.team(a.Team).now(teamMemory, now), fleet.team(b.Team).now(teamMemory, now)
		if hadA != hadB {
			return hadA < hadB
		}
	}
	return a.number < b.number
}
