package balancer

import (
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// candidate is a replica with its expected time.
type candidate struct {
	*replica
	access Access
	// held is how many requests the replica is believed to hold.
	held     int
	uncached int
	// waiting is the time for which the prompt waits before it is read, in
	// milliseconds.
	waiting float64
	// expected is the time until the answer begins, if the replica is sound, in
	// milliseconds.
	expected float64
	// cost is what the choice goes by, in milliseconds, and reading the part of it
	// that getting the prompt into memory makes, by reading and fetching.
	cost, reading float64
	// fetch is what the engine gets from another one.
	fetch fetch
	// weight is what the preference order of the prompt goes by; see rendezvous.
	weight float64
}

// holdings returns what the replicas of a service are believed to have cached of a
// prompt.
func (fleet *Fleet) holdings(ask Request) []holding {
	members := fleet.services[ask.Service]
	held := make([]holding, len(members))
	total, own := TokensOf(ask.Parts), TokensOf(ask.Parts)-TokensOf(SharedParts(ask.Parts))
	for i, member := range members {
		held[i].replica = member
		if len(ask.Parts) > 0 {
			held[i].uncached = fleet.cacheOf(member).uncached(ask.Parts)
			held[i].shared = min(total-held[i].uncached, total-own)
		}
	}
	return held
}

// look notes what peers have at the replicas, and for how long a prompt would wait there.
func (fleet *Fleet) look(ask Request, held []holding, now timekeeper.Instant) {
	fleet.dropSilent(now)
	for i := range held {
		held[i].peers = fleet.peersAt(held[i].key)
		held[i].load = held[i].held(held[i].peers, now)
		if len(ask.Parts) > 0 {
			held[i].waiting = held[i].waitingFor(ask.Priority, held[i].peers.PendingTokens) / fleet.settings.PrefillRate
		}
	}
}

// candidates returns the replicas that may get the request.
func (fleet *Fleet) candidates(ask Request, held []holding, now timekeeper.Instant) ([]candidate, Reason) {
	fleet.look(ask, held, now)
	sources := fleet.sourcesOf(ask, held, now)
	pool := pool{open: make([]candidate, 0, len(held))}
	for _, member := range held {
		eligibility := fleet.eligibility(member.replica, now)
		pool.spread.add(eligibility, member.load)
		if !pool.admits(eligibility, slices.Contains(ask.Excluded, member.ID)) {
			continue
		}
		if ask.MaxConnections > 0 && member.running >= ask.MaxConnections {
			continue
		}
		if eligibility.Access == Limited {
			pool.limited = append(pool.limited, member)
			continue
		}
		pool.open = append(pool.open, fleet.weigh(member, Open, ask, sources, now))
	}
	if reason := pool.reason(); reason != noReason {
		return nil, reason
	}
	if open, reason := fleet.bounded(fleet.useful(pool.open, ask), ask, pool.spread, now); reason == noReason {
		return open, noReason
	}
	var limited []candidate
	for _, member := range pool.limited {
		if fleet.admitsCold(member.replica, now) {
			limited = append(limited, fleet.weigh(member, Limited, ask, sources, now))
		}
	}
	return fleet.bounded(fleet.useful(limited, ask), ask, pool.spread, now)
}

// pool sorts the replicas of a service by what a request may have of them.
type pool struct {
	open []candidate
	// limited replicas may get a request each, where no open one has room.
	limited []holding
	// listed replicas stay, kept ones are in no evacuated data centre, untried ones have
	// not had the request, willing ones are in no backoff, reached ones take connections.
	listed, kept, untried, willing, reached int
	spread                                  spread
}

// spread is how the requests of a service lie at all replicas that could hold some.
type spread struct {
	replicas, held int
	// narrowed reports that some of them get less by an order, by their own word, or because
	// they are cold.
	narrowed bool
}

func (spread *spread) add(eligibility Eligibility, held int) {
	switch eligibility.Cause {
	case Leaving, LeaveAnnounced, NoConnection:
		return
	case Evacuated, BackingOff, Cold:
		spread.narrowed = true
	}
	spread.replicas++
	spread.held += held
}

// mean returns the mean that the bound on a share goes by, where that of the replicas
// that get work is known. Replicas that are evacuated, back off or are cold are a part of
// their service though they hold little, so the lower mean counts.
func (spread spread) mean(open float64) float64 {
	if !spread.narrowed {
		return open
	}
	return min(open, float64(spread.held)/float64(spread.replicas))
}

// admits counts a replica and reports whether it may get the request.
func (pool *pool) admits(eligibility Eligibility, excluded bool) bool {
	if eligibility.Cause == Leaving || eligibility.Cause == LeaveAnnounced {
		return false
	}
	pool.listed++
	if eligibility.Cause == Evacuated {
		return false
	}
	pool.kept++
	if excluded {
		return false
	}
	pool.untried++
	if eligibility.Cause == BackingOff {
		return false
	}
	pool.willing++
	if eligibility.Cause == NoConnection {
		return false
	}
	pool.reached++
	return true
}

// reason says why no replica may get the request.
func (pool *pool) reason() Reason {
	switch {
	case pool.listed == 0:
		return NoReplicas
	case pool.kept == 0:
		return AllEvacuated
	case pool.untried == 0:
		return AllTried
	case pool.willing == 0:
		return AllBackingOff
	case pool.reached == 0:
		return AllUnreachable
	}
	return noReason
}

// mostDisturbed bounds the time that reading a prompt which another engine has
// cached takes from the requests at an engine, in milliseconds times requests: more
// slows all streams down in an overload, less holds requests at engines over their share.
const mostDisturbed = 1000.0

// useful takes out engines where the request would wait for too long, and crowded
// ones that would have to read a prompt which another engine has cached: reading stops
// all streams there, so that in an overload each engine in turn fills up.
func (fleet *Fleet) useful(open []candidate, ask Request) []candidate {
	if len(ask.Parts) == 0 || len(open) == 0 {
		return open
	}
	least := slices.MinFunc(open, func(a, b candidate) int { return a.uncached - b.uncached }).uncached
	return slices.DeleteFunc(open, func(c candidate) bool {
		if ask.MaxEngineWait > 0 && c.waiting > float64(ask.MaxEngineWait) {
			return true
		}
		extra := float64(c.uncached-least) / fleet.settings.PrefillRate
		return extra*float64(c.held) > mostDisturbed
	})
}

// weigh returns a replica with its expected time.
func (fleet *Fleet) weigh(member holding, access Access, ask Request, sources sources, now timekeeper.Instant) candidate {
	held := member.load
	cost := member.doubt.penalty(now) + member.pace.over(fleet.paceOf(member.Service), now)
	cost += float64(member.overdue(now)) * float64(failurePenalty)
	if member.DataCentre != fleet.settings.DataCentre {
		cost += distanceCost
	}
	if len(ask.Parts) == 0 {
		expected := float64(max(0, held-member.Slots+1)) * waitCost
		return candidate{
			replica: member.replica, access: access, held: held, expected: expected, cost: cost + expected + float64(held)*plainCost,
		}
	}
	fetch := sources.to(member.replica, member.shared, held, now)
	uncached := member.uncached - fetch.tokens
	waiting := member.waiting
	reading := float64(uncached) / fleet.settings.PrefillRate
	expected := waiting + fetch.time + reading
	weight := sources.weight.at(expected)
	read := readCost(reading, held, weight) + fetch.price + weight*fetch.time
	cost += weight*waiting + crowdCost*float64(held) + read
	return candidate{
		replica: member.replica, access: access, held: held, uncached: uncached, waiting: waiting, expected: expected, cost: cost,
		reading: read, fetch: fetch,
	}
}

// readCost returns what reading for a time costs at an engine that holds some
// requests, in milliseconds: what operators pay for it, and the time of the engine and
// of who is there, which counts by its weight.
func readCost(reading float64, held int, weight float64) float64 {
	return (priceWeight + weight*(reuseWeight-priceWeight+disturbance*float64(held))) * reading
}

// bounded takes out replicas that hold more than their share: a multiple of the service's
// mean, set by the operator, plus what few requests may lie unevenly. An even share is
// always allowed. For the mean see spread.
func (fleet *Fleet) bounded(open []candidate, ask Request, spread spread, now timekeeper.Instant) ([]candidate, Reason) {
	if len(open) == 0 {
		return nil, AllFull
	}
	even := meanHeld(open)
	share := max(even, margin*fleet.settings.LoadFactor*spread.mean(even)) + spare
	places := 1 - kept*fleet.queue(ask.Service).moreUrgent(ask.Priority, now)
	free := slices.DeleteFunc(open, func(c candidate) bool {
		held := float64(c.held)
		return held > share || held >= places*c.depth()
	})
	if len(free) == 0 {
		return nil, AllFull
	}
	return free, noReason
}

// meanHeld returns the mean of what candidates hold; there must be one.
func meanHeld(candidates []candidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.held
	}
	return float64(total) / float64(len(candidates))
}

// held returns how many requests a replica is believed to hold: what this entry
// and its peers have there, or what the replica said a moment ago.
func (known *replica) held(peers InFlight, now timekeeper.Instant) int {
	held := known.running + peers.Running
	if known.reported != 0 && now.Since(known.reported) <= reportLife {
		held = max(held, known.report.Running+known.report.Waiting)
	}
	return held
}

// kept is the share of its places that a replica keeps for what is more urgent, if all
// other arrivals are: long answers that are least urgent would fill them otherwise.
const kept = 0.3

// depth returns how many requests a replica should hold at most.
func (c candidate) depth() float64 {
	switch {
	case c.Slots <= 0:
		return math.Inf(1)
	case c.cache != nil:
		return engineDepth * float64(c.Slots)
	}
	return plainDepth * float64(c.Slots)
}
