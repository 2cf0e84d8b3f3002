package assembler

import (
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// coldEntryTimeout is how long a silent peer still counts as an entry that sends to
	// cold replicas: it may be cut off from this entry, but not from the replicas.
	coldEntryTimeout = timekeeper.Minute
	// coldSendDelay is how long after reading the other entries' addresses an entry sends
	// nothing to cold replicas. By then it and the entries that started later know each
	// other.
	coldSendDelay = 2 * timekeeper.Second
)

// coldSharing holds when this entry read the addresses of the other entries, with which it
// shares the cold-start rate. The zero value means that it has not read them yet.
type coldSharing struct{ since atomic.Int64 }

func (coldSharing *coldSharing) recordRegistered(now timekeeper.Instant) {
	coldSharing.since.CompareAndSwap(0, int64(now))
}

// complete reports whether this entry and the other entries know each other.
func (coldSharing *coldSharing) complete(now timekeeper.Instant) bool {
	since := timekeeper.Instant(coldSharing.since.Load())
	return since != 0 && now.Since(since) >= coldSendDelay
}

// updateColdSharing sets the entries that share the cold-start rate, once all are known.
func (peers *peers) updateColdSharing() {
	if !peers.coldSharing.complete(peers.direct.clock.Now()) {
		return
	}
	own := addressOf(peers.direct.listeners.peer)
	others := peers.gossiper.KnownPeers(coldEntryTimeout)
	peers.direct.fleet.With(func(fleet *balancer.Fleet) { fleet.SetEntries(own, others) })
}
