package relayer

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// watchInterval is how often the entry looks whether replicas have closed idle connections.
const watchInterval = 200 * timekeeper.Millisecond

// WatchReplicas finds crashes of replicas that have just run requests of this entry, until ctx ends.
func (entry *Entry) WatchReplicas(ctx context.Context) {
	entry.settings.Clock.Every(ctx, func() timekeeper.Span { return watchInterval }, func(context.Context) {
		for _, replica := range entry.watchedReplicas() {
			if entry.settings.Pool.HasClosedIdle(replica.ID) {
				entry.settings.Go("find a crash", func() { entry.findCrash(replica) })
			}
		}
		for _, outlived := range entry.outlivedRuns() {
			entry.recordOutlived(outlived)
		}
	})
}

func (entry *Entry) watchedReplicas() (watched []balancer.Replica) {
	entry.quarantine.mu.Lock()
	defer entry.quarantine.mu.Unlock()
	return entry.quarantine.runs.Watched()
}

func (entry *Entry) outlivedRuns() []quarantiner.Outlived[balancer.Replica] {
	now := entry.settings.Clock.Now()
	entry.quarantine.mu.Lock()
	defer entry.quarantine.mu.Unlock()
	return entry.quarantine.runs.Expire(now)
}

// CheckUnreachable looks for a crash of a replica that accepts no connections, by the word of a peer.
func (entry *Entry) CheckUnreachable(id string) {
	for _, replica := range entry.watchedReplicas() {
		if replica.ID == id {
			entry.settings.Go("find a crash", func() { entry.findCrash(replica) })
		}
	}
}

// beginProbe reports whether to probe a replica: requests have just run there, and it isn't probed already.
func (quarantine *quarantine) beginProbe(incarnation string) bool {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	if quarantine.probing[incarnation] || !quarantine.runs.Watches(incarnation) {
		return false
	}
	quarantine.probing[incarnation] = true
	return true
}

func (quarantine *quarantine) endProbe(incarnation string) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	delete(quarantine.probing, incarnation)
}

// findCrash records the crash of a replica if it refuses connections and requests have just run there.
func (entry *Entry) findCrash(replica balancer.Replica) {
	if !entry.quarantine.beginProbe(replica.Incarnation()) {
		return
	}
	defer entry.quarantine.endProbe(replica.Incarnation())
	for _, pause := range append([]timekeeper.Span{0}, probePauses...) {
		_ = entry.settings.Clock.Sleep(context.Background(), pause)
		if entry.refusesConnections(replica) {
			entry.markUnreachable(replica, "no connection after it closed one")
			entry.recordCrash(replica, nil)
			return
		}
	}
}

// refusesConnections reports whether nothing listens at the address of a replica. One that can't be
// reached doesn't count.
func (entry *Entry) refusesConnections(replica balancer.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	return entry.settings.Pool.IsRefused(ctx, replica.Address)
}

// recordOutlived records that a replica has outlived a request. Without a connection to the replica that is only
// known after a probe, which is made for requests that were in flight at crashes.
func (entry *Entry) recordOutlived(outlived quarantiner.Outlived[balancer.Replica]) {
	if entry.settings.Pool.IsConnected(outlived.Replica.ID) {
		entry.surviveRequest(outlived.Request)
		return
	}
	var suspected bool
	entry.quarantine.with(func(table *quarantiner.Table) { suspected = table.HasCrashed(outlived.Request) })
	if !suspected {
		return
	}
	entry.settings.Go("probe a replica", func() {
		if entry.refusesConnections(outlived.Replica) {
			entry.recordCrash(outlived.Replica, []quarantiner.Feature{outlived.Request})
		} else if !entry.leaves(outlived.Replica) && entry.acceptsConnection(outlived.Replica) {
			entry.surviveRequest(outlived.Request)
		}
	})
}

// surviveRequest records that a request has ended and its replica has outlived it.
func (entry *Entry) surviveRequest(request quarantiner.Feature) {
	now := entry.settings.Clock.Now()
	var cleared []quarantiner.Feature
	var urgent bool
	entry.quarantine.with(func(table *quarantiner.Table) {
		cleared, urgent = table.Survive([]quarantiner.Feature{request}, now)
	})
	if len(cleared) == 0 {
		return
	}
	entry.settings.Crashes.OnSurvival(cleared, urgent)
	if urgent {
		entry.logFeature(request, logrus.Fields{}).Info("suspected request cleared")
	}
}

// leaves reports whether a replica is known to leave, so that its end is no crash.
func (entry *Entry) leaves(replica balancer.Replica) (leaves bool) {
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { leaves = fleet.Leaves(replica) })
	return leaves
}

// recordRun records a run that has ended or was given up, since the replica may still crash because of it.
func (task *task) recordRun(replica balancer.Replica, result attemptResult) {
	if len(task.features) == 0 || result.verdict != answered && result.verdict != broken {
		return
	}
	now, request := task.entry.settings.Clock.Now(), task.features[0]
	quarantine := task.entry.quarantine
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	if result.verdict == answered || eris.Is(result.cause, errServer) {
		quarantine.runs.End(replica.Incarnation(), replica, request, now)
		return
	}
	quarantine.runs.Abandon(replica.Incarnation(), replica, request, task.until, now)
}
