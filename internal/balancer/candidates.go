package balancer

import (
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// candidate is a replica that may get a request, with its estimated cost.
type candidate struct {
	*replica
	access Access
	// load is the estimated number of requests that the replica holds.
	load     int
	uncached int
	// slowdown is how many times as long as usual work takes at the replica.
	slowdown float64
	// engineWait is how long the prompt would wait at the engine before prefill, in
	// milliseconds.
	engineWait float64
	// expected is the time until the answer starts if the replica is healthy, in milliseconds.
	expected float64
	// cost is what candidates are compared by, in milliseconds. promptCost is the part of it
	// for prefill and for fetching cached parts from another engine.
	cost, promptCost float64
	// fetch describes the cached parts that the engine would fetch from another engine.
	fetch fetch
	// weight is the rendezvous weight of the replica for the prompt; see rendezvousWeight.
	weight float64
}

// estimateReplicas returns an estimate for each replica of a service, with how much of the
// prompt it has cached.
func (fleet *Fleet) estimateReplicas(request Request) []estimate {
	members := fleet.services[request.Service]
	estimates := make([]estimate, len(members))
	total, own := TokensOf(request.Parts), TokensOf(request.Parts)-TokensOf(SharedParts(request.Parts))
	for i, member := range members {
		estimates[i].replica = member
		if len(request.Parts) > 0 {
			estimates[i].uncached = fleet.cacheOf(member).uncached(request.Parts)
			estimates[i].shared = min(total-estimates[i].uncached, total-own)
		}
	}
	return estimates
}

// estimateLoads fills in the peers' requests in flight, the load, the slowdown and the wait at each
// replica.
func (fleet *Fleet) estimateLoads(request Request, estimates []estimate, now timekeeper.Instant) {
	fleet.dropExpired(now)
	for i := range estimates {
		estimates[i].peers = fleet.inFlightOfPeers(estimates[i].key)
		estimates[i].load = estimates[i].estimatedLoad(estimates[i].peers, now)
		estimates[i].slowdown = estimates[i].reportedSlowdown.now(now)
		if len(request.Parts) > 0 {
			ahead := estimates[i].tokensAhead(request.Priority, estimates[i].peers.PendingTokens)
			estimates[i].engineWait = estimates[i].slowdown * ahead / fleet.settings.PrefillRate
		}
	}
}

// candidates returns the replicas that may get the request.
func (fleet *Fleet) candidates(request Request, estimates []estimate, now timekeeper.Instant) ([]candidate, Reason) {
	fleet.estimateLoads(request, estimates, now)
	sources := fleet.findSources(request, estimates, now)
	pool := pool{open: make([]candidate, 0, len(estimates))}
	for _, member := range estimates {
		eligibility := fleet.eligibility(member.replica, now)
		pool.loadTotal.add(eligibility, member.load, fleet.entries.generation > 0)
		if !fleet.mayContinue(request, member.replica) {
			pool.otherVersions++
			continue
		}
		if !pool.admits(eligibility, slices.Contains(request.Excluded, member.ID)) {
			continue
		}
		if request.MaxConnections > 0 && member.running >= request.MaxConnections {
			continue
		}
		if eligibility.Access == Limited {
			pool.limited = append(pool.limited, member)
			continue
		}
		pool.open = append(pool.open, fleet.evaluate(member, Open, request, sources, now))
	}
	if reason := pool.reason(); reason != noReason {
		return nil, reason
	}
	if pool.loadTotal.needsCold(fleet.settings.LoadFactor) {
		shared := fleet.dropOthersTurns(pool.open, pool.loadTotal, now)
		usable := slices.Concat(shared, fleet.admittedCold(pool.limited, request, sources, now))
		suitable := fleet.dropUnsuitable(slices.Clone(usable), request)
		if within, reason := fleet.dropOverBound(suitable, request, pool.loadTotal, now); reason == noReason {
			return within, noReason
		}
		// Few engines have prompts cached then, and callers would wait for these engines.
		return fleet.dropOverBound(fleet.dropLongWaits(usable, request), request, pool.loadTotal, now)
	}
	if open, reason := fleet.dropOverBound(fleet.dropUnsuitable(pool.open, request), request, pool.loadTotal, now); reason == noReason {
		return open, noReason
	}
	limited := fleet.admittedCold(pool.limited, request, sources, now)
	return fleet.dropOverBound(fleet.dropUnsuitable(limited, request), request, pool.loadTotal, now)
}

// admittedCold returns the cold replicas that this entry may send one more request to now.
func (fleet *Fleet) admittedCold(limited []estimate, request Request, sources sources, now timekeeper.Instant) (admitted []candidate) {
	for _, member := range limited {
		if fleet.admitsCold(member.replica, now) {
			admitted = append(admitted, fleet.evaluate(member, Limited, request, sources, now))
		}
	}
	return admitted
}

// pool counts and collects the replicas of a service by whether they may get a request.
type pool struct {
	open []candidate
	// limited replicas have a rate limit, and are candidates only if no open replica remains or if
	// needsCold says so.
	limited []estimate
	// Each count includes only replicas that passed the checks before it: notEvacuated ones
	// are in no evacuated data centre, untried ones haven't had the request, notBackingOff
	// ones are in no backoff, and the health breaker of reachable ones admits a request.
	notLeaving, notEvacuated, untried, notBackingOff, reachable int
	// otherVersions counts replicas that can't continue the request's stream. No other count
	// includes them.
	otherVersions int
	loadTotal     loadTotal
}

// loadTotal is the number of replicas of a service that may hold requests, and their total
// load.
type loadTotal struct {
	replicas, load int
	// openReplicas and openLoad are those of replicas that may get any work, of any version.
	openReplicas, openLoad int
	// coldReplicas and coldLoad are those of cold replicas that this entry may use.
	coldReplicas, coldLoad int
	// restricted reports that some replicas get less work because they are evacuated, back off
	// or are cold.
	restricted bool
}

func (loadTotal *loadTotal) add(eligibility Eligibility, load int, usesCold bool) {
	switch eligibility.Cause {
	case Leaving, LeaveAnnounced, NoConnection:
		return
	case Evacuated, BackingOff, Cold:
		loadTotal.restricted = true
	}
	loadTotal.replicas++
	loadTotal.load += load
	switch eligibility.Access {
	case Open:
		loadTotal.openReplicas++
		loadTotal.openLoad += load
	case Limited:
		if usesCold {
			loadTotal.coldReplicas++
			loadTotal.coldLoad += load
		}
	case Closed:
	}
}

// needsCold reports whether the open replicas are too few to hold the load of their service within
// the load factor. Cold replicas are then used at once, at the rate that they tolerate: if the open
// ones were filled first, all entries would fill them before they know of each other's requests.
func (loadTotal loadTotal) needsCold(loadFactor float64) bool {
	usable := loadTotal.openReplicas + loadTotal.coldReplicas
	return loadTotal.coldReplicas > 0 && float64(loadTotal.openReplicas)*loadFactor < float64(usable)
}

// even returns an even share of the load for a request's candidates. A request that only one
// software version may get finds a few candidates, which may hold more than an even share of
// their service. If the open replicas are too few, cold ones count too: after most replicas of a
// service have returned cold, the few open ones would otherwise hold the whole load.
func (loadTotal loadTotal) even(request Request, candidates []candidate, loadFactor float64) float64 {
	even := meanLoad(candidates)
	if loadTotal.needsCold(loadFactor) {
		even = min(even, loadTotal.usableMean())
	}
	if request.SoftwareVersion == "" || loadTotal.openReplicas == 0 {
		return even
	}
	return min(even, float64(loadTotal.openLoad)/float64(loadTotal.openReplicas))
}

// usableMean returns the mean load of the open replicas and the cold ones that may be used.
func (loadTotal loadTotal) usableMean() float64 {
	return float64(loadTotal.openLoad+loadTotal.coldLoad) / float64(max(1, loadTotal.openReplicas+loadTotal.coldReplicas))
}

// mean returns the mean load for the bound on a replica's share, given the mean of the open
// replicas. Replicas that are evacuated, back off or are cold belong to the service though they
// hold few requests, so the lower of the two means counts.
func (loadTotal loadTotal) mean(open float64) float64 {
	if !loadTotal.restricted {
		return open
	}
	return min(open, float64(loadTotal.load)/float64(loadTotal.replicas))
}

// admits counts a replica and reports whether it may get the request.
func (pool *pool) admits(eligibility Eligibility, excluded bool) bool {
	if eligibility.Cause == Leaving || eligibility.Cause == LeaveAnnounced {
		return false
	}
	pool.notLeaving++
	if eligibility.Cause == Evacuated {
		return false
	}
	pool.notEvacuated++
	if excluded {
		return false
	}
	pool.untried++
	if eligibility.Cause == BackingOff {
		return false
	}
	pool.notBackingOff++
	if eligibility.Cause == NoConnection {
		return false
	}
	pool.reachable++
	return true
}

// reason returns why no replica may get the request.
func (pool *pool) reason() Reason {
	switch {
	case pool.notLeaving == 0 && pool.otherVersions > 0:
		return NoneOfVersion
	case pool.notLeaving == 0:
		return NoReplicas
	case pool.notEvacuated == 0:
		return AllEvacuated
	case pool.untried == 0:
		return AllTried
	case pool.notBackingOff == 0:
		return AllBackingOff
	case pool.reachable == 0:
		return AllUnreachable
	}
	return noReason
}

// maxPrefillDisturbance limits how much a prefill that another engine could save may delay the
// requests at an engine, in milliseconds times requests. A higher limit slows all streams down
// in an overload; a lower one keeps requests at engines over their share.
const maxPrefillDisturbance = 1000.0

// dropUnsuitable removes engines where the request would wait too long, and loaded engines that
// would have to prefill a prompt which another engine has cached. Prefill stops all streams of
// an engine, so in an overload one engine after the other would fill up.
func (fleet *Fleet) dropUnsuitable(open []candidate, request Request) []candidate {
	if len(request.Parts) == 0 || len(open) == 0 {
		return open
	}
	fewest := slices.MinFunc(open, func(a, b candidate) int { return a.uncached - b.uncached }).uncached
	return slices.DeleteFunc(fleet.dropLongWaits(open, request), func(c candidate) bool {
		extra := c.slowdown * float64(c.uncached-fewest) / fleet.settings.PrefillRate
		return extra*float64(c.load) > maxPrefillDisturbance
	})
}

// dropLongWaits removes engines where the request would wait too long.
func (fleet *Fleet) dropLongWaits(open []candidate, request Request) []candidate {
	return slices.DeleteFunc(open, func(c candidate) bool {
		return request.MaxEngineWait > 0 && c.engineWait > float64(request.MaxEngineWait)
	})
}

// evaluate returns a replica as a candidate with its estimated cost.
func (fleet *Fleet) evaluate(member estimate, access Access, request Request, sources sources, now timekeeper.Instant) candidate {
	load := member.load
	cost := member.health.penalty(now) + member.excessLatency.above(fleet.excessLatencyOf(member.Service), now)
	cost += float64(member.overdue(now)) * float64(failurePenalty)
	if member.DataCentre != fleet.settings.DataCentre {
		cost += distanceCost
	}
	if len(request.Parts) == 0 {
		expected := max(0, float64(load+1)-member.slotsAt(member.slowdown))*plainWaitCost + fleet.longerWork(request, member.slowdown)
		return candidate{
			replica: member.replica, access: access, load: load, slowdown: member.slowdown, expected: max(0, expected),
			cost: cost + expected + float64(load)*plainRequestCost,
		}
	}
	fetch := sources.fetchFor(member, now)
	uncached := member.uncached - fetch.tokens
	engineWait := member.engineWait
	prefill := member.slowdown * float64(uncached) / fleet.settings.PrefillRate
	expected := engineWait + fetch.time + prefill
	weight := sources.weight.at(expected)
	promptCost := prefillCost(prefill, load, weight) + fetch.price + weight*fetch.time
	cost += weight*engineWait + concurrencyCost*float64(load) + promptCost
	return candidate{
		replica: member.replica, access: access, load: load, uncached: uncached, slowdown: member.slowdown, engineWait: engineWait,
		expected: expected, cost: cost, promptCost: promptCost, fetch: fetch,
	}
}

// prefillCost returns the cost in milliseconds of a prefill at an engine with the given load.
// It consists of what operators pay for the prefill, and of the time of the engine and of the
// requests there, multiplied by weight.
func prefillCost(prefill float64, load int, weight float64) float64 {
	return (priceWeight + weight*(prefillWeight-priceWeight+prefillDisturbance*float64(load))) * prefill
}

// dropOverBound removes replicas without a free place and replicas over their share: a
// multiple of the service's mean load, set by the operator, plus a slack for uneven small
// numbers. An even share is always allowed. See loadTotal.mean for the mean.
func (fleet *Fleet) dropOverBound(open []candidate, request Request, loadTotal loadTotal, now timekeeper.Instant) ([]candidate, Reason) {
	if len(open) == 0 {
		return nil, AllFull
	}
	share := fleet.bound(loadTotal, loadTotal.even(request, open, fleet.settings.LoadFactor))
	usable := 1 - reservedShare*fleet.queue(request.Service).moreUrgentShare(request.Priority, now)
	free := slices.DeleteFunc(open, func(c candidate) bool {
		load := float64(c.load)
		return load > share || load >= usable*c.maxLoad(request)
	})
	if len(free) == 0 {
		return nil, AllFull
	}
	return free, noReason
}

// bound returns how many requests a replica may hold before another one, given an even share.
func (fleet *Fleet) bound(loadTotal loadTotal, even float64) float64 {
	return max(even, boundShare*fleet.settings.LoadFactor*loadTotal.mean(even)) + boundSlack
}

// meanLoad returns the mean load of the candidates. There must be at least one candidate.
func meanLoad(candidates []candidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.load
	}
	return float64(total) / float64(len(candidates))
}

