package apportioner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// claim is the demand of a team at all entries, with its weight.
type claim struct{ demand, weight float64 }

// fraction returns the fraction of the team's requests that is within its share, given the level.
func (sum *claim) fraction(level float64) float64 {
	if share := sum.weight * level; sum.demand > share {
		return share / sum.demand
	}
	return 1
}

// compute sets the level and each team's fraction for a capacity.
func (shares *Shares) compute(capacity float64, now timekeeper.Instant) {
	shares.computedAt = now
	others := shares.sumDemands(now)
	shares.level = math.Inf(1)
	if capacity > 0 {
		shares.level = fairLevel(shares.demands, shares.left(shares.margin.now(now)*capacity, others))
	}
	shares.overLevel = nil
	over, ownOver := 0.0, 0.0
	for _, sum := range shares.demands {
		over += sum.demand * (1 - sum.fraction(shares.level))
	}
	for name, state := range shares.teams {
		state.fraction = shares.demands[state.key].fraction(shares.level)
		if state.fraction < 1 {
			shares.overLevel = append(shares.overLevel, name)
			ownOver += state.demand.now(now) * (1 - state.fraction)
		}
	}
	slices.Sort(shares.overLevel)
	shares.portion = 0
	if over > 0 {
		shares.portion = min(1, ownOver/over)
	}
}

// sumDemands sums the demands of this entry and its peers by team. It returns the demand of the teams
// that peers left out.
func (shares *Shares) sumDemands(now timekeeper.Instant) (others float64) {
	clear(shares.demands)
	for _, state := range shares.teams {
		sum := shares.claim(state.key)
		sum.demand, sum.weight = sum.demand+state.demand.now(now), state.weight
	}
	maps.DeleteFunc(shares.peers, func(_ string, held peerDemand) bool { return now > held.until })
	shares.allDemand = shares.total.now(now)
	for _, held := range shares.peers {
		shares.allDemand += held.demand.Total
		left := held.demand.Total
		for key, demand := range held.demand.Teams {
			shares.claim(key).demand += demand
			left -= demand
		}
		others += max(0, left)
	}
	return others
}

// left returns what of the shared places is left for the teams that are known by name here. The others
// leave them at least their portion of the whole demand: many small teams can exceed the capacity too.
func (shares *Shares) left(places, others float64) float64 {
	known := 0.0
	for _, sum := range shares.demands {
		known += sum.demand
	}
	if others == 0 {
		return places
	}
	return max(places-others, places*known/(known+others))
}

func (shares *Shares) claim(key uint32) *claim {
	sum, found := shares.demands[key]
	if !found {
		sum = &claim{weight: 1}
		shares.demands[key] = sum
	}
	return sum
}

// fairLevel returns the level at which the claims, each limited to its weight times the level, add up
// to the given places; infinite if they don't reach it.
func fairLevel(claims map[uint32]*claim, places float64) float64 {
	ordered := slices.SortedFunc(maps.Values(claims), func(a, b *claim) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	weights := 0.0
	for _, sum := range ordered {
		weights += sum.weight
	}
	places = max(0, places)
	for _, sum := range ordered {
		if level := places / weights; sum.demand > sum.weight*level {
			return level
		}
		places -= sum.demand
		weights -= sum.weight
	}
	return math.Inf(1)
}

// demandHalfLife is the half-life of the demands.
const demandHalfLife = timekeeper.Second

// rate is a decaying sum of amounts, as a rate per second. The zero value is zero.
type rate struct {
	sum float64
	at  timekeeper.Instant
}

// now returns the rate. A steady rate r holds the decaying sum at r times the half-life divided by
// the logarithm of 2.
func (rate *rate) now(now timekeeper.Instant) float64 {
	return rate.decayed(now) * math.Ln2 * float64(timekeeper.Second) / float64(demandHalfLife)
}

func (rate *rate) decayed(now timekeeper.Instant) float64 {
	if rate.sum == 0 {
		return 0
	}
	return rate.sum * math.Exp2(-float64(now.Since(rate.at))/float64(demandHalfLife))
}

func (rate *rate) add(amount float64, now timekeeper.Instant) {
	rate.sum, rate.at = rate.decayed(now)+amount, now
}

const (
	// fullMargin is the fraction of the capacity that is shared if nothing is known against it.
	fullMargin = 0.95
	minMargin  = 0.5
	// marginStep multiplies the margin when requests within shares find no place, at most once each
	// marginPause. It recovers by marginRecovery a second.
	marginStep     = 0.9
	marginPause    = 250 * timekeeper.Millisecond
	marginRecovery = 0.05
)

// margin is the fraction of the capacity that is shared. The zero value is fullMargin.
type margin struct {
	// lowered is the margin at loweredAt; zero means that it was never lowered.
	lowered   float64
	loweredAt timekeeper.Instant
}

func (margin *margin) now(now timekeeper.Instant) float64 {
	if margin.lowered == 0 {
		return fullMargin
	}
	return min(fullMargin, margin.lowered+marginRecovery*float64(now.Since(margin.loweredAt))/float64(timekeeper.Second))
}

func (margin *margin) lower(now timekeeper.Instant) {
	if margin.lowered != 0 && now.Since(margin.loweredAt) < marginPause {
		return
	}
	margin.lowered, margin.loweredAt = max(minMargin, marginStep*margin.now(now)), now
}
