package assembler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// endPublishTime is how long digests still carry the empty set after the last
	// evacuation has ended. A peer that was cut off for longer publishes the old set, and
	// this entry then publishes the empty one again.
	endPublishTime = 10 * timekeeper.Second
	// correctionPublishTime is how long digests carry the set of this entry after a peer
	// has published an older one.
	correctionPublishTime = 3 * timekeeper.Second
)

// publishWindow holds the instant until which digests carry the evacuations although none
// is in force. The zero value is over.
type publishWindow struct{ until atomic.Int64 }

func (publishWindow *publishWindow) extend(until timekeeper.Instant) {
	if now := publishWindow.until.Load(); int64(until) > now {
		publishWindow.until.CompareAndSwap(now, int64(until))
	}
}

func (publishWindow *publishWindow) active(now timekeeper.Instant) bool {
	return now < timekeeper.Instant(publishWindow.until.Load())
}

// evacuations returns the evacuations in force at this entry, and whether digests carry
// them.
func (peers *peers) evacuations() (current balancer.Evacuations, publish bool) {
	peers.direct.fleet.With(func(fleet *balancer.Fleet) { current = fleet.Evacuations() })
	return current, len(current.DataCentres) > 0 || peers.publishWindow.active(peers.direct.clock.Now())
}

// applyEvacuations puts evacuations in force, unless newer ones are, and reports whether
// the set of data centres has changed. The caller publishes at once what this entry has
// read itself; what a peer sent goes out with the next digest.
func (direct *Direct) applyEvacuations(evacuations balancer.Evacuations, from string) bool {
	now := direct.clock.Now()
	changed := false
	direct.fleet.With(func(fleet *balancer.Fleet) { changed = fleet.Evacuate(evacuations, now) })
	if !changed {
		return false
	}
	direct.peers.publishWindow.extend(now.Add(endPublishTime))
	direct.log.WithFields(logrus.Fields{
		labelVersion: evacuations.Version.Number, labelEra: evacuations.Version.Era, "data-centres": evacuations.DataCentres, labelFrom: from,
	}).Info("evacuations in force")
	return true
}

// applyPeerEvacuations applies the evacuations in a peer's digest. If they are older and
// differ, it publishes those of this entry.
func (direct *Direct) applyPeerEvacuations(received balancer.Evacuations, peer string) {
	if direct.applyEvacuations(received, "peer "+peer) {
		return
	}
	current, _ := direct.peers.evacuations()
	if received.Version.Before(current.Version) && !received.SameDataCentres(current) {
		direct.peers.publishWindow.extend(direct.clock.Now().Add(correctionPublishTime))
	}
}
