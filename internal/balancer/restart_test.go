package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// lives returns a list of two replicas; the first has a start.
func lives(born timekeeper.Instant, leaving bool) []Replica {
	list := replicasOf("planner", 2, 64)
	list[0].StartedAt, list[0].Leaving = born, leaving
	list[1].StartedAt = 1000
	return list
}

func TestAReplicaThatStartsAgainUnderItsID(t *testing.T) {
	// A replica crashes with a prompt in its memory and requests under way, fails
	// some, begins to leave, and is back under its ID before its listing lapsed. If
	// the old life were believed, prompts would go to an empty memory, and requests
	// that died with it would keep others away for as long as the entry lives.
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	fleet.SetEngine("planner", Engine{Memory: 300000})
	fleet.SetReplicas(lives(1000, false), 1)
	old := fleet.replicas["planner-0"]
	fleet.cacheOf(old).touch(chain(1, 9), start)
	placement := choose(t, fleet, promptAsk(1, 1), start)
	fleet.End(choose(t, fleet, promptAsk(1, 2), start), Failed, start)
	fleet.SetReplicas(lives(1000, true), 2)
	changes := fleet.SetReplicas(lives(2000, false), 3)
	Convey("nothing of the earlier life is believed", t, func() {
		So(placement.Replica.ID, ShouldEqual, "planner-0")
		So(changes, ShouldHaveLength, 1)
		So(changes[0].Restarted, ShouldBeTrue)
		fresh := fleet.replicas["planner-0"]
		So(fresh.Leaving, ShouldBeFalse)
		So(fresh.running, ShouldEqual, 0)
		So(fresh.awaited, ShouldBeEmpty)
		So(fresh.doubt.penalty(start), ShouldEqual, 0)
		So(fleet.cacheOf(fresh).uncached(chain(1, 1)), ShouldEqual, 9080)
	})
	Convey("a request of the earlier life that ends changes nothing", t, func() {
		fleet.AnswerStarted(placement, start.Add(10))
		fleet.End(placement, Failed, start.Add(10))
		fresh := fleet.replicas["planner-0"]
		So(fresh.running, ShouldEqual, 0)
		So(fresh.unreadBefore(Priorities-1), ShouldEqual, 0)
		So(fresh.doubt.penalty(start.Add(10)), ShouldEqual, 0)
	})
	Convey("what peers say of the earlier life is not about this one", t, func() {
		fleet.RecordCached(old.key, chain(1, 3), start)
		fleet.SetPeerInFlight("peer", map[Key]InFlight{old.key: {Running: 9}}, timekeeper.Minute, start)
		fresh := fleet.replicas["planner-0"]
		So(fleet.cacheOf(fresh).uncached(chain(1, 1)), ShouldEqual, 9080)
		So(fleet.peersAt(fresh.key).Running, ShouldEqual, 0)
	})
}

func TestAListingOfAnEarlierLife(t *testing.T) {
	// A write of the earlier life reaches the store late. It says that the replica
	// leaves; the one that is there now does not, and keeps what it has cached.
	tests := []struct {
		name  string
		born  timekeeper.Instant
		fresh bool
	}{{"an earlier one", 500, false}, {"the same", 1000, false}, {"a later one", 2000, true}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := New(Settings{DataCentre: "bole", Seed: 1})
			fleet.SetEngine("planner", Engine{Memory: 300000})
			fleet.SetReplicas(lives(1000, false), 1)
			fleet.cacheOf(fleet.replicas["planner-0"]).touch(chain(1, 9), start)
			changes := fleet.SetReplicas(lives(test.born, test.born != 1000), 2)
			cached := fleet.cacheOf(fleet.replicas["planner-0"]).uncached(chain(1, 9)) == 0
			So(cached, ShouldEqual, !test.fresh)
			So(fleet.replicas["planner-0"].Leaving, ShouldEqual, test.fresh)
			So(len(changes) == 1 && changes[0].Restarted, ShouldEqual, test.fresh)
		})
	}
}
