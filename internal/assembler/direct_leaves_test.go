package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestALeaveEndsWithTheListThatCorrectsIt(t *testing.T) {
	// A peer tells that a replica leaves, wrongly. The list has it, and each peer that
	// reads it says so, but no row changes: the replica got no work from this entry until
	// the end of the day, and the others got its share.
	store := emulator.NewStore(timekeeper.Steady())
	replica, release, err := emulator.StartReplica(
		emulator.ReplicaSettings{ID: "r1", Service: "planner", Slots: 6, Clock: timekeeper.Steady()}, "127.0.0.1:0",
	)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	store.List(replica, "bole", "ready")
	direct, release := directBefore(t, store)
	defer release()
	direct.replicas.Step(t.Context())
	listing, _ := direct.replicas.Summary()
	works := func() (count int) {
		direct.fleet.With(func(fleet *balancer.Fleet) { count = fleet.Count("planner") })
		return count
	}
	hear := func(heard gossiper.Digest) {
		heard.Address = "127.0.0.1:7300"
		direct.peers.applyDigest(heard)
	}
	Convey("a peer's word counts until the own list is as new", t, func() {
		So(works(), ShouldEqual, 1)
		hear(gossiper.Digest{Leaves: []gossiper.Leave{{Replica: "r1", Version: uint64(listing.Version) + 2}}})
		So(works(), ShouldEqual, 0)
		hear(gossiper.Digest{ListSummary: &follower.Summary{Version: listing.Version + 1, Sum: listing.Sum}})
		So(works(), ShouldEqual, 0)
		hear(gossiper.Digest{ListSummary: &follower.Summary{Version: listing.Version + 2, Sum: listing.Sum}})
		So(works(), ShouldEqual, 1)
	})
}
