package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestACopyForAPeerSaysWhichReplicasAreCold(t *testing.T) {
	// Guards against a new entry that can't reach the store and sends at the full rate to a
	// replica that has turned cold: the entry whose copy it fetches knows that from a notice.
	store := emulator.NewStore(timekeeper.Steady())
	direct, release := directWithStore(t, store)
	defer release()
	replica := balancer.Replica{ID: "planner-1", Service: "planner", Address: "127.0.0.1:7400", DataCentre: "bole", Slots: 6, StartedAt: 1}
	row := emulator.Row{Service: replica.Service, Address: replica.Address, DataCentre: replica.DataCentre, State: "ready", Slots: replica.Slots, StartedAt: replica.StartedAt}
	store.Put("servers", replica.ID, row.Encode())
	direct.replicas.Step(t.Context())
	notice := gossiper.ColdNotice{Replica: replica.Key(), Until: direct.clock.Now().Add(timekeeper.Minute)}
	direct.peers.applyDigest(gossiper.Digest{Address: "127.0.0.1:7300", Cold: []gossiper.ColdNotice{notice}})
	Convey("the copy says that the replica is cold", t, func() {
		list, err := gossiper.DecodeReplicas(direct.peers.encodeReplicaList(), direct.clock.Now())
		So(err, ShouldBeNil)
		So(list.Replicas, ShouldHaveLength, 1)
		So(list.Replicas[0].WarmAt, ShouldBeGreaterThan, direct.clock.Now())
	})
}
