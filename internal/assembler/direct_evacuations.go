package assembler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// endNotice is how long digests say that no data centre is evacuated after one was:
	// a peer that was cut off for longer asks for it by what it tells itself.
	endNotice = 10 * timekeeper.Second
	// correctionNotice is the same after a peer was heard to go by older evacuations.
	correctionNotice = 3 * timekeeper.Second
)

// notice is until when something is told. The zero value tells nothing.
type notice struct{ until atomic.Int64 }

func (notice *notice) extend(until timekeeper.Instant) {
	if now := notice.until.Load(); int64(until) > now {
		notice.until.CompareAndSwap(now, int64(until))
	}
}

func (notice *notice) active(now timekeeper.Instant) bool {
	return now < timekeeper.Instant(notice.until.Load())
}

// evacuations returns what is in force here, and whether digests tell of it.
func (fellows *fellows) evacuations() (current balancer.Evacuations, tell bool) {
	fellows.direct.fleet.With(func(fleet *balancer.Fleet) { current = fleet.Evacuations() })
	return current, len(current.DataCentres) > 0 || fellows.notice.active(fellows.direct.clock.Now())
}

// evacuate puts evacuations in force, unless newer ones are, and reports whether they are
// of other data centres than before. What the entry has read itself it tells at once; what
// it was told comes with its next digest.
func (direct *Direct) evacuate(evacuations balancer.Evacuations, from string) bool {
	now := direct.clock.Now()
	changed := false
	direct.fleet.With(func(fleet *balancer.Fleet) { changed = fleet.Evacuate(evacuations, now) })
	if !changed {
		return false
	}
	direct.fellows.notice.extend(now.Add(endNotice))
	direct.log.WithFields(logrus.Fields{
		"version": evacuations.Version, "data-centres": evacuations.DataCentres, "from": from,
	}).Info("evacuations in force")
	return true
}

// hearEvacuations takes in those of a peer. One that goes by older ones is told.
func (direct *Direct) hearEvacuations(told balancer.Evacuations, peer string) {
	if direct.evacuate(told, "peer "+peer) {
		return
	}
	current, _ := direct.fellows.evacuations()
	if told.Version < current.Version && !told.SameDataCentres(current) {
		direct.fellows.notice.extend(direct.clock.Now().Add(correctionNotice))
	}
}
