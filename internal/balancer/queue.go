package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// rateHalfLife is the half-life of the counts of arrivals and ended requests of a service.
	rateHalfLife = timekeeper.Second
	// maxWaiting limits the requests that wait for one service. Their bodies are limited in
	// bytes elsewhere. In a longer queue the ordering costs more than it gains.
	maxWaiting = 256
	// teamHalfLife is the half-life of the count of places that a team has been given.
	teamHalfLife = 2 * timekeeper.Second
)

// Waiter is a request that waits for a replica. Waiters are served by class, then by rank, then by
// whether they can still be on time, then by how few places their team has recently had, then by
// arrival. A waiter that can't be served in time is refused at once.
type Waiter struct {
	Request Request
	// Rank orders the waiters; the lowest rank is the most urgent.
	Rank int
	Team string
	// Weight is the weight of the team's share; zero means 1.
	Weight float64
	// Due is until when a place is on time, Until the last time at which a place is of use.
	Due, Until timekeeper.Instant

	// Placement is set when a replica was found, and Reason when the wait ended without one.
	// Wait is then the expected time until a place is free.
	Placement *Placement
	Reason    Reason
	Wait      timekeeper.Span
	// Class is set when the waiter is placed or refused. Contended reports whether it counted, and
	// Displaced whether the waiter was refused for one of a lower class.
	Class                Class
	Contended, Displaced bool
	// Ahead is the length of the queue when the waiter joined it.
	Ahead int
	// Reserved reports whether the request returns on time on a reservation; it goes first. Standing is
	// what its reservation meant when it arrived.
	Reserved bool
	Standing reserver.Standing
	// Fingerprint is the hash of the request that is equal for all attempts of its caller. Retry reports
	// whether a replica refused the request before; Reserved and Standing are then those of its arrival.
	Fingerprint uint64
	Retry       bool

	sequence uint64
	// deferred reports whether the request waits only because refusals were deferred; see
	// Fleet.defersRefusals.
	deferred bool
	// blocked reports that the waiter was counted as one that found no free place.
	blocked bool
}

// serviceQueue holds the waiters of a service and its rates of arrival and completion.
type serviceQueue struct {
	waiting []*Waiter
	// completions counts ended requests, whatever their outcome.
	completions decaying
	// arrivals counts requests by priority.
	arrivals [Priorities]decaying
	holding  holdingTimes
	shares   serviceShares
	// displaced are waiters that were refused for others when the queue was full. The next dispatch
	// returns them.
	displaced []*Waiter
}

