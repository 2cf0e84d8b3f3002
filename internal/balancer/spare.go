package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// spareCredit limits the rate at which an entry places requests over their shares. In the age of a
// digest the entries would together place many times the free places if each placed requests as long
// as its last counts show some: with digests each second, replicas refused most requests and stood
// idle in between.
type spareCredit struct {
	// limited reports that there are peers, whose requests this entry doesn't know of at once.
	limited bool
	places  float64
	at      timekeeper.Instant
	// pausedUntil is until when no request over its share is placed after a replica refused one.
	pausedUntil timekeeper.Instant
}

const (
	// maxSpare is for how long unused credit is kept.
	maxSpare = 200 * timekeeper.Millisecond
	// maxFullPerSlot is how many requests for each slot the replicas of a contended service hold on
	// average at most, and minFullPerSlot at least. Requests arrive unevenly at the replicas while the counts are old: with 1.5, up to a
	// tenth of the slots stood idle at 12 entries, and a quarter at 24.
	maxFullPerSlot, minFullPerSlot = 2.5, 1.5
	// fullTargetShare is the part of a target, as its reciprocal, in which waiting requests begin.
	fullTargetShare = 3
	// refusalPause is how long an entry places no request over its share after a refusal by a replica:
	// the requests of entries that it doesn't hear from take the places then.
	refusalPause = 250 * timekeeper.Millisecond
)

// refreshSpare adds credit for the time since the last call. The entries' rates add up to the part of
// the capacity that isn't shared, or to the idle places if more are known to be idle. They are raised
// or lowered so that a load above or below fullPerSlot is corrected in the age of a digest. Entries
// divide the rate by the demand over the shares that each has.
func (fleet *Fleet) refreshSpare(service string, shares *serviceShares, now timekeeper.Instant) {
	spare := &shares.spare
	age := fleet.digestInterval()
	spare.limited = age > 0
	passed := float64(now.Since(spare.at))
	spare.at = now
	if !spare.limited || !shares.contended {
		spare.places = 1
		return
	}
	holding := float64(fleet.HoldingTime(service, 0))
	load := fleet.loadOf(service, now) / shares.capacity
	idle := max(0, 1-load, 1-shares.teams.Margin(now)+(shares.fullPerSlot(holding)-load)*holding/float64(age))
	rate := shares.teams.OverPortion() * idle * shares.capacity / holding
	spare.places = min(spare.places+rate*passed, max(1, rate*float64(maxSpare)))
}

// fullPerSlot returns how many requests for each slot the replicas of a contended service hold on
// average: fewer than maxFullPerSlot where requests would wait there for more than a third of their
// target.
func (shares *serviceShares) fullPerSlot(holding float64) float64 {
	target, known := shares.target.value()
	if !known || holding <= 0 {
		return maxFullPerSlot
	}
	return min(maxFullPerSlot, max(minFullPerSlot, target/(fullTargetShare*holding)))
}

// loadOf returns the estimated number of requests at the open replicas of a service.
func (fleet *Fleet) loadOf(service string, now timekeeper.Instant) (load float64) {
	fleet.dropExpired(now)
	for _, member := range fleet.services[service] {
		if fleet.eligibility(member, now).Access == Open {
			load += float64(member.estimatedLoad(fleet.inFlightOfPeers(member.key), now))
		}
	}
	return load
}

// available reports whether a request over its share may be placed now.
func (spare *spareCredit) available(now timekeeper.Instant) bool {
	return now >= spare.pausedUntil && (!spare.limited || spare.places >= 1)
}

// pause stops the placing of requests over their shares for a while.
func (spare *spareCredit) pause(now timekeeper.Instant) { spare.pausedUntil = now.Add(refusalPause) }

func (spare *spareCredit) spend() { spare.places = max(0, spare.places-1) }
