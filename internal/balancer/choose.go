package balancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// DefaultPrefillRate is how many prompt tokens an engine is taken to read in a
	// millisecond: it only has to weigh reading against waiting. It isn't learnt from
	// how long answers take, since at full engines that time is spent waiting.
	DefaultPrefillRate = 40.0
	// reuseWeight is how many times its own time reading a prompt again counts. It
	// delays all others at the engine, evicts what they have cached, and the
	// operator pays for it.
	reuseWeight = 2.0
	// priceWeight is the part of it that stands for what the operator pays.
	priceWeight = 1.0
	// disturbance is the weight of what reading a prompt costs each request that is
	// at the engine already: while the engine reads, none of them gets a token.
	// Without it requests of a burst leave full engines for others that have to read
	// their prompts; reading makes all streams slower, so that engines are fuller still.
	disturbance = 0.1
	// crowdCost is what each request at an engine adds to the expected time of
	// the next one, in milliseconds. Each running request makes a step longer and
	// shares the chunks in which prompts are read.
	crowdCost = 4.0
	// plainCost is what each request in a slot of a plain replica adds, in
	// milliseconds; one that waits adds waitCost. Plain calls take tens of
	// milliseconds.
	plainCost = 4.0
	waitCost  = 30.0
	// distanceCost is what another data centre adds, in milliseconds: the round
	// trip, and bytes that the operator pays for. It decides among equals only.
	distanceCost = 3.0
	// plainBand is the difference in cost below which plain replicas count as
	// equal, in milliseconds: the noise of what entries believe of each other's
	// requests, one or two.
	plainBand = 6.0
	// preferenceCost is what each place in the preference order of a prompt adds to
	// the cost of an engine, in milliseconds, while digests are fresh. See
	// preferenceStep.
	preferenceCost = 40.0
	// fresh is the time between two digests of a peer among a few entries.
	fresh = 100 * timekeeper.Millisecond
	// spare is what a replica may hold beyond the bound on its share, so that few
	// requests at few replicas may lie unevenly. The operators allow three; what
	// peers have begun since their last digest takes the rest.
	//
	// An engine over its share sends prompts that it has cached to one that has to
	// read them, so a bound drawn far inside what is allowed costs reading.
	spare = 2.0
	// margin takes a part off the bound, for the same.
	margin = 0.95
	// plainDepth is how many requests a plain replica may hold for each slot. At
	// tens of milliseconds a call one that waits there begins in time, and no slot
	// is idle while an entry hears of it; replicas refuse beyond five.
	plainDepth = 2
	// engineDepth is the same for engines: what waits there waits behind what is
	// less urgent, so it waits at the entry instead.
	engineDepth = 1
	// reportLife is how long a replica's own count of its requests is believed: a
	// plain call takes tens of milliseconds, so the count is another one after.
	reportLife = 40 * timekeeper.Millisecond
)

// Request is a request that needs a replica.
type Request struct {
	Service string
	// Parts is the prompt, root first; nil for plain services.
	Parts []Part
	// Excluded are incarnations that have had the request.
	Excluded []string
	// MaxConnections is how many requests this entry may have at one replica; zero
	// means any number.
	MaxConnections int
	// Priority is the one that engines read the prompt in, from 0, which is first,
	// to Priorities-1.
	Priority int
	// MaxEngineWait is how long the prompt may wait at an engine before it is read; zero
	// means any time.
	MaxEngineWait timekeeper.Span
}

// Reason says why there is no choice.
type Reason string

// The reasons. The zero value means that there is a choice.
const (
	NoReplicas     Reason = "no-replicas"
	AllUnreachable Reason = "all-unreachable"
	AllFull        Reason = "all-full"
	AllTried       Reason = "all-tried"
	AllEvacuated   Reason = "all-evacuated"
	// AllBackingOff: those that the request has not met want nothing for a time.
	AllBackingOff Reason = "all-backing-off"
	noReason      Reason = ""
)

