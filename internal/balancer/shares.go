package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/apportioner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Class orders the waiters of a service before their ranks do.
type Class uint8

const (
	// Reserved requests return on time on a reservation.
	Reserved Class = iota
	// WithinShare requests are within their team's share. While the service isn't contended, that
	// is all requests.
	WithinShare
	// OverShare requests get the places that the others leave.
	OverShare
)

// String returns the name of the class in logs and metrics.
func (class Class) String() string {
	return [...]string{"reserved", "within-share", "over-share"}[class]
}

const (
	// contendedTime is how long a service counts as contended after a request found no free place.
	contendedTime = 2 * timekeeper.Second
	// sharesInterval is the time between two looks at the peers' demands and the capacity.
	sharesInterval = 50 * timekeeper.Millisecond
)

// serviceShares is what an entry knows of the shares of a service.
type serviceShares struct {
	// teams is nil until the first arrival.
	teams       *apportioner.Shares
	capacity    float64
	refreshedAt timekeeper.Instant
	// blockedAt is when a request last found no free place here; zero means never.
	blockedAt timekeeper.Instant
	// contended reports that classes count; see refreshShares.
	contended bool
	spare     spareCredit
	// target is the mean target of the requests, in milliseconds.
	target decayingMean
}

// refreshShares brings up to date whether a service is contended, its capacity and the demands of
// peers. A service is contended while requests find no free place here, or at a peer: a peer that only
// repeats that others are contended doesn't count, since two entries would then never stop.
func (fleet *Fleet) refreshShares(service string, queue *serviceQueue, now timekeeper.Instant) {
	shares := &queue.shares
	if !fleet.settings.TeamShares || shares.teams != nil && now.Since(shares.refreshedAt) < sharesInterval {
		return
	}
	if shares.teams == nil {
		shares.teams = apportioner.New()
	}
	shares.refreshedAt, shares.capacity = now, fleet.Capacity(service, now)
	blocked := shares.blockedAt != 0 && now.Since(shares.blockedAt) < contendedTime
	for peer, demand := range fleet.peerDemandsOf(service, now) {
		// The digest is read again before this time, or has expired.
		shares.teams.SetPeer(peer, demand.Demand, now.Add(2*sharesInterval))
		blocked = blocked || demand.Blocked > 0
	}
	shares.contended = blocked && shares.capacity > 0
	fleet.refreshSpare(service, shares, now)
}

// recordArrival records the demand of a waiter and sets its class. A request that returns on a
// reservation, or is tried at another replica, was counted when it arrived first.
func (fleet *Fleet) recordArrival(queue *serviceQueue, waiter *Waiter, now timekeeper.Instant) {
	service := waiter.Request.Service
	fleet.countUsual(waiter, now)
	fleet.refreshShares(service, queue, now)
	shares := &queue.shares
	if shares.teams != nil && waiter.Request.MaxEngineWait > 0 {
		shares.target.observe(float64(waiter.Request.MaxEngineWait), 1, now)
	}
	if shares.teams != nil && !waiter.Reserved && len(waiter.Request.Excluded) == 0 {
		places := float64(fleet.HoldingTime(service, waiter.Rank)) / float64(timekeeper.Second)
		shares.teams.Arrive(apportioner.Team{Name: waiter.Team, Weight: waiter.Weight}, places, shares.sharedCapacity(), now)
	}
	queue.classify(waiter)
}

// perSlotWithin returns how many requests a plain replica may hold for each slot before it gets a
// request within its team's share: as many as begin within four fifths of its target.
func (fleet *Fleet) perSlotWithin(waiter *Waiter) float64 {
	if waiter.Request.MaxEngineWait <= 0 {
		return maxPlainPerSlotWithin
	}
	holding := float64(fleet.HoldingTime(waiter.Request.Service, waiter.Rank))
	return min(maxPlainPerSlotWithin, max(maxPlainPerSlotOver, 0.8*float64(waiter.Request.MaxEngineWait)/holding))
}

// sharedCapacity returns the places to share; zero while all requests are within their shares.
func (shares *serviceShares) sharedCapacity() float64 {
	if !shares.contended {
		return 0
	}
	return shares.capacity
}

