package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// minTurn is the shortest time for which entries take turns at a replica.
const minTurn = 100 * timekeeper.Millisecond

// dropOthersTurns removes the open replicas that it is the turn of other entries to use.
//
// When a few open replicas have room for less than a request of each entry, all entries would use
// that room before they receive each other's digests. So in each interval between digests only as
// many entries as there is room for send a replica one request each. Rendezvous hashing selects
// them, without any message, and others in the next interval.
func (fleet *Fleet) dropOthersTurns(open []candidate, loadTotal loadTotal, now timekeeper.Instant) []candidate {
	turn := fleet.turn(now)
	bound := fleet.bound(loadTotal, loadTotal.usableMean())
	return slices.DeleteFunc(open, func(c candidate) bool {
		room := int(bound) + 1 - c.load
		if room >= fleet.entries.count() {
			return false
		}
		return c.usedTurn == turn || !fleet.entries.uses(c.key^Key(turn*turnStep), room)
	})
}

// turn returns the number of the interval between digests.
func (fleet *Fleet) turn(now timekeeper.Instant) timekeeper.Span {
	return now.Since(0) / max(minTurn, fleet.digestInterval())
}

// turnStep spreads the numbers of turns over the keys of replicas (the golden ratio of 32 bits).
const turnStep = 0x9e3779b9
