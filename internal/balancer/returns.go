package balancer

import (
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// returnMargin is the share of the capacity that is used for times of return. The rest covers the
	// error of holding times and of the usual demand.
	returnMargin = 0.95
	// minFreeShare is the least share of the capacity that is given out as times of return.
	minFreeShare = 0.1
	// blockedWindow is the time over which blocked requests are compared between entries, and also the
	// time without a blocked request after which a service is no longer full.
	blockedWindow = timekeeper.Second
	// blockedMemory is how long blocked requests are remembered: digests live for up to 3 s, and the
	// count of a digest covers the second before it.
	blockedMemory = 4 * timekeeper.Second
	// maxBlocked bounds the blocked requests that are remembered for a service.
	maxBlocked = 4096
	// refusalDelay is the time after a service became full in which requests wait rather than being
	// refused, so that peers' digests can arrive.
	refusalDelay = 250 * timekeeper.Millisecond
	// usualQuarters is the number of quarters of a second that make up the usual demand.
	usualQuarters = 16
	quarter       = 250 * timekeeper.Millisecond
	// countInterval is the time for which the free capacity and the portion are kept. Both go through the
	// digests of all peers, which takes 60 us at 380 entries.
	countInterval = 10 * timekeeper.Millisecond
	// equalPeers is the number of peers whose digests have to cover a burst until their counts weigh as
	// much as the assumption that the burst is the same at all entries.
	equalPeers = 2
	// burstSpan is how long demand while the service is full may be a burst. After that it is usual.
	burstSpan = 10 * timekeeper.Second
)

// serviceReturns is what the times of return of a service are computed from.
type serviceReturns struct {
	book *reserver.Book
	// blocked holds when requests found no free place, the first first.
	blocked []timekeeper.Instant
	// fullSince is when the service became full at this entry.
	fullSince timekeeper.Instant
	usual     usualDemand
	// free is the free capacity in places and portion this entry's portion of it, as of countedAt.
	free, portion float64
	countedAt     timekeeper.Instant
}

// usualDemand is the demand of a service at this entry without bursts: the mean of the last quarters
// of a second in which the service was not full, or had been full for longer than burstSpan.
//
// It isn't the median of all quarters: an entry of many that gets less than two requests a second has
// none in most quarters.
type usualDemand struct {
	quarters []float64
	// current is the demand of the quarter that began at startedAt, in places.
	current   float64
	startedAt timekeeper.Instant
}

// add adds the holding time of a request that arrives.
func (usual *usualDemand) add(holding timekeeper.Span) {
	usual.current += float64(holding) / float64(quarter)
}

// advance ends the quarters that are over; burst reports whether a quarter's demand is left out.
func (usual *usualDemand) advance(now timekeeper.Instant, burst func(from, until timekeeper.Instant) bool) {
	if usual.startedAt == 0 {
		usual.startedAt = now
	}
	usual.startedAt = max(usual.startedAt, now.Add(-2*usualQuarters*quarter))
	for now >= usual.startedAt.Add(quarter) {
		until := usual.startedAt.Add(quarter)
		if !burst(usual.startedAt, until) {
			usual.quarters = append(usual.quarters, usual.current)
			usual.quarters = usual.quarters[max(0, len(usual.quarters)-usualQuarters):]
		}
		usual.current, usual.startedAt = 0, until
	}
}

// mean returns the usual demand in places, and false if none is known.
func (usual *usualDemand) mean() (float64, bool) {
	sum := 0.0
	for _, demand := range usual.quarters {
		sum += demand
	}
	return sum / max(1, float64(len(usual.quarters))), len(usual.quarters) > 0
}

func (fleet *Fleet) returnsOf(service string) *serviceReturns {
	returns := getOrCreate(fleet.returns, service)
	if returns.book == nil {
		returns.book = reserver.New()
	}
	return returns
}

// isBurst reports whether the demand of a quarter is not usual: a request found no free place in it,
// or in the second before, and the service hasn't been full for long.
func (returns *serviceReturns) isBurst(from, until timekeeper.Instant) bool {
	return from.Since(returns.fullSince) < burstSpan && returns.blockedBetween(from.Add(-blockedWindow), until) > 0
}