// recordBlocked records that a waiter found no free place when it arrived.
func (fleet *Fleet) recordBlocked(queue *serviceQueue, waiter *Waiter, now timekeeper.Instant) {
	if waiter.blocked || waiter.Reason != AllFull && waiter.Reason != noReason {
		return
	}
	waiter.blocked = true
	if !waiter.Retry {
		fleet.countBlocked(waiter.Request.Service, now)
	}
	shares := &queue.shares
	if shares.teams == nil {
		return
	}
	shares.blockedAt = now
	if shares.contended && waiter.Class == WithinShare {
		shares.teams.Blocked(now)
	}
	shares.contended = shares.capacity > 0
	waiter.Contended = shares.contended
}

// recordPlaced takes the place of a waiter from its team's credit.
func (shares *serviceShares) recordPlaced(waiter *Waiter) {
	if !shares.contended {
		return
	}
	if waiter.Class == OverShare {
		shares.spare.spend()
		return
	}
	if waiter.Class == WithinShare {
		shares.teams.Spend(waiter.Team)
	}
}

// recordRefused records that a replica has refused a request for lack of room. With counts of peers'
// requests that are a second old, entries learn of a full service by refusals first. The place stays
// spent: if it were given back, a team over its share would send more requests the more are refused.
func (fleet *Fleet) recordRefused(placement *Placement, now timekeeper.Instant) {
	shares := &fleet.queue(placement.Replica.Service).shares
	if shares.teams == nil {
		return
	}
	if shares.contended && placement.class == WithinShare {
		shares.teams.Blocked(now)
	}
	shares.spare.pause(now)
	shares.blockedAt = now
	shares.contended = shares.capacity > 0
}

// classify sets the class of a waiter.
func (queue *serviceQueue) classify(waiter *Waiter) {
	switch {
	case waiter.Reserved:
		waiter.Class = Reserved
	case queue.shares.contended && !queue.shares.teams.Within(waiter.Team):
		waiter.Class = OverShare
	default:
		waiter.Class = WithinShare
	}
}

// classifyAll sets the classes of all waiters. All waiters of a team with credit are within its share
// until the most urgent of them has taken it.
func (queue *serviceQueue) classifyAll() {
	if queue.shares.teams == nil {
		return
	}
	for _, waiter := range queue.waiting {
		queue.classify(waiter)
	}
}

// goesBefore reports whether a waiter that has arrived earlier gets a place before another one, leaving
// aside time limits and teams.
func (waiter *Waiter) goesBefore(later *Waiter) bool {
	if waiter.Class != later.Class {
		return waiter.Class < later.Class
	}
	return waiter.Rank <= later.Rank
}

// displaceFor refuses the last waiter of the highest class for one of a lower class that finds the
// queue full, and reports whether it did.
func (fleet *Fleet) displaceFor(queue *serviceQueue, waiter *Waiter, now timekeeper.Instant) bool {
	last := fleet.last(queue, now)
	if !queue.shares.contended || queue.waiting[last].Class <= waiter.Class {
		return false
	}
	refused := fleet.refuse(queue, last, now)
	refused.Displaced = true
	queue.displaced = append(queue.displaced, refused)
	return true
}

// refuse removes a waiter from the queue and refuses it.
func (fleet *Fleet) refuse(queue *serviceQueue, index int, now timekeeper.Instant) *Waiter {
	waiter := queue.waiting[index]
	queue.waiting = slices.Delete(queue.waiting, index, index+1)
	waiter.Reason, waiter.Wait = AllFull, queue.drainTime(waiter, now)
	return waiter
}

// last returns the index of the waiter that gets a place last.
func (fleet *Fleet) last(queue *serviceQueue, now timekeeper.Instant) int {
	queue.classifyAll()
	last := 0
	for i := 1; i < len(queue.waiting); i++ {
		if fleet.before(queue.waiting[last], queue.waiting[i], now) {
			last = i
		}
	}
	return last
}

// refuseOverShares refuses waiters over their shares that can't get a place before their time limit
// at the recent rate, from the back of the queue, and returns them. Each is one pass over the queue.
func (fleet *Fleet) refuseOverShares(queue *serviceQueue, now timekeeper.Instant) (refused []*Waiter) {
	for queue.shares.contended && len(queue.waiting) > 0 && !fleet.defersRefusals(queue.waiting[0].Request.Service, now) {
		last := fleet.last(queue, now)
		waiter := queue.waiting[last]
		if waiter.Class != OverShare || now.Add(queue.timeFor(len(queue.waiting), now)) <= waiter.Until {
			return refused
		}
		refused = append(refused, fleet.refuse(queue, last, now))
	}
	return refused
}
