package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// partRateHalfLife is the half-life of the request count of a prompt part: long enough that
	// an entry that sees one in thirty of the requests counts some of them, and short enough
	// that a part becomes hot within seconds.
	partRateHalfLife = 2 * timekeeper.Second
	// maxPartRates limits the counted parts; each takes some 100 bytes.
	maxPartRates = 4096
	// minPartCount is the count below which a part is dropped when room is needed.
	minPartCount = 0.2
	// hotThreshold is the count above which a part is hot. A single request doesn't show how
	// many arrive at other entries.
	hotThreshold = 1.0
	// hotHoldTime is how long a request for a hot part occupies its engine when the prompt is
	// cached.
	hotHoldTime = 800 * timekeeper.Millisecond
	// maxHoldIntervals limits hotHoldTime to a number of digest intervals. Older requests are
	// in the digests and already add to the cost; if they counted twice, a fleet of few
	// entries would prefill hot prompts at more engines.
	maxHoldIntervals = 2
	// minEngineShare is the least number of requests for a hot part that each engine should
	// get, if the mean load of the service is lower.
	minEngineShare = 4.0
)

// partRates counts the recent requests of this entry for the deepest shared parts.
type partRates map[uint64]*decaying

// count counts a request for a part and returns the count before it.
func (partRates partRates) count(part uint64, now timekeeper.Instant) float64 {
	if len(partRates) >= maxPartRates {
		maps.DeleteFunc(partRates, func(_ uint64, rate *decaying) bool { return rate.now(partRateHalfLife, now) < minPartCount })
	}
	if len(partRates) >= maxPartRates {
		clear(partRates)
	}
	rate := getOrCreate(partRates, part)
	before := rate.now(partRateHalfLife, now)
	rate.add(1, partRateHalfLife, now)
	return before
}

// enginesForPart counts a request for a part and returns how many engines should share the
// part. Each entry assumes that its peers get as many requests for the part as it does, so it
// knows the number before any digest arrives.
func (fleet *Fleet) enginesForPart(part uint64, candidates []candidate, now timekeeper.Instant) int {
	seen := max(0, fleet.partRates.count(part, now)-hotThreshold)
	perMillisecond := seen * math.Ln2 / float64(partRateHalfLife) * float64(len(fleet.peers)+1)
	span := min(hotHoldTime, maxHoldIntervals*fleet.digestInterval())
	return 1 + int(perMillisecond*float64(span)/max(minEngineShare, meanLoad(candidates)))
}

// pickForHotPart chooses at random among the engines that share a hot part. These are the
// first in rendezvous order, so that all entries use the same ones. Engines whose cost is high
// apart from promptCost are left out.
func (fleet *Fleet) pickForHotPart(candidates []candidate, part uint64, count int) candidate {
	costWithoutPrompt := func(c candidate) float64 { return c.cost - c.promptCost }
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(costWithoutPrompt(a), costWithoutPrompt(b)) })
	eligible := slices.DeleteFunc(candidates, func(c candidate) bool { return costWithoutPrompt(c) > costWithoutPrompt(best)+hotPartCostBand })
	setWeights(eligible, part)
	slices.SortFunc(eligible, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	return eligible[fleet.random.IntN(min(count, len(eligible)))]
}

// hotPartCostBand is how much more than the best an engine may cost, apart from promptCost, to
// serve a hot part, in milliseconds. It is less than the penalty of one failure.
const hotPartCostBand = 100.0