// blockedBetween returns how many requests found no free place from an instant until before another.
func (returns *serviceReturns) blockedBetween(from, until timekeeper.Instant) float64 {
	first, _ := slices.BinarySearch(returns.blocked, from)
	last, _ := slices.BinarySearch(returns.blocked, until)
	return float64(max(0, last-first))
}

// countUsual counts a request for the usual demand unless it returns on a reservation. One that a
// replica refused is blocked: it had no place.
func (fleet *Fleet) countUsual(waiter *Waiter, now timekeeper.Instant) {
	if !fleet.settings.ReturnTimes {
		return
	}
	if waiter.Retry {
		fleet.countBlocked(waiter.Request.Service, now)
		return
	}
	if waiter.Reserved {
		return
	}
	returns := fleet.returnsOf(waiter.Request.Service)
	returns.usual.advance(now, returns.isBurst)
	returns.usual.add(fleet.HoldingTime(waiter.Request.Service, waiter.Rank))
}

// countBlocked counts a request that found no free place.
func (fleet *Fleet) countBlocked(service string, now timekeeper.Instant) {
	if !fleet.settings.ReturnTimes && !fleet.settings.TeamShares {
		return
	}
	returns := fleet.returnsOf(service)
	if len(returns.blocked) == 0 || now.Since(returns.blocked[len(returns.blocked)-1]) > blockedWindow {
		returns.fullSince = now
	}
	expired, _ := slices.BinarySearch(returns.blocked, now.Add(-blockedMemory))
	expired = max(expired, len(returns.blocked)+1-maxBlocked)
	returns.blocked = append(returns.blocked[expired:], now)
}

// blockedOf returns how many requests of a service found no free place in the last second, for peers.
func (fleet *Fleet) blockedOf(service string, now timekeeper.Instant) float64 {
	return fleet.returnsOf(service).blockedBetween(now.Add(1-blockedWindow), now.Add(1))
}

// usualOf returns the usual demand for a service at this entry in places, for peers; false means that
// none is known.
func (fleet *Fleet) usualOf(service string, now timekeeper.Instant) (float64, bool) {
	returns := fleet.returnsOf(service)
	returns.usual.advance(now, returns.isBurst)
	return returns.usual.mean()
}

// entryCount returns the number of entries: those that are registered, or that have sent a digest. In
// the first seconds of an entry it has digests of peers, but not yet the registered ones.
func (fleet *Fleet) entryCount() int { return max(fleet.entries.count(), 1+len(fleet.peers)) }

// usualOfAll returns the usual demand for a service at all entries, in places. Peers that haven't said
// theirs are taken to have the mean of the others.
func (fleet *Fleet) usualOfAll(service string, demands map[string]ServiceDemand, now timekeeper.Instant) float64 {
	sum, known := 0.0, 0
	if own, found := fleet.usualOf(service, now); found {
		sum, known = own, 1
	}
	for _, demand := range demands {
		sum += demand.Usual
		known++
	}
	return sum / float64(max(1, known)) * float64(max(known, fleet.entryCount()))
}

// portion returns this entry's portion of the free capacity: its blocked requests among those of all
// entries.
//
// What a peer's last digest doesn't cover is estimated: for each of the requests that were blocked here
// since, the peer is taken to have had as many as the peers whose digests do cover that time, and one
// while there are none. So the portions add up to about one also before digests have arrived, and an
// entry that alone gets a burst soon knows. A peer without a digest is taken to have as many as this
// entry.
func (fleet *Fleet) portion(service string, demands map[string]ServiceDemand, now timekeeper.Instant) float64 {
	returns := fleet.returnsOf(service)
	if now.Since(returns.fullSince) < refusalDelay {
		return fleet.portionByDemand(service, demands, now)
	}
	reported, covered, uncovered := 0.0, 0.0, 0.0
	for peer, digest := range fleet.peers {
		since := returns.blockedBetween(digest.receivedAt, now.Add(1))
		own := max(1, since+returns.blockedBetween(digest.receivedAt.Add(-blockedWindow), digest.receivedAt))
		reported += demands[peer].Blocked / own
		covered += 1 - since/own
		uncovered += since / own
	}
	ratio := (equalPeers + reported) / (equalPeers + covered)
	missing := float64(max(0, fleet.entryCount()-1-len(fleet.peers)))
	return 1 / (1 + reported + ratio*uncovered + missing)
}

