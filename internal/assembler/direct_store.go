package assembler

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

// How entries read the store. Up to storeReaders of them each read as often as
// one alone would; of more only a few read, together as often as one would, and tell
// the others.
const (
	storeReaders = 4
	// configurationPace keeps a store that answers at once without a change from
	// being asked in a loop; the operator's table changes seldom.
	configurationPace = 25 * timekeeper.Millisecond
)

var (
	// replicaPace is the least time between two reads of the replicas' list, in
	// which every heartbeat is a change. A leaving replica must be known well
	// within the two seconds for which it still serves, also when what a reader told
	// is lost. Readers of a large fleet take turns: a reader each 450 ms.
	replicaPace = follower.Interval{
		Min: 450 * timekeeper.Millisecond, Max: 4 * timekeeper.Second, MaxUnshared: 1,
	}
	// replicaWait is how long the store may hold a call for a change of that list. Where
	// there are replicas, heartbeats end it within that time, so silence is a fault.
	replicaWait = follower.Every(1500 * timekeeper.Millisecond)
	// configurationWait is the same for the operator's table, which changes seldom. A
	// connection that has gone silent is noticed a second and a half after it, in which
	// a change must still come into force; where several wait, the first to notice tells
	// the others.
	configurationWait = follower.Interval{
		Min: 1500 * timekeeper.Millisecond, Max: 5 * timekeeper.Second, MaxUnshared: 1,
	}
)

// follow sets up what is read of the platform's store.
func (direct *Direct) follow(store *platform.Store) {
	fellows := direct.fellows
	direct.orders = follower.New(follower.Settings[platform.OperatorRow]{
		Name: "configuration", Clock: direct.clock, Log: direct.log, Source: platform.OperatorRows(store), Seed: newIncarnation(),
		ReadInterval: follower.Every(configurationPace), Wait: configurationWait,
		Readers: fellows.takingTurns, Processes: fellows.sharers, IsReader: fellows.readsConfiguration,
		Apply: direct.order, Confirm: direct.confirmOrders,
		// What others have they offer by its version; there is nothing else to miss.
		FailingElsewhere: func() bool { return true },
	})
	direct.replicas = follower.New(follower.Settings[balancer.Replica]{
		Name: "replicas", Clock: direct.clock, Log: direct.log, Source: platform.Replicas(store, direct.clock), Seed: newIncarnation(),
		ReadInterval: replicaPace, Wait: replicaWait, Lapse: replicaLapse,
		Readers: fellows.takingTurns, Processes: fellows.sharers, IsReader: fellows.reads, FailingElsewhere: fellows.doubted,
		Apply: direct.list, Confirm: direct.confirmList, Sum: gossiper.SumOf, Publish: direct.tellListed,
		OthersServed: fellows.othersServed, FetchCopy: fellows.copyReplicas,
	})
}

// order takes in the operator's table.
func (direct *Direct) order(rows map[string]platform.OperatorRow, version follower.Version) {
	direct.ordered = platform.EvacuatedIn(rows)
	direct.confirmOrders(version)
	if document, found := platform.ConfigurationOf(rows); found {
		direct.accept(document, "store")
	}
}

// confirmOrders notes that the operator's table is as it was read last at a version. What
// a peer told in between may have ended before that version, with no change of the copy.
func (direct *Direct) confirmOrders(version follower.Version) {
	if direct.evacuate(balancer.NewEvacuations(uint64(version), direct.ordered), "store") {
		direct.fellows.gossiper.SendEvacuations()
	}
}

// accept puts a configuration in force, unless a newer one is.
func (direct *Direct) accept(document platform.Document, from string) {
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
	direct.accepted.Store(int64(direct.clock.Now()))
	direct.fellows.gossiper.SendVersion()
	direct.fleet.With(func(fleet *balancer.Fleet) {
		for _, service := range config.Services() {
			fleet.SetWarmUp(service.Name, balancer.WarmUp{Span: service.ColdTime, Rate: service.ColdRate})
			if service.Engine != nil {
				fleet.SetEngine(service.Name, engineOf(*service.Engine))
			}
		}
	})
	direct.scope.Gauge("configuration-version").Update(float64(config.Version()))
	direct.log.WithFields(logrus.Fields{
		"version": config.Version(), "routes": config.Routes(), "keys": config.Teams(), "from": from,
	}).Info("configuration in force")
}

// list takes in the platform's list of replicas.
func (direct *Direct) list(rows map[string]balancer.Replica, version follower.Version) {
	list := make([]balancer.Replica, 0, len(rows))
	for _, replica := range rows {
		list = append(list, replica)
	}
	var changes []balancer.Change
	direct.fleet.With(func(fleet *balancer.Fleet) { changes = fleet.SetReplicas(list, uint64(version)) })
	for _, change := range changes {
		if change.TurnedCold {
			direct.chilled(change.Replica)
			continue
		}
		if change.Gone || change.Restarted {
			direct.pool.Retire(change.Replica.ID)
		}
		direct.log.WithFields(logrus.Fields{
			labelReplica: change.Replica.ID, "service": change.Replica.Service, "address": change.Replica.Address,
			"leaving": change.Replica.Leaving, "gone": change.Gone, "restarted": change.Restarted,
		}).Info("replica listed")
	}
}

// chilled logs that a replica has turned cold and tells peers, who don't see each row.
func (direct *Direct) chilled(replica balancer.Replica) {
	direct.fellows.gossiper.SendCold(gossiper.ColdNotice{Replica: replica.Key(), Until: replica.WarmAt})
	direct.log.WithFields(logrus.Fields{
		labelReplica: replica.ID, "service": replica.Service, "warm-in-ms": int64(replica.WarmAt.Since(direct.clock.Now())),
	}).Info("replica is cold")
}

// confirmList notes that the list of replicas is also that of a newer version.
func (direct *Direct) confirmList(version follower.Version) {
	var back []string
	direct.fleet.With(func(fleet *balancer.Fleet) { back = fleet.ConfirmVersion(uint64(version)) })
	for _, replica := range back {
		direct.log.WithFields(logrus.Fields{
			labelReplica: replica, "version": uint64(version),
		}).Info("replica gets work again, the list is as new as what a peer saw")
	}
}

// mostTold bounds the changes of a reading that peers are told one by one, some 60
// bytes each. Of more than that they fetch the list.
const mostTold = 32

// tellListed tells peers what this entry's reading has changed in the list of replicas.
func (direct *Direct) tellListed(news gossiper.ReplicaUpdate) {
	for _, change := range news.Changes {
		if change.Removed || change.Value.Leaving {
			direct.fellows.gossiper.SendLeaving(gossiper.Leave{Replica: change.Key, Version: uint64(news.Version)})
		}
	}
	if len(news.Changes) <= mostTold {
		direct.fellows.gossiper.SendListChange(news)
	}
}
