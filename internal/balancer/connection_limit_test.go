package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Guards against an entry that refuses requests while others leave their connections unused, and
// against more connections than a replica accepts when entries use more than their shares. The load is
// a rush to all entries, a rush to one, and a rush that moves to another entry.
func TestConnectionsOfOneReplica(t *testing.T) {
	const (
		entries, planners, connections = 24, 2, 360
		second                         = 100
	)
	tests := []struct {
		name string
		// demand is how many requests an entry could have in flight at a tick of 10 ms.
		demand func(entry, tick int) int
		loss   float64
		// served is how many of them are in flight at the end.
		served int
	}{
		{name: "a rush to all", demand: func(_, tick int) int { return min(tick, 60) }, served: entries * planners * 7},
		{name: "a rush to one", demand: func(entry, tick int) int { return map[bool]int{true: min(tick, 80), false: 1}[entry == 0] }, served: 80 + entries - 1},
		{
			name: "a rush that moves to another", loss: 0.2,
			demand: func(entry, tick int) int {
				if tick < 5*second && entry == 0 || tick >= 5*second && entry == 1 {
					return 80
				}
				return 1
			},
			served: 80 + entries - 1,
		},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			random := rand.New(rand.NewPCG(7, 7))
			now := start
			fleets := make([]*Fleet, entries)
			held := make([][]*Placement, entries)
			for i := range fleets {
				fleets[i] = New(Settings{Seed: uint64(i), LoadFactor: 1000})
				fleets[i].SetReplicas(replicasOf("planner", planners, 1000), numbered(1))
			}
			most, total := 0, 0
			for tick := range 12 * second {
				now = now.Add(10 * timekeeper.Millisecond)
				total = 0
				atReplica := map[string]int{}
				for i, fleet := range fleets {
					wanted := test.demand(i, tick)
					limit := fleet.ConnectionLimit(connections, 2*entries, now)
					for len(held[i]) < wanted {
						placement, _ := fleet.Choose(Request{Service: "planner", MaxConnections: limit}, now)
						if placement == nil {
							break
						}
						held[i] = append(held[i], placement)
					}
					// Requests last for about a second.
					if len(held[i]) > wanted && random.IntN(2) == 0 {
						fleet.End(held[i][0], Served, now)
						held[i] = held[i][1:]
					}
					for _, placement := range held[i] {
						atReplica[placement.Replica.ID]++
						most = max(most, atReplica[placement.Replica.ID])
					}
					total += len(held[i])
					if tick%30 == i%30 {
						tellPeers(fleets, i, test.loss, random, now)
					}
				}
			}
			So(most, ShouldBeLessThanOrEqualTo, connections)
			So(total, ShouldBeGreaterThanOrEqualTo, test.served)
		})
	}
}

// tellPeers sends the digest of a fleet to the others, of which a share is lost.
func tellPeers(fleets []*Fleet, from int, loss float64, random *rand.Rand, now timekeeper.Instant) {
	inFlight := fleets[from].InFlight(now)
	for to, fleet := range fleets {
		if to != from && random.Float64() >= loss {
			fleet.SetPeerInFlight(fmt.Sprintf("entry-%d", from), inFlight, timekeeper.Second, now)
		}
	}
}
