package assembler

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

// Up to storeReaders entries each read the store as often as a single one would. Of more
// entries only a few read, together as often as a single one would, and publish to the
// others what they read.
const (
	storeReaders = 4
	// configurationInterval prevents a busy loop if the store answers at once although
	// the operator's table, which changes seldom, has not changed.
	configurationInterval = 25 * timekeeper.Millisecond
)

var (
	// replicaInterval is the time between two reads of the list of replicas by a reader that is
	// no primary. Entries must know of a leaving replica well within the two seconds for which it
	// still serves, even if the updates of primaries are lost. In a large fleet the readers share
	// these reads: together they make one every 450 ms.
	replicaInterval = follower.Interval{
		Min: 450 * timekeeper.Millisecond, Max: 4 * timekeeper.Second, MaxUnshared: 1,
	}
	// replicaWait is how long the store may hold a call until that list changes, at most: see listWait. A dead
	// connection is noticed some time after it.
	replicaWait = 1500 * timekeeper.Millisecond
	// configurationWait is the same for the operator's table, which changes seldom. A
	// dead connection is noticed a second and a half after this time; within that, a
	// change must still come into force. With several readers the first one to notice
	// publishes the change to the others.
	configurationWait = follower.Interval{
		Min: 1500 * timekeeper.Millisecond, Max: 5 * timekeeper.Second, MaxUnshared: 1,
	}
)

// followStore sets up the followers of the platform's tables.
func (direct *Direct) followStore(store *platform.Store) {
	peers := direct.peers
	direct.operatorTable = follower.New(follower.Settings[platform.OperatorRow]{
		Name: "configuration", Clock: direct.clock, Log: direct.log, Source: platform.OperatorRows(store), Seed: newIncarnation(),
		Go:           direct.guard.start,
		ReadInterval: follower.FixedInterval(configurationInterval), Wait: configurationWait,
		Readers: peers.activeReaders, Processes: peers.recentEntries, IsReader: peers.readsConfiguration,
		Apply: direct.applyOperatorTable, Confirm: direct.confirmOperatorTable,
		// Peers offer newer versions of the configuration in their digests, so there is
		// no need to read the table only because no update has come for a while.
		FailingElsewhere: func() bool { return true },
	})
	direct.replicas = follower.New(follower.Settings[balancer.Replica]{
		Name: "replicas", Clock: direct.clock, Log: direct.log, Source: platform.Replicas(store, direct.clock), Seed: newIncarnation(),
		Go:           direct.guard.start,
		ReadInterval: replicaInterval, Wait: follower.FixedInterval(direct.listWait()), Lapse: replicaLapse,
		Bound:   direct.listBound(),
		Readers: peers.activeReaders, Processes: peers.recentEntries, IsReader: peers.isReader, IsPrimary: peers.isPrimary,
		FailingElsewhere: peers.failingElsewhere,
		Apply:            direct.applyReplicaList, Confirm: direct.confirmReplicaList, Sum: gossiper.ReplicaChecksum, Publish: direct.publishListChanges,
		ServingOthersSince: peers.servedSince, FetchCopy: peers.fetchReplicaList,
	})
}

// listBound returns the time within which this entry must know a change of the list of replicas.
func (direct *Direct) listBound() follower.Bound { return follower.Bound(direct.settings.DrainTime) }

// listWait returns how long the store may hold a read of the list.
func (direct *Direct) listWait() timekeeper.Span {
	if bound := direct.listBound(); bound > 0 {
		return min(replicaWait, bound.Wait())
	}
	return replicaWait
}

// applyOperatorTable applies a new copy of the operator's table.
func (direct *Direct) applyOperatorTable(rows map[string]platform.OperatorRow, version follower.Version) {
	direct.evacuatedCentres = platform.EvacuatedIn(rows)
	direct.confirmOperatorTable(version)
	if document, found := platform.ConfigurationOf(rows); found {
		direct.applyConfiguration(document, "store")
	}
}

