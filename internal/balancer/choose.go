package balancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// DefaultPrefillRate is the assumed number of prompt tokens that an engine prefills in a
	// millisecond. It only has to weigh prefill against waiting. It isn't derived from the
	// time until answers start, since at full engines prompts spend most of that time waiting.
	DefaultPrefillRate = 40.0
	// prefillWeight multiplies the time of a prefill in the cost. A prefill delays all other
	// requests at the engine, evicts cached prompts, and the operator pays for it.
	prefillWeight = 2.0
	// priceWeight is the part of prefillWeight that stands for what the operator pays.
	priceWeight = 1.0
	// prefillDisturbance is the cost of a prefill for each request already at the engine, as a
	// share of the prefill time: during prefill none of them gets a token. Without it, requests
	// of a burst leave full engines for engines that must prefill their prompts, which makes
	// all streams slower and engines fuller still.
	prefillDisturbance = 0.1
	// concurrencyCost is what each request at an engine adds to the expected time of the next
	// one, in milliseconds. Each running request makes a step longer and shares the chunks in
	// which prompts are prefilled.
	concurrencyCost = 4.0
	// plainRequestCost is what each request in a slot of a plain replica adds, in milliseconds;
	// a waiting request adds plainWaitCost. Plain calls take tens of milliseconds.
	plainRequestCost = 4.0
	plainWaitCost    = 30.0
	// distanceCost is what a replica in another data centre adds, in milliseconds, for the
	// round trip and the bytes that the operator pays for. It only decides between otherwise
	// equal replicas.
	distanceCost = 3.0
	// plainCostBand is the difference in cost below which plain replicas count as equal, in
	// milliseconds. It covers the error of one or two requests in an entry's estimate of its
	// peers' requests.
	plainCostBand = 6.0
	// preferenceCost is what each position in the preference order of a prompt adds to the
	// cost of an engine, in milliseconds, while digests arrive at least every
	// baseDigestInterval. See preferenceStep.
	preferenceCost = 40.0
	// baseDigestInterval is the time between two digests of a peer if there are few entries.
	baseDigestInterval = 100 * timekeeper.Millisecond
	// boundSlack is how many requests a replica may hold beyond the bound on its share, so that
	// a few requests at few replicas may be spread unevenly. The operators allow three;
	// requests that peers have started since their last digest take the rest.
	//
	// If an engine is over its share, requests whose prompts it has cached go to an engine
	// that must prefill them, so a bound far below the allowed one costs prefill.
	boundSlack = 2.0
	// boundShare is the share of the operators' bound that entries use, because peers start
	// requests between digests.
	boundShare = 0.95
	// maxPlainPerSlot is how many requests a plain replica may hold for each slot. Calls take
	// tens of milliseconds, so a request that waits there starts in time, and the slot doesn't
	// idle while entries learn that it is free. Replicas refuse beyond five.
	maxPlainPerSlot = 2
	// maxPlainPerSlotOver and maxPlainPerSlotWithin are the limits for requests over and within their
	// teams' shares while a service is contended. Its load is limited by rate then (see spareCredit),
	// and counts of peers' requests are up to a second old: with limits of 2 and 3, a quarter of the
	// slots of 24 entries stood idle, and requests within shares waited at replicas with room.
	maxPlainPerSlotOver   = 3
	maxPlainPerSlotWithin = 5
	// maxEnginePerSlot is the same limit for engines. A request that waits at an engine waits
	// behind less urgent ones, so it waits at the entry instead.
	maxEnginePerSlot = 1
	// maxEnginePerSlotWithin is the limit for requests within their teams' shares.
	maxEnginePerSlotWithin = 1 + 1.0/16
	// reportLifetime is how long a replica's own count of its requests is used. A plain call
	// takes tens of milliseconds, so the count changes within that time.
	reportLifetime = 40 * timekeeper.Millisecond
)

// Request is a request that needs a replica.
type Request struct {
	Service string
	// Parts is the prompt, starting at the root; nil for plain services.
	Parts []Part
	// Excluded are the IDs of the replicas that have already had the request.
	Excluded []string
	// SoftwareVersion is the version that began the stream which the request continues; "" means
	// any version.
	SoftwareVersion string
	// MaxConnections is how many requests this entry may have in flight at one replica; zero
	// means any number.
	MaxConnections int
	// Priority is the order of prefill at engines: 0 is served first, Priorities-1 last.
	Priority int
	// MaxEngineWait is how long the prompt may wait at an engine before prefill; zero means any
	// time.
	MaxEngineWait timekeeper.Span
	// withinShare reports that the service is contended and the request within its team's share, or
	// returning on a reservation. It may then find a place where others don't; see maxLoad.
	withinShare bool
	// perSlotWithin is how many requests a plain replica may then hold for each slot.
	perSlotWithin float64
	// contended reports that the service is contended; see spread.
	contended bool
}

// Reason is why no replica was chosen.
type Reason string

// The reasons. The zero value means that a replica was chosen.
const (
	NoReplicas     Reason = "no-replicas"
	AllUnreachable Reason = "all-unreachable"
	AllFull        Reason = "all-full"
	AllTried       Reason = "all-tried"
	AllEvacuated   Reason = "all-evacuated"
	// NoneOfVersion means that the service has replicas, but none of the software version that
	// began the stream.
	NoneOfVersion Reason = "none-of-version"
	// AllBackingOff means that all replicas that haven't had the request asked this entry to
	// back off.
	AllBackingOff Reason = "all-backing-off"
	noReason      Reason = ""
)