// portionByDemand returns this entry's portion before digests can have arrived: its demand among that of
// all entries. A peer that hasn't said its demand is taken to have the usual demand of this entry.
func (fleet *Fleet) portionByDemand(service string, demands map[string]ServiceDemand, now timekeeper.Instant) float64 {
	arrivals := 0.0
	for priority := range fleet.queue(service).arrivals {
		arrivals += fleet.queue(service).arrivals[priority].now(rateHalfLife, now)
	}
	perSecond := arrivals * math.Ln2 * float64(timekeeper.Second) / float64(rateHalfLife)
	own := perSecond * float64(fleet.HoldingTime(service, -1)) / float64(timekeeper.Second)
	usual, _ := fleet.usualOf(service, now)
	total := own
	for _, demand := range demands {
		total += demand.Demand.Total
	}
	return own / max(own, total+usual*float64(max(0, fleet.entryCount()-1-len(demands))))
}

// peersPortion returns the portion of peers' reservations that is for a service: that of its blocked
// requests here. Reservations don't say their service.
func (fleet *Fleet) peersPortion(service string, now timekeeper.Instant) float64 {
	all := 0.0
	for _, returns := range fleet.returns {
		all += returns.blockedBetween(now.Add(-blockedMemory), now.Add(1))
	}
	return fleet.returnsOf(service).blockedBetween(now.Add(-blockedMemory), now.Add(1)) / max(1, all)
}

// supply returns the free capacity of a service for a waiter; false means that the capacity isn't known.
func (fleet *Fleet) supply(waiter *Waiter, now timekeeper.Instant) (reserver.Supply, bool) {
	service := waiter.Request.Service
	capacity := fleet.Capacity(service, now)
	if capacity == 0 {
		return reserver.Supply{}, false
	}
	returns := fleet.returnsOf(service)
	if now.Since(returns.countedAt) >= countInterval {
		fleet.dropExpired(now)
		demands := fleet.peerDemandsOf(service, now)
		returns.free = max(returnMargin*capacity-fleet.usualOfAll(service, demands, now), minFreeShare*capacity)
		returns.portion, returns.countedAt = fleet.portion(service, demands, now), now
	}
	holding := fleet.HoldingTime(service, waiter.Rank)
	return reserver.Supply{
		PerSecond:  returns.free * float64(timekeeper.Second) / float64(holding),
		Portion:    returns.portion,
		MoreUrgent: fleet.queue(service).moreUrgentShare(waiter.Request.Priority, now),
		Shortest:   fleet.digestInterval(),
		Peers:      fleet.receivedReservations, PeersPortion: fleet.peersPortion(service, now),
	}, true
}

// Arrive is Enqueue for a request that may return on a reservation. One that is due uses its
// reservation up and goes first. One that is early is placed at once or refused for the time that
// remains; it counts neither as an arrival nor as blocked.
func (fleet *Fleet) Arrive(waiter *Waiter, now timekeeper.Instant) {
	if !fleet.settings.ReturnTimes || waiter.Retry {
		fleet.Enqueue(waiter, now)
		return
	}
	service, fingerprint := waiter.Request.Service, waiter.Fingerprint
	standing, remaining := fleet.standing(service, fingerprint, now)
	waiter.Standing = standing
	switch standing {
	case reserver.Due:
		fleet.redeem(service, fingerprint, now)
		waiter.Reserved = true
	case reserver.Early:
		fleet.arriveEarly(waiter, remaining, now)
		return
	case reserver.None:
	}
	fleet.Enqueue(waiter, now)
}

// arriveEarly places a request that returns before its reserved time, or refuses it.
func (fleet *Fleet) arriveEarly(waiter *Waiter, remaining timekeeper.Span, now timekeeper.Instant) {
	service := waiter.Request.Service
	if len(fleet.queue(service).waiting) > 0 {
		waiter.Reason = AllFull
	} else if fleet.tryPlace(waiter, now) {
		fleet.redeem(service, waiter.Fingerprint, now)
	}
	waiter.Wait = remaining
}

