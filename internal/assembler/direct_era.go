package assembler

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
)

// learnEra records the era of an answer of the store or of a peer's digest. If it is new, the
// store has come back from a copy: versions of the era are newer than all before, and what the
// copy may lack is held against it for a while.
//
// Lock order: the lock of the eras comes before those of the followers, the fleet and the
// gossiper.
func (direct *Direct) learnEra(era uint64, from string) {
	direct.eras.Learn(era, func(before uint64) {
		now := direct.clock.Now()
		if before != 0 {
			direct.returnedAt.Store(int64(now))
		}
		var held balancer.Retention
		direct.fleet.With(func(fleet *balancer.Fleet) {
			fleet.EnterEra(era, now)
			held = fleet.Retention(now)
		})
		direct.replicas.EnterEra(era, now)
		direct.operatorTable.EnterEra(era, now)
		direct.scope.Gauge("store-era").Update(float64(era))
		direct.log.WithFields(logrus.Fields{
			labelEra: era, "era-before": before, labelFrom: from, "leaves-retained": held.Incarnations,
			"data-centres": held.DataCentres, "held-ms": int64(held.Left), "configuration": direct.version(),
		}).Info("store in a new era")
		direct.peers.gossiper.SendEra()
		select {
		case direct.peers.eraLearnt <- struct{}{}:
		default:
		}
	})
}

// retention returns what this entry holds against the store.
func (direct *Direct) retention() (held balancer.Retention) {
	now := direct.clock.Now()
	direct.fleet.With(func(fleet *balancer.Fleet) { held = fleet.Retention(now) })
	return held
}

// applyRetention holds against the store what a peer does: this entry may have started since the
// store's return, or missed what came before.
func (direct *Direct) applyRetention(held balancer.Retention, from string) {
	now, changed := direct.clock.Now(), false
	direct.fleet.With(func(fleet *balancer.Fleet) { changed = fleet.Retain(held, now) })
	if changed {
		direct.log.WithFields(logrus.Fields{
			labelFrom: from, "leaves-retained": held.Incarnations, "data-centres": held.DataCentres, "held-ms": int64(held.Left),
		}).Info("leaves and evacuations retained for a peer")
	}
}

// endRetention lets the store's rows decide alone once what was held against them is over.
func (direct *Direct) endRetention() {
	var replicas, dataCentres []string
	now := direct.clock.Now()
	direct.fleet.With(func(fleet *balancer.Fleet) { replicas, dataCentres = fleet.EndRetention(now) })
	if len(replicas)+len(dataCentres) > 0 {
		direct.log.WithFields(logrus.Fields{
			"replicas": replicas, "data-centres": dataCentres,
		}).Info("leaves and evacuations are not in the store again, and end")
	}
}