// moreUrgentShare returns the share of the arrivals that are more urgent than a priority.
func (queue *serviceQueue) moreUrgentShare(priority int, now timekeeper.Instant) float64 {
	before, all := 0.0, 0.0
	for i := range queue.arrivals {
		count := queue.arrivals[i].now(rateHalfLife, now)
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
	return getOrCreate(fleet.queues, service)
}

// Enqueue asks for a replica, now or when there is a place. The waiter is decided once it has a
// placement or a reason; until then it waits, and Dispatch decides it.
func (fleet *Fleet) Enqueue(waiter *Waiter, now timekeeper.Instant) {
	fleet.sequence++
	waiter.sequence = fleet.sequence
	queue := fleet.queue(waiter.Request.Service)
	queue.arrivals[waiter.Request.Priority].add(1, rateHalfLife, now)
	fleet.recordArrival(queue, waiter, now)
	goesFirst := !queue.hasAhead(waiter)
	if goesFirst && fleet.tryPlace(waiter, now) {
		return
	}
	fleet.recordBlocked(queue, waiter, now)
	if goesFirst && !fleet.mayWait(waiter, now) || fleet.refuseForBackoff(waiter, fleet.BackoffRemaining(waiter.Request.Service, now), now) {
		return
	}
	waiter.Reason = noReason
	waiter.Wait, waiter.Ahead = queue.drainTime(waiter, now), len(queue.waiting)
	waiter.deferred = now.Add(waiter.Wait) > waiter.Until
	if waiter.deferred && !fleet.defersRefusals(waiter.Request.Service, now) || queue.isFull(waiter) && !fleet.displaceFor(queue, waiter, now) {
		waiter.Reason = AllFull
		return
	}
	queue.waiting = append(queue.waiting, waiter)
}

// mayWait reports whether a waiter that found no place may get one soon. If not, it is refused
// for the reason that it then has. If only the replicas that it hasn't tried back off, it is
// refused too, since waiters behind it can still be placed.
func (fleet *Fleet) mayWait(waiter *Waiter, now timekeeper.Instant) bool {
	switch waiter.Reason {
	case AllFull, AllUnreachable:
		return true
	case AllBackingOff:
		remaining := fleet.BackoffRemaining(waiter.Request.Service, now)
		return remaining > 0 && !fleet.refuseForBackoff(waiter, remaining, now)
	}
	return false
}

// refuseForBackoff refuses a waiter that can't wait until the end of the backoff of all
// replicas, after remaining (see BackoffRemaining), and reports whether it did.
func (fleet *Fleet) refuseForBackoff(waiter *Waiter, remaining timekeeper.Span, now timekeeper.Instant) bool {
	if remaining == 0 || now.Add(remaining) <= waiter.Until {
		return false
	}
	waiter.Reason, waiter.Wait = AllBackingOff, remaining
	return true
}

// tryPlace places a waiter at a replica if one can take it, and counts the place for the
// waiter's team. It reports whether it did.
func (fleet *Fleet) tryPlace(waiter *Waiter, now timekeeper.Instant) bool {
	queue := fleet.queue(waiter.Request.Service)
	queue.classify(waiter)
	waiter.Request.withinShare = waiter.Class == Reserved || queue.shares.contended && waiter.Class == WithinShare
	waiter.Request.perSlotWithin = fleet.perSlotWithin(waiter)
	waiter.Request.contended, waiter.Contended = queue.shares.contended, queue.shares.contended
	if waiter.Class == OverShare && !queue.shares.spare.available(now) {
		waiter.Placement, waiter.Reason = nil, AllFull
		return false
	}
	waiter.Placement, waiter.Reason = fleet.Choose(waiter.Request, now)
	if waiter.Placement == nil {
		return false
	}
	queue.shares.recordPlaced(waiter)
	waiter.Placement.rank, waiter.Placement.class = waiter.Rank, waiter.Class
	fleet.team(waiter.Team).add(1, teamHalfLife, now)
	return true
}

func (fleet *Fleet) team(name string) *decaying {
	return getOrCreate(fleet.teams, name)
}

// hasAhead reports whether another waiter, at least as urgent, gets places before this one. A
// waiter that needs a software version precedes only those that need the same version: it can't
// use the places of the others.
func (queue *serviceQueue) hasAhead(waiter *Waiter) bool {
	return slices.ContainsFunc(queue.waiting, func(other *Waiter) bool {
		version := other.Request.SoftwareVersion
		return other.goesBefore(waiter) && (version == "" || version == waiter.Request.SoftwareVersion)
	})
}

// isFull reports whether a waiter finds the queue full. Those without a reservation don't keep those
// with one from waiting.
func (queue *serviceQueue) isFull(waiter *Waiter) bool {
	if !waiter.Reserved {
		return len(queue.waiting) >= maxWaiting
	}
	reserved := 0
	for _, other := range queue.waiting {
		if other.Reserved {
			reserved++
		}
	}
	return reserved >= maxWaiting
}

// drainTime returns how long a waiter has to wait at the completion rate of the last second;
// zero if no rate is known.
func (queue *serviceQueue) drainTime(waiter *Waiter, now timekeeper.Instant) timekeeper.Span {
	ahead := 1
	for _, other := range queue.waiting {
		if other.goesBefore(waiter) {
			ahead++
		}
	}
	return queue.timeFor(ahead, now)
}

// timeFor returns in what time the given number of requests complete at the rate of the last second;
// zero if no rate is known.
func (queue *serviceQueue) timeFor(requests int, now timekeeper.Instant) timekeeper.Span {
	completions := queue.completions.now(rateHalfLife, now)
	if completions < 1 {
		return 0
	}
	// A steady rate r of completions holds the decaying count at r times 1.44 half-lives.
	const steady = 1.44
	return timekeeper.Span(float64(requests) * steady * float64(rateHalfLife) / completions)
}

// Dequeue removes a waiter whose caller has left.
func (fleet *Fleet) Dequeue(waiter *Waiter) {
	queue := fleet.queue(waiter.Request.Service)
	isIt := func(other *Waiter) bool { return other == waiter }
	queue.waiting, queue.displaced = slices.DeleteFunc(queue.waiting, isIt), slices.DeleteFunc(queue.displaced, isIt)
}

// Waiting returns how many requests wait for a replica, with those that the next dispatch refuses.
func (fleet *Fleet) Waiting() int {
	total := 0
	for _, queue := range fleet.queues {
		total += len(queue.waiting) + len(queue.displaced)
	}
	return total
}

// Dispatch assigns free places to waiters, and returns the waiters that were decided: placed or
// refused.
func (fleet *Fleet) Dispatch(now timekeeper.Instant) []*Waiter {
	var decided []*Waiter
	for _, queue := range fleet.queues {
		decided, queue.displaced = append(decided, queue.displaced...), nil
		if len(queue.waiting) > 0 {
			decided = append(decided, fleet.dispatch(queue, now)...)
		}
	}
	return decided
}

func (fleet *Fleet) dispatch(queue *serviceQueue, now timekeeper.Instant) []*Waiter {
	remaining := fleet.BackoffRemaining(queue.waiting[0].Request.Service, now)
	decided := fleet.refuseDeferred(queue, now)
	queue.waiting = slices.DeleteFunc(queue.waiting, func(waiter *Waiter) bool {
		switch {
		case now >= waiter.Until:
			waiter.Reason, waiter.Wait = AllFull, queue.drainTime(waiter, now)
		case !fleet.refuseForBackoff(waiter, remaining, now):
			return false
		}
		decided = append(decided, waiter)
		return true
	})
	decided = append(decided, fleet.refuseOverShares(queue, now)...)
	var heldBack []*Waiter
	for len(queue.waiting) > 0 {
		next := fleet.next(queue, now)
		waiter := queue.waiting[next]
		if fleet.tryPlace(waiter, now) || !fleet.mayWait(waiter, now) {
			decided = append(decided, waiter)
			queue.waiting = slices.Delete(queue.waiting, next, next+1)
			continue
		}
		// Waiters behind this one that need the same software version, or can do with any if this one
		// can, wouldn't find a place either.
		waiter.Reason = noReason
		if waiter.Request.SoftwareVersion == "" {
			break
		}
		heldBack = append(heldBack, queue.removeVersion(waiter.Request.SoftwareVersion)...)
	}
	queue.waiting = append(queue.waiting, heldBack...)
	return decided
}

// removeVersion removes and returns the waiters that need a software version.
func (queue *serviceQueue) removeVersion(version string) (removed []*Waiter) {
	queue.waiting = slices.DeleteFunc(queue.waiting, func(waiter *Waiter) bool {
		if waiter.Request.SoftwareVersion != version {
			return false
		}
		removed = append(removed, waiter)
		return true
	})
	return removed
}

// next returns the index of the waiter that gets the next place: the lowest class, then the lowest
// rank, then those that are on time, then the team with the fewest recent places, then the first arrival. It is
// one pass over the queue: with hundreds of waiters and hundreds of completions per second,
// sorting the queue for each completion delayed the entry beyond its callers' timeouts.
func (fleet *Fleet) next(queue *serviceQueue, now timekeeper.Instant) int {
	waiting, best := queue.waiting, 0
	queue.classifyAll()
	for i := 1; i < len(waiting); i++ {
		if fleet.before(waiting[i], waiting[best], now) {
			best = i
		}
	}
	return best
}

func (fleet *Fleet) before(a, b *Waiter, now timekeeper.Instant) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if lateA, lateB := now >= a.Due, now >= b.Due; lateA != lateB {
		return lateB
	}
	if a.Team != b.Team {
		placesA, placesB := fleet.team(a.Team).now(teamHalfLife, now), fleet.team(b.Team).now(teamHalfLife, now)
		if placesA != placesB {
			return placesA < placesB
		}
	}
	return a.sequence < b.sequence
}