// standing returns what the reservations made here and by peers mean for a request of a service.
func (fleet *Fleet) standing(service string, fingerprint uint64, now timekeeper.Instant) (reserver.Standing, timekeeper.Span) {
	own, ownRemaining := fleet.returnsOf(service).book.Standing(fingerprint, now)
	other, otherRemaining := fleet.receivedReservations.Standing(fingerprint, now)
	if other == reserver.None || own == reserver.Due || own == reserver.Early && other == reserver.Early && ownRemaining <= otherRemaining {
		return own, ownRemaining
	}
	return other, otherRemaining
}

// redeem uses up the first reservation of a fingerprint.
func (fleet *Fleet) redeem(service string, fingerprint uint64, now timekeeper.Instant) {
	own, ownRemaining := fleet.returnsOf(service).book.Standing(fingerprint, now)
	standing, remaining := fleet.standing(service, fingerprint, now)
	if own == standing && ownRemaining == remaining {
		fleet.returnsOf(service).book.Redeem(fingerprint)
		return
	}
	fleet.receivedReservations.Redeem(fingerprint)
}

// Return is when a refused request should come back.
type Return struct {
	After timekeeper.Span
	// Reserved reports whether the time is reserved for the request.
	Reserved bool
}

// ReturnOf returns when a waiter that was refused because the service is full should come back, and
// reserves that time if it isn't after latest. It returns false if times of return aren't given for
// the waiter: they are off, the capacity isn't known, or it was refused for another reason.
func (fleet *Fleet) ReturnOf(waiter *Waiter, latest, now timekeeper.Instant) (Return, bool) {
	if !fleet.settings.ReturnTimes || waiter.Reason != AllFull {
		return Return{}, false
	}
	if waiter.Standing == reserver.Early && !waiter.Retry {
		return Return{After: waiter.Wait, Reserved: true}, true
	}
	supply, known := fleet.supply(waiter, now)
	if !known {
		return Return{}, false
	}
	ask := reserver.Ask{Fingerprint: waiter.Fingerprint, Team: waiter.Team, Rank: waiter.Rank, Latest: latest}
	due, reserved := fleet.returnsOf(waiter.Request.Service).book.Reserve(ask, supply, now)
	return Return{After: due.Since(now), Reserved: reserved}, true
}

// defersRefusals reports whether requests of a service wait that would otherwise be refused.
func (fleet *Fleet) defersRefusals(service string, now timekeeper.Instant) bool {
	return fleet.settings.ReturnTimes && fleet.entryCount() > 1 && now.Since(fleet.returnsOf(service).fullSince) < refusalDelay
}

// refuseDeferred removes and returns the waiters that can't be served in time, among those that wait
// only because refusals were deferred.
func (fleet *Fleet) refuseDeferred(queue *serviceQueue, now timekeeper.Instant) (refused []*Waiter) {
	isDeferred := func(waiter *Waiter) bool { return waiter.deferred }
	if !slices.ContainsFunc(queue.waiting, isDeferred) || fleet.defersRefusals(queue.waiting[0].Request.Service, now) {
		return nil
	}
	waiting := queue.waiting
	queue.waiting = make([]*Waiter, 0, len(waiting))
	for _, waiter := range waiting {
		waiter.Wait = queue.drainTime(waiter, now)
		if waiter.deferred && now.Add(waiter.Wait) > waiter.Until {
			waiter.Reason = AllFull
			refused = append(refused, waiter)
			continue
		}
		waiter.deferred = false
		queue.waiting = append(queue.waiting, waiter)
	}
	return refused
}

// Reservations returns the reservations made here since the last call, for a digest.
func (fleet *Fleet) Reservations() (fresh []reserver.Reservation) {
	for _, returns := range fleet.returns {
		if returns.book != nil {
			fresh = append(fresh, returns.book.Fresh()...)
		}
	}
	return fresh
}

// ReceiveReservations applies reservations that a peer has made. The fingerprint of a request covers
// its host and path, so one book serves all services.
func (fleet *Fleet) ReceiveReservations(reservations []reserver.Reservation, now timekeeper.Instant) {
	if fleet.settings.ReturnTimes {
		fleet.receivedReservations.Receive(reservations, now)
	}
}
