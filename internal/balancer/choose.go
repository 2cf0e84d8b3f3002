package balancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond. The
	// engines in use read 38 to 44; the value only has to weigh reading against
	// waiting.
	readRate = 40.0
	// reuseWeight is how many times its own time reading a prompt again counts. It
	// delays all others at the engine, evicts what they have cached, and the
	// operator pays for it. On the twelve standard days of both sites, twice cut
	// the price of a day by up to a sixth, on one of them by nothing; thrice cost
	// 0.05 of the worth of one day.
	reuseWeight = 2.0
	// disturbance is the weight of what reading a prompt costs each request that is
	// at the engine already: while the engine reads, none of them gets a token.
	// Without it a burst at half of what the engines can do made requests leave
	// full engines for others that had to read their prompts; reading made all
	// streams slower, so that engines were fuller still: 0.65 of such a burst were
	// served, with it 0.99. More than a tenth gains nothing.
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
	// nearLeast is the difference in cost below which replicas always count as
	// equal, in milliseconds. It is the noise of what entries believe of each
	// other's requests where digests come ten times a second: a request or two.
	nearLeast = 6.0
	// nearFresh is the time between two digests up to which nearLeast is enough.
	// Above it nearGain adds milliseconds of cost for each millisecond. In
	// simulation 31 entries before 56 engines with digests 600 ms apart, which start
	// with nothing cached, earned 0.937 of the worth with 6 ms, 0.991 with 150,
	// 0.997 with 400, no more beyond; 0.043 of their requests went to engines over
	// their share with 6 ms, 0.009 with 400. Four entries with digests 100 ms apart
	// read twice as much again with 250 ms as with 6.
	nearFresh = 100 * timekeeper.Millisecond
	nearGain  = 0.7
	// spare is what a replica may hold beyond the bound on its share, so that few
	// requests at few replicas may lie unevenly. The operators allow three; what
	// peers have begun since their last digest takes the rest.
	//
	// An engine over its share sends prompts that it has cached to one that has to
	// read them, so a bound drawn far inside what is allowed costs reading. In
	// simulation 0.85 and one read 1.21 million tokens again before 56 engines and
	// 59 thousand before nine, 0.95 and two 0.92 million and 34 thousand, with 0.008
	// of the requests beyond what is allowed in place of 0.006. The operators call
	// 0.03 too many.
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

// Ask is a request that needs a replica.
type Ask struct {
	Service string
	// Parts is the prompt, root first; nil for plain services.
	Parts []Part
	// Excluded are incarnations that have had the request.
	Excluded []string
	// Connections is how many requests this entry may have at one replica; zero
	// means any number.
	Connections int
	// Priority is the one that engines read the prompt in, from 0, which is first,
	// to Priorities-1.
	Priority int
	// Within is how long the prompt may wait at an engine before it is read; zero
	// means any time.
	Within timekeeper.Span
}

// Reason says why there is no choice.
type Reason string

// The reasons. The zero value means that there is a choice.
const (
	NoReplicas   Reason = "no-replicas"
	AllUnreached Reason = "all-unreachable"
	AllFull      Reason = "all-full"
	AllTried     Reason = "all-tried"
	noReason     Reason = ""
)

// Choose gives the request to a replica, and counts it there at once. Without a
// choice the placement is nil and the reason says why.
//
// The load: many requests that share long prompt parts, a few hot ones among
// them, beside short ones that want their first token soon. The harm: 9,200
// tokens that are read from nothing hold up all others at an engine for a fifth
// of a second, so a request goes where its prompt is cached, unless the wait
// there is longer than reading it elsewhere.
func (fleet *Fleet) Choose(ask Ask, now timekeeper.Instant) (*Placement, Reason) {
	candidates, reason := fleet.candidates(ask, now)
	if reason != noReason {
		return nil, reason
	}
	count := len(candidates)
	chosen := fleet.pick(candidates, ask, now)
	chosen.running++
	chosen.doubt.tried(now)
	chosen.unread[ask.Priority] += chosen.uncached
	firstRead := false
	if len(ask.Parts) > 0 {
		cache := fleet.cacheOf(chosen.replica)
		firstRead = cache.uncached(SharedParts(ask.Parts)) > 0
		cache.touch(ask.Parts, now)
	}
	placement := &Placement{
		Replica: chosen.Replica, Uncached: chosen.uncached, Expected: timekeeper.Span(chosen.expected),
		Held: chosen.held, Candidates: count, FirstRead: firstRead, at: now, priority: ask.Priority,
	}
	chosen.awaited[placement] = struct{}{}
	return placement, noReason
}

// pick chooses among candidates: one of those that share a hot part, or one of
// the cheapest.
func (fleet *Fleet) pick(candidates []candidate, ask Ask, now timekeeper.Instant) candidate {
	shared := SharedParts(ask.Parts)
	if len(shared) == 0 {
		equals := fleet.cheapest(candidates)
		return equals[fleet.draws.IntN(len(equals))]
	}
	deepest := shared[len(shared)-1].ID
	if count := fleet.holders(deepest, candidates, now); count > 1 {
		return fleet.pickHolder(candidates, deepest, count)
	}
	return slices.MaxFunc(fleet.cheapest(candidates), func(a, b candidate) int {
		return cmp.Compare(rendezvous(deepest, a.ID), rendezvous(deepest, b.ID))
	})
}

// cheapest returns the candidates that count as equals of the cheapest one. For
// prompts the one that rendezvous ranks first among them is taken, so that all
// entries agree; else one at random, so that entries don't herd.
func (fleet *Fleet) cheapest(candidates []candidate) []candidate {
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	band := fleet.near()
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > best.cost+band })
}

// near returns the difference in cost below which replicas count as equal.
//
// The load: dozens of entries, whose digests come some times a second. The harm:
// in the time between two digests an engine works off as many milliseconds as it
// takes, or its peers give it as many, so all entries follow the same old report
// to the engine that was empty when it was sent, and read there what others
// have cached. Differences within that time are noise; what all entries agree on
// is the rank of the prompt.
func (fleet *Fleet) near() float64 {
	return max(nearLeast, nearGain*float64(fleet.staleness()-nearFresh))
}

// rendezvous returns the rank of a replica for a prompt part, from [0, 1).
func rendezvous(part uint64, id string) float64 {
	digest := xxhash.NewWithSeed(part)
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / math.Exp2(53)
}
