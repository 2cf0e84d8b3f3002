package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestTimeWeight(t *testing.T) {
	const targetTime = 600 * timekeeper.Millisecond
	tests := []struct {
		name     string
		weight   timeWeight
		expected float64
		want     float64
	}{
		{"no target", timeWeight{}, 10, 1},
		{"idle engines, well before the target", timeWeight{target: targetTime}, 20, minTimeWeight},
		{"idle engines, at the target", timeWeight{target: targetTime}, 600, 0.5},
		{"idle engines, far beyond the target", timeWeight{target: targetTime}, 2000, 1},
		{"half full engines", timeWeight{target: targetTime, fullness: 0.5}, 20, 0.5},
		{"full engines", timeWeight{target: targetTime, fullness: 3}, 20, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() { So(test.weight.at(test.expected), ShouldEqual, test.want) })
	}
}

func TestTimeWeightFollowsTheLoadOfEngines(t *testing.T) {
	// The fullness of engines follows from the wait there, caused by this entry and its peers,
	// and from answers that start later than expected. Without the latter, engines that prefill
	// more slowly than assumed look idle while their callers leave.
	request := promptRequest(1, 1)
	request.MaxEngineWait = 600
	weightAfter := func(prepare func(fleet *Fleet)) float64 {
		fleet := plannerFleetWith(fastLink, 3)
		prepare(fleet)
		estimates := fleet.estimateReplicas(request)
		fleet.estimateLoads(request, estimates, start)
		return fleet.timeWeight(request, estimates, start).at(0)
	}
	tests := []struct {
		name    string
		prepare func(fleet *Fleet)
		want    float64
	}{
		{"nothing waits", func(*Fleet) {}, minTimeWeight},
		{"peers have sent many tokens", func(fleet *Fleet) {
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
		{"answers start late", func(fleet *Fleet) {
			for range 20 {
				fleet.excessLatencyOf("planner").observe(900, start)
			}
		}, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() { So(weightAfter(test.prepare), ShouldAlmostEqual, test.want, 0.001) })
	}
}

func TestTransferCostsMoreThanPrefill(t *testing.T) {
	// A token has so much memory that its transfer costs the operators a quarter more than its
	// prefill. While engines have slack the prompt is prefilled; if they are full it is
	// transferred, since prefill would delay all that wait.
	engine := Engine{Memory: 300000, TokenBytes: 700000, LinkRate: 1.375e8}
	tests := []struct {
		name          string
		pendingTokens int
		transferred   bool
	}{{"idle engines prefill", 0, false}, {"full engines transfer", 40000, true}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := plannerFleetWith(engine, 3)
			fleet.RecordCached(KeyOf("planner-0"), prompt(1, 9), start)
			held := map[Key]InFlight{KeyOf("planner-0"): {Running: 40, PendingTokens: test.pendingTokens}}
			for _, id := range []string{"planner-1", "planner-2"} {
				held[KeyOf(id)] = InFlight{PendingTokens: test.pendingTokens}
			}
			fleet.SetPeerInFlight("peer", held, timekeeper.Minute, start)
			request := promptRequest(1, 1)
			request.MaxEngineWait = 2 * timekeeper.Second
			placement := mustChoose(t, fleet, request, start)
			So(placement.Replica.ID, ShouldNotEqual, "planner-0")
			So(placement.Fetched > 0, ShouldEqual, test.transferred)
		})
	}
}
