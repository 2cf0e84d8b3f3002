package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Guards against a count of the requests at a replica that is too low once its row has gone and come back while it
// serves, so that the replica gets more than its share.
func TestAReplicaThatIsListedAgain(t *testing.T) {
	const now, requests = timekeeper.Instant(1000), 8
	row := Replica{ID: "i-1", Service: "planner", Address: "10.0.0.1:80", Slots: 64, StartedAt: 7}
	restarted := row
	restarted.StartedAt = 9
	tests := []struct {
		name string
		// lists are the lists that follow, and counted is what is counted after them.
		lists   [][]Replica
		counted int
	}{
		{"its row goes and comes back", [][]Replica{nil, {row}}, requests},
		{"twice", [][]Replica{nil, {row}, nil, {row}}, requests},
		{"it starts again", [][]Replica{{restarted}}, 0},
		{"it starts again after its row has gone", [][]Replica{nil, {restarted}}, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := New(Settings{})
			version := sequencer.Version{Number: 1}
			fleet.SetReplicas([]Replica{row}, version)
			placements := make([]*Placement, requests)
			for i := range placements {
				placements[i], _ = fleet.Choose(Request{Service: "planner", Parts: []Part{{ID: uint64(i), Tokens: 100}}}, now)
				So(placements[i], ShouldNotBeNil)
			}
			for _, list := range test.lists {
				version.Number++
				fleet.SetReplicas(list, version)
			}
			member := fleet.replicas["i-1"]
			So(member.running, ShouldEqual, test.counted)
			So(member.pendingUpTo(Priorities-1), ShouldEqual, 100*test.counted)
			for _, placement := range placements {
				fleet.End(placement, Served, now+500)
			}
			So(member.running, ShouldEqual, 0)
			So(member.pendingUpTo(Priorities-1), ShouldEqual, 0)
			So(member.unanswered, ShouldBeEmpty)
			So(fleet.unlistedLoads, ShouldBeEmpty)
		})
	}
}
