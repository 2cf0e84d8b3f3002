package assembler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
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

// registered reports whether the addresses have been read.
func (coldSharing *coldSharing) registered() bool { return coldSharing.since.Load() != 0 }

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

// checksHealth reports whether this entry checks the health of replicas if it is selected.
func (direct *Direct) checksHealth() (checks bool) {
	direct.fleet.With(func(fleet *balancer.Fleet) { checks = fleet.ChecksHealth() })
	return checks
}

// announceCold sends peers that a replica has said in an answer that it is cold.
func (direct *Direct) announceCold(replica balancer.Replica, until timekeeper.Instant) {
	direct.peers.gossiper.SendCold(gossiper.ColdNotice{Replica: replica.Key(), Until: until})
	direct.logCold(replica, until, logrus.Fields{labelFrom: "replica"})
}

// logCold logs that a replica has turned cold, and what this entry has in flight there.
func (direct *Direct) logCold(replica balancer.Replica, until timekeeper.Instant, source logrus.Fields) {
	now := direct.clock.Now()
	fields := logrus.Fields{
		labelReplica: replica.ID, labelService: replica.Service, "warm-in-ms": int64(until.Since(now)),
	}
	direct.fleet.With(func(fleet *balancer.Fleet) { fields["in-flight"] = fleet.InFlight(now)[replica.Key()].Running })
	direct.log.WithFields(source).WithFields(fields).Info("replica is cold")
}

// applyColdNotices marks replicas as cold that a peer has read to be cold.
func (peers *peers) applyColdNotices(digest gossiper.Digest) {
	for _, notice := range digest.Cold {
		var replica balancer.Replica
		changed := false
		peers.direct.fleet.With(func(fleet *balancer.Fleet) { replica, changed = fleet.MarkCold(notice.Replica, notice.Until) })
		if changed {
			peers.direct.logCold(replica, notice.Until, logrus.Fields{labelFrom: "peer " + digest.Address})
		}
	}
}