// Choose places a request at a replica and counts it there at once. If no replica can get it,
// the placement is nil and the reason says why. A request goes to an engine that has its prompt
// cached, unless waiting there costs more than prefill elsewhere.
func (fleet *Fleet) Choose(request Request, now timekeeper.Instant) (*Placement, Reason) {
	estimates := fleet.estimateReplicas(request)
	candidates, reason := fleet.candidates(request, estimates, now)
	if reason != noReason {
		return nil, reason
	}
	count := len(candidates)
	chosen := fleet.pick(candidates, request, now)
	guessed := fleet.guessSource(request, chosen, estimates, now)
	if guessed != nil {
		chosen = fleet.withoutFetch(chosen)
	}
	chosen.running++
	chosen.arrivals.add(1, arrivalHalfLife, now)
	chosen.usedTurn = fleet.turn(now)
	fleet.spendCold(chosen.replica, now)
	chosen.health.startTrial(now)
	chosen.statements.backoff.startTrial(now)
	chosen.pendingTokens[request.Priority] += chosen.uncached
	firstPrefill := false
	if len(request.Parts) > 0 {
		cache := fleet.cacheOf(chosen.replica)
		firstPrefill = cache.uncached(SharedParts(request.Parts)) > 0
		cache.touch(request.Parts, now)
	}
	placement := &Placement{
		Replica: fleet.knownRow(chosen.replica), Uncached: chosen.uncached, Expected: timekeeper.Span(chosen.expected),
		Load: chosen.load, Candidates: count, Access: chosen.access, ListVersion: fleet.version,
		FirstPrefill: firstPrefill, chosenAt: now, priority: request.Priority, load: chosen.ownLoad,
	}
	if guessed != nil {
		placement.Source = guessed.Address
	} else if chosen.fetch.from != nil {
		chosen.fetch.reserveLinks(chosen.replica, now)
		placement.Source, placement.Fetched, placement.source = chosen.fetch.from.Address, chosen.fetch.tokens, chosen.fetch.from
	}
	chosen.unanswered[placement] = struct{}{}
	return placement, noReason
}

// pick selects one of the candidates: for plain calls one of the cheapest at random, for a hot
// part one of the engines that share it, and otherwise the cheapest engine, with the cost of
// its position in the preference order of the prompt.
func (fleet *Fleet) pick(candidates []candidate, request Request, now timekeeper.Instant) candidate {
	shared := SharedParts(request.Parts)
	if len(shared) == 0 {
		if request.contended && len(request.Parts) == 0 && len(fleet.peers) > 0 {
			return fleet.spread(candidates, request)
		}
		equals := cheapestWithin(plainCostBand, candidates)
		return equals[fleet.random.IntN(len(equals))]
	}
	deepest := shared[len(shared)-1].ID
	if count := fleet.enginesForPart(deepest, candidates, now); count > 1 {
		return fleet.pickForHotPart(candidates, deepest, count)
	}
	setWeights(candidates, deepest)
	return cheapest(candidates, fleet.preferenceStep(), TokensOf(request.Parts)-TokensOf(shared))
}

// cheapest returns the candidate with the lowest cost, including the cost of its position in
// the preference order; own is the number of tokens that no other request shares. Most
// candidates cost more than the first in the order whatever their position, so the position is
// computed only for a few: one pass over hundreds of engines.
func cheapest(candidates []candidate, step preferenceStep, own int) candidate {
	best := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) })
	lowest := best.cost
	for _, c := range candidates {
		stepCost := step.costFor(c, own)
		if c.cost+stepCost >= lowest {
			continue
		}
		if cost := c.cost + stepCost*float64(positionOf(c, candidates)); cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

// positionOf returns the position of a candidate in the preference order, starting at zero.
func positionOf(one candidate, candidates []candidate) int {
	position := 0
	for i := range candidates {
		if candidates[i].weight > one.weight {
			position++
		}
	}
	return position
}

// preferenceStep is what each position in the preference order of a prompt adds to the cost of
// an engine, in milliseconds: cached applies to engines that have all shared parts of the
// prompt, other to the rest.
type preferenceStep struct{ cached, other float64 }

// preferenceStep returns the cost of a position. Entries with different knowledge would prefill
// a prompt at different engines; only the preference order is the same for all. The older
// digests are, the more a position costs where the prompt isn't cached, and the less where it
// is cached: there no prefill is repeated, while requests would pile up at the first engine
// until entries receive each other's load.
func (fleet *Fleet) preferenceStep() preferenceStep {
	age := max(1, float64(fleet.digestInterval())/float64(baseDigestInterval))
	return preferenceStep{cached: preferenceCost / (age * age), other: preferenceCost * age}
}

// costFor returns the cost of a position for an engine; own is the number of prompt tokens that
// no other request shares.
func (step preferenceStep) costFor(c candidate, own int) float64 {
	if c.uncached+c.fetch.tokens <= own {
		return step.cached
	}
	return step.other
}

// setWeights sets the rendezvous weights of the candidates for a prompt part.
func setWeights(candidates []candidate, part uint64) {
	for i := range candidates {
		candidates[i].weight = rendezvousWeight(part, candidates[i].ID)
	}
}

// cheapestWithin returns the candidates whose cost is within a band of the lowest. One of them
// is drawn at random, so that entries don't all choose the same one.
func cheapestWithin(band float64, candidates []candidate) []candidate {
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > best.cost+band })
}

// rendezvousWeight returns the weight of a replica for a prompt part, in [0, 1). The replica
// with the highest weight is preferred.
func rendezvousWeight(part uint64, id string) float64 {
	digest := xxhash.NewWithSeed(part)
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / math.Exp2(53)
}
