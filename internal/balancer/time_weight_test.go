package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestHowMuchTimeCounts(t *testing.T) {
	const target = 600 * timekeeper.Millisecond
	tests := []struct {
		name     string
		weight   timeWeight
		expected float64
		want     float64
	}{
		{"no target", timeWeight{}, 10, 1},
		{"idle engines, soon", timeWeight{within: target}, 20, leastTimeWeight},
		{"idle engines, at the target", timeWeight{within: target}, 600, 0.5},
		{"idle engines, far beyond it", timeWeight{within: target}, 2000, 1},
		{"half full engines", timeWeight{within: target, full: 0.5}, 20, 0.5},
		{"full engines", timeWeight{within: target, full: 3}, 20, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() { So(test.weight.at(test.expected), ShouldEqual, test.want) })
	}
}

func TestSlackIsSeen(t *testing.T) {
	// Whether engines have slack is seen by what waits there, of this entry and of its
	// peers, and by answers that begin later than expected: engines that read more slowly
	// than they are taken to look idle otherwise, while their callers leave.
	ask := promptAsk(1, 1)
	ask.MaxEngineWait = 600
	weightAfter := func(happen func(fleet *Fleet)) float64 {
		fleet := plannersWith(quickLink, 3)
		happen(fleet)
		held := fleet.holdings(ask)
		fleet.look(ask, held, start)
		return fleet.timeWeight(ask, held, start).at(0)
	}
	tests := []struct {
		name   string
		happen func(fleet *Fleet)
		want   float64
	}{
		{"nothing waits", func(*Fleet) {}, leastTimeWeight},
		{"peers have sent much", func(fleet *Fleet) {
			held := map[Key]InFlight{}
			for _, replica := range replicasOf("planner", 3, 64) {
				held[replica.Key()] = InFlight{Running: 2, PendingTokens: 30000}
			}
			fleet.SetPeerInFlight("peer", held, timekeeper.Minute, start)
		}, 1},
		{"one engine of three is full", func(fleet *Fleet) {
			held := map[Key]InFlight{KeyOf("planner-0"): {Running: 2, PendingTokens: 18000}}
			fleet.SetPeerInFlight("peer", held, timekeeper.Minute, start)
		}, 0.5},
		{"answers begin late", func(fleet *Fleet) {
			for range 20 {
				fleet.paceOf("planner").learn(900, start)
			}
		}, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() { So(weightAfter(test.happen), ShouldAlmostEqual, test.want, 0.001) })
	}
}

func TestMovingIsDearerThanReading(t *testing.T) {
	// A token has so much memory that moving it costs the operators a quarter more than
	// reading it. While engines have slack the prompt is read; where they are full it is
	// moved, since reading would hold up all who wait.
	engine := Engine{Memory: 300000, TokenBytes: 700000, LinkRate: 1.375e8}
	tests := []struct {
		name   string
		unread int
		moved  bool
	}{{"idle engines read", 0, false}, {"full engines move", 40000, true}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := plannersWith(engine, 3)
			fleet.RecordCached(KeyOf("planner-0"), chain(1, 9), start)
			held := map[Key]InFlight{KeyOf("planner-0"): {Running: 40, PendingTokens: test.unread}}
			for _, id := range []string{"planner-1", "planner-2"} {
				held[KeyOf(id)] = InFlight{PendingTokens: test.unread}
			}
			fleet.SetPeerInFlight("crowd", held, timekeeper.Minute, start)
			ask := promptAsk(1, 1)
			ask.MaxEngineWait = 2 * timekeeper.Second
			placement := choose(t, fleet, ask, start)
			So(placement.Replica.ID, ShouldNotEqual, "planner-0")
			So(placement.Fetched > 0, ShouldEqual, test.moved)
		})
	}
}
