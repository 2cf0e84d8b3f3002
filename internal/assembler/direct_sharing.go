package assembler

import (
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// sharerMemory is how long a peer that is silent still counts as one that sends to
	// cold replicas: it may be cut off from this entry and not from them.
	sharerMemory = timekeeper.Minute
	// sharerPatience is how long after it read the others' addresses an entry sends nothing
	// to cold replicas: those that have started since know it by then, and it knows them.
	sharerPatience = 2 * timekeeper.Second
)

// sharing is since when this entry knows who else sends to cold replicas. The zero value
// knows nobody.
type sharing struct{ since atomic.Int64 }

func (sharing *sharing) registered(now timekeeper.Instant) {
	sharing.since.CompareAndSwap(0, int64(now))
}

// settled reports whether the entry knows the others, and they know it.
func (sharing *sharing) settled(now timekeeper.Instant) bool {
	since := timekeeper.Instant(sharing.since.Load())
	return since != 0 && now.Since(since) >= sharerPatience
}

// share tells the fleet who shares what cold replicas tolerate.
func (fellows *fellows) share() {
	if !fellows.sharing.settled(fellows.direct.clock.Now()) {
		return
	}
	own := addressOf(fellows.direct.listeners.peers)
	others := fellows.gossiper.KnownPeers(sharerMemory)
	fellows.direct.fleet.With(func(fleet *balancer.Fleet) { fleet.SetEntries(own, others) })
}