// confirmOperatorTable records that the last copy of the operator's table is also that of
// a newer version. It applies the evacuations again: one that a peer sent in between may
// have ended before that version, without a change of the copy.
func (direct *Direct) confirmOperatorTable(version follower.Version) {
	if direct.applyEvacuations(balancer.NewEvacuations(version, direct.evacuatedCentres), "store") {
		direct.peers.gossiper.SendEvacuations()
	}
}

// applyConfiguration puts a configuration in force, unless the one in force is as new or
// newer.
func (direct *Direct) applyConfiguration(document platform.Document, from string) {
	config := document.Config
	for {
		current := direct.document.Load()
		if current != nil && current.Config.Version() >= config.Version() {
			return
		}
		if direct.document.CompareAndSwap(current, &document) {
			break
		}
	}
	direct.inForceSince.Store(int64(direct.clock.Now()))
	direct.peers.gossiper.SendVersion()
	direct.fleet.With(func(fleet *balancer.Fleet) {
		for _, service := range config.Services() {
			fleet.SetWarmUp(service.Name, balancer.WarmUp{Span: service.ColdTime, Rate: service.ColdRate, HealthPath: service.HealthPath})
			if service.Engine != nil {
				fleet.SetEngine(service.Name, engineOf(*service.Engine))
			}
		}
	})
	direct.scope.Gauge("configuration-version").Update(float64(config.Version()))
	direct.log.WithFields(logrus.Fields{
		labelVersion: config.Version(), "routes": config.Routes(), "keys": config.Teams(), labelFrom: from,
	}).Info("configuration in force")
}

// applyReplicaList applies a new copy of the platform's list of replicas.
func (direct *Direct) applyReplicaList(rows map[string]balancer.Replica, version follower.Version) {
	list := make([]balancer.Replica, 0, len(rows))
	for _, replica := range rows {
		list = append(list, replica)
	}
	direct.versions.observe(list)
	var changes []balancer.Change
	direct.fleet.With(func(fleet *balancer.Fleet) { changes = fleet.SetReplicas(list, version) })
	for _, change := range changes {
		if change.TurnedCold {
			direct.peers.gossiper.SendCold(gossiper.ColdNotice{Replica: change.Replica.Key(), Until: change.Replica.WarmAt})
			direct.logCold(change.Replica, change.Replica.WarmAt, logrus.Fields{labelFrom: "store", labelVersion: version.Number, labelEra: version.Era})
			continue
		}
		if change.Removed || change.Restarted {
			direct.pool.Retire(change.Replica.ID)
		}
		direct.log.WithFields(logrus.Fields{
			labelReplica: change.Replica.ID, labelService: change.Replica.Service, "address": change.Replica.Address,
			"leaving": change.Replica.Leaving, "gone": change.Removed, "restarted": change.Restarted, "software-version": change.Replica.SoftwareVersion,
			labelVersion: version.Number, labelEra: version.Era,
		}).Info("replica listed")
	}
}

// confirmReplicaList records that the list of replicas is also that of a newer version.
func (direct *Direct) confirmReplicaList(version follower.Version) {
	var restored []string
	direct.fleet.With(func(fleet *balancer.Fleet) { restored = fleet.ConfirmVersion(version) })
	for _, replica := range restored {
		direct.log.WithFields(logrus.Fields{
			labelReplica: replica, labelVersion: version.Number, labelEra: version.Era,
		}).Info("replica gets work again, the list is as new as what a peer saw")
	}
}

// maxPublishedChanges bounds the changes in a published update, at some 60 bytes each. A
// longer update is not published: peers fetch the list. Removals and leaves are sent one
// by one in any case.
const maxPublishedChanges = 32

// publishListChanges sends peers the changes of the list of replicas that this entry has
// read.
func (direct *Direct) publishListChanges(update gossiper.ReplicaUpdate) {
	for _, change := range update.Changes {
		if change.Removed || change.Value.Leaving {
			direct.peers.gossiper.SendLeaving(gossiper.Leave{Replica: change.Key, Version: update.Version})
		}
	}
	if len(update.Changes) <= maxPublishedChanges {
		direct.peers.gossiper.SendListChange(update)
	}
}
