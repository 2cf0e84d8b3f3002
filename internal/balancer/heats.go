package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// heatMemory is the half-life of how often a prompt part was asked for: long
	// enough that an entry which sees one in thirty of the requests counts some of
	// them, short enough that a part is hot within seconds.
	heatMemory = 2 * timekeeper.Second
	// mostHeats bounds the parts that are counted; some 100 bytes each.
	mostHeats = 4096
	// coldHeat is a count at which a part is forgotten where room is needed.
	coldHeat = 0.2
	// oneTime is what a part must have been asked for beyond to count as hot: a
	// single request says nothing of how many come by other entries.
	oneTime = 1.0
	// heldFor is how long a request for a hot part holds its engine, the prompt
	// cached.
	heldFor = 800 * timekeeper.Millisecond
	// heldGaps bounds it in times between two digests: what is older is known, and
	// has its price: counted twice, it makes few entries read hot prompts again.
	heldGaps = 2
	// leastShare is how many of a hot part's requests an engine takes at least,
	// where the mean of the service is lower.
	leastShare = 4.0
)

// heats counts how often this entry was asked for the deepest shared parts of
// late.
type heats map[uint64]*decaying

// count counts a request for a part and returns how many came before.
func (heats heats) count(part uint64, now timekeeper.Instant) float64 {
	if len(heats) >= mostHeats {
		maps.DeleteFunc(heats, func(_ uint64, heat *decaying) bool { return heat.now(heatMemory, now) < coldHeat })
	}
	if len(heats) >= mostHeats {
		clear(heats)
	}
	heat := entryOf(heats, part)
	before := heat.now(heatMemory, now)
	heat.add(1, heatMemory, now)
	return before
}

// holders returns how many engines should share the requests for a part. Each entry takes
// the others to see as much of the part as it does itself, and so knows before any digest
// how many engines the part needs.
func (fleet *Fleet) holders(part uint64, candidates []candidate, now timekeeper.Instant) int {
	seen := max(0, fleet.heats.count(part, now)-oneTime)
	perMillisecond := seen * math.Ln2 / float64(heatMemory) * float64(len(fleet.peers)+1)
	span := min(heldFor, heldGaps*fleet.staleness())
	return 1 + int(perMillisecond*float64(span)/max(leastShare, meanHeld(candidates)))
}

// pickHolder chooses at random among the engines that share a hot part: those
// that rendezvous ranks first, so that all entries read it into the same ones.
// Engines that would be slow for another reason than reading are left out.
func (fleet *Fleet) pickHolder(candidates []candidate, part uint64, count int) candidate {
	other := func(c candidate) float64 { return c.cost - c.reading }
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(other(a), other(b)) })
	sound := slices.DeleteFunc(candidates, func(c candidate) bool { return other(c) > other(best)+holderBand })
	setWeights(sound, part)
	slices.SortFunc(sound, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	return sound[fleet.draws.IntN(min(count, len(sound)))]
}

// holderBand is how much more than the best an engine may cost, reading apart, to
// take its part of a hot prompt, in milliseconds: less than one failure adds.
const holderBand = 100.0