// Choose gives the request to a replica, and counts it there at once. Without a
// choice the placement is nil and the reason says why. A request goes where its prompt is
// cached, unless the wait there costs more than reading it elsewhere.
func (fleet *Fleet) Choose(ask Request, now timekeeper.Instant) (*Placement, Reason) {
	held := fleet.holdings(ask)
	candidates, reason := fleet.candidates(ask, held, now)
	if reason != noReason {
		return nil, reason
	}
	count := len(candidates)
	chosen := fleet.pick(candidates, ask, now)
	guessed := fleet.guess(ask, chosen, held, now)
	if guessed != nil {
		chosen = fleet.withoutFetch(chosen)
	}
	chosen.running++
	chosen.cold.spend(now)
	chosen.doubt.tried(now)
	chosen.said.backoff.tried(now)
	chosen.unread[ask.Priority] += chosen.uncached
	firstRead := false
	if len(ask.Parts) > 0 {
		cache := fleet.cacheOf(chosen.replica)
		firstRead = cache.uncached(SharedParts(ask.Parts)) > 0
		cache.touch(ask.Parts, now)
	}
	placement := &Placement{
		Replica: chosen.Replica, Uncached: chosen.uncached, Expected: timekeeper.Span(chosen.expected),
		Held: chosen.held, Candidates: count, Access: chosen.access, ListVersion: fleet.version,
		FirstPrefill: firstRead, at: now, priority: ask.Priority,
	}
	if guessed != nil {
		placement.Source = guessed.Address
	} else if chosen.fetch.from != nil {
		chosen.fetch.hold(chosen.replica, now)
		placement.Source, placement.Fetched, placement.source = chosen.fetch.from.Address, chosen.fetch.tokens, chosen.fetch.from
	}
	chosen.awaited[placement] = struct{}{}
	return placement, noReason
}

// pick chooses among candidates: for plain calls one of the cheapest, for prompts
// one of the engines that share a hot part, or else the one that is cheapest with
// the price of its place in the preference order of the prompt.
func (fleet *Fleet) pick(candidates []candidate, ask Request, now timekeeper.Instant) candidate {
	shared := SharedParts(ask.Parts)
	if len(shared) == 0 {
		equals := within(plainBand, candidates)
		return equals[fleet.draws.IntN(len(equals))]
	}
	deepest := shared[len(shared)-1].ID
	if count := fleet.holders(deepest, candidates, now); count > 1 {
		return fleet.pickHolder(candidates, deepest, count)
	}
	setWeights(candidates, deepest)
	return cheapest(candidates, fleet.preferenceStep(), TokensOf(ask.Parts)-TokensOf(shared))
}

// cheapest returns the candidate that costs least with the price of its place in
// the preference order; own is the part of the prompt that no other request shares. Most
// cost more than the first one does, whatever their place, so only of few the place has to
// be counted: one pass among hundreds of engines.
func cheapest(candidates []candidate, step preferenceStep, own int) candidate {
	best := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) })
	least := best.cost
	for _, c := range candidates {
		price := step.of(c, own)
		if c.cost+price >= least {
			continue
		}
		if cost := c.cost + price*float64(placeOf(c, candidates)); cost < least {
			best, least = c, cost
		}
	}
	return best
}

// placeOf returns the place of a candidate in the preference order, from zero.
func placeOf(one candidate, candidates []candidate) int {
	place := 0
	for i := range candidates {
		if candidates[i].weight > one.weight {
			place++
		}
	}
	return place
}

// preferenceStep is what each place in the preference order of a prompt adds to the cost
// of an engine, in milliseconds: of one that has all shared parts of the prompt, and of any
// other.
type preferenceStep struct{ holder, other float64 }

// preferenceStep returns the price of a place. Entries that know different things read a
// prompt at different engines; only the preference order is the same for all. The older
// digests are, the more a place costs where the prompt would have to be read, and the less
// where it is cached: there nothing is read again, while requests pile up at the first
// engine before entries hear of it.
func (fleet *Fleet) preferenceStep() preferenceStep {
	age := max(1, float64(fleet.staleness())/float64(fresh))
	return preferenceStep{holder: preferenceCost / (age * age), other: preferenceCost * age}
}

// of returns the price of a place for an engine, by the part of the prompt that no other
// request shares.
func (step preferenceStep) of(c candidate, own int) float64 {
	if c.uncached+c.fetch.tokens <= own {
		return step.holder
	}
	return step.other
}

// setWeights sets the weights that the preference order of a prompt part goes by.
func setWeights(candidates []candidate, part uint64) {
	for i := range candidates {
		candidates[i].weight = rendezvous(part, candidates[i].ID)
	}
}

// within returns the candidates that cost little more than the cheapest. One of
// them is drawn at random, so that entries don't herd.
func within(band float64, candidates []candidate) []candidate {
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > best.cost+band })
}

// rendezvous returns the weight of a replica for a prompt part, from [0, 1); the
// heaviest is preferred.
func rendezvous(part uint64, id string) float64 {
	digest := xxhash.NewWithSeed(part)
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / math.Exp2(53)
}
