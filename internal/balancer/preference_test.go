package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestPromptMovesToAnotherEngineThatHasItCached(t *testing.T) {
	// Guards against requests that pile up at the first engine of a prompt, while others that
	// have it cached are idle, because entries seldom receive each other's digests.
	const load = 6
	tests := []struct {
		name string
		// interval is the time between two digests of a peer, cachedAt the number of engines
		// that have the prompt cached.
		interval timekeeper.Span
		cachedAt int
		toSecond bool
	}{
		{"digests are recent, both engines have the prompt", 100, 2, false},
		{"digests are old, both engines have the prompt", 300, 2, true},
		{"digests are old, only the first engine has the prompt", 300, 1, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := plannerFleet(2)
			parts := prompt(1, 1)
			candidates := []candidate{{replica: fleet.replicas["planner-0"]}, {replica: fleet.replicas["planner-1"]}}
			setWeights(candidates, parts[1].ID)
			first, second := candidates[0], candidates[1]
			if second.weight > first.weight {
				first, second = second, first
			}
			fleet.RecordCached(first.key, parts, start)
			if test.cachedAt > 1 {
				fleet.RecordCached(second.key, parts, start)
			}
			held := map[Key]InFlight{first.key: {Running: load}}
			fleet.SetPeerInFlight("peer", held, timekeeper.Second, start)
			fleet.SetPeerInFlight("peer", held, timekeeper.Second, start.Add(test.interval))
			placement := mustChoose(t, fleet, Request{Service: "planner", Parts: prompt(1, 2)}, start.Add(test.interval))
			So(placement.Replica.ID == second.ID, ShouldEqual, test.toSecond)
		})
	}
}