// estimatedLoad returns the estimated number of requests at a replica: those of this entry and
// its peers, or the replica's own report if that is recent and higher.
func (member *replica) estimatedLoad(peers InFlight, now timekeeper.Instant) int {
	load := member.running + peers.Running
	if member.reportedAt != 0 && now.Since(member.reportedAt) <= reportLifetime {
		load = max(load, member.report.Running+member.report.Waiting)
	}
	return load
}

// reservedShare is the share of a replica's places that entries keep for more urgent requests,
// if all other arrivals are more urgent. Otherwise long answers of the lowest priority would
// fill all places.
const reservedShare = 0.3

// maxLoad returns how many requests a replica should hold at most. A slow plain replica uses all its
// slots, and as many requests may wait there as it begins in the usual time of one: a limit of
// maxPlainPerSlot * slots / slowdown left slots of slow replicas idle while the others were full.
func (c candidate) maxLoad(request Request) float64 {
	perSlot := float64(maxPlainPerSlot)
	switch {
	case c.Slots <= 0:
		return math.Inf(1)
	case c.cache != nil && request.withinShare:
		return maxEnginePerSlotWithin * float64(c.Slots)
	case c.cache != nil:
		return maxEnginePerSlot * float64(c.Slots)
	case request.withinShare:
		perSlot = request.perSlotWithin
	case request.contended:
		perSlot = maxPlainPerSlotOver
	}
	return float64(c.Slots) + (perSlot-1)*c.slotsAt(c.slowdown)
}
