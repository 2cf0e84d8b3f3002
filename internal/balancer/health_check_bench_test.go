package balancer

import (
	"fmt"
	"testing"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// BenchmarkStartHealthChecks measures the search for replicas to check, which an entry makes ten
// times a second, before 3,100 replicas and 379 peers. No replica is checked, as on most days.
func BenchmarkStartHealthChecks(b *testing.B) {
	fleet := New(coldSettings)
	fleet.SetWarmUp("planner", checkedWarmUp)
	list := replicasOf("planner", 3100, 64)
	fleet.SetReplicas(list, numbered(1))
	peers := make([]string, 379)
	for number := range peers {
		peers[number] = fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250)
		fleet.SetPeerInFlight(peers[number], map[Key]InFlight{list[number].Key(): {Running: 1, Rate: 1}}, timekeeper.Minute, start)
		fleet.SetPeerChecksHealth(peers[number], true)
	}
	fleet.SetEntries("10.1.0.1:7000", peers)
	for range 400 {
		placement, _ := fleet.Choose(Request{Service: "planner"}, start)
		fleet.End(placement, Served, start)
	}
	for b.Loop() {
		if checks := fleet.StartHealthChecks(start.Add(50)); len(checks) > 0 {
			b.Fatal(checks)
		}
	}
}
