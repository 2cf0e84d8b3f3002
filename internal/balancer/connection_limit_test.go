package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// planners and connections are the number of planners in a rush, and how many connections each accepts.
	planners, connections = 2, 360
	// second is the number of ticks in a second.
	second = 100
)

// Guards against an entry that refuses requests while others leave their connections unused, and
// against more connections than a replica accepts when entries use more than their shares. The load is
// a rush to all entries, a rush to one, and a rush that moves to another entry.
func TestConnectionsOfOneReplica(t *testing.T) {
	ownShares := func(entries int) int { return entries * planners * max(1, connections/(2*entries)) }
	rushToOne := func(entries int) int { return 80 + entries - 1 }
	tests := []struct {
		name string
		// demand is how many requests an entry could have in flight at a tick of 10 ms.
		demand func(entry, tick int) int
		loss   float64
		// served is how many of them are in flight at the end, by the number of entries.
		served func(entries int) int
	}{
		{name: "a rush to all", demand: func(_, tick int) int { return min(tick, 60) }, served: ownShares},
		{name: "a rush to one", demand: func(entry, tick int) int { return map[bool]int{true: min(tick, 80), false: 1}[entry == 0] }, served: rushToOne},
		{
			name: "a rush that moves to another", loss: 0.2,
			demand: func(entry, tick int) int {
				if tick < 5*second && entry == 0 || tick >= 5*second && entry == 1 {
					return 80
				}
				return 1
			},
			served: rushToOne,
		},
	}
	for _, test := range tests {
		for _, entries := range []int{24, 60, 103} {
			Convey(fmt.Sprint(test.name, ", entries: ", entries), t, func() {
				rush := newRush(entries)
				for tick := range 12 * second {
					for i := range entries {
						rush.step(i, test.demand(i, tick))
						if tick%30 == i%30 {
							rush.tellPeers(i, test.loss)
						}
					}
					rush.count()
					rush.now = rush.now.Add(10 * timekeeper.Millisecond)
				}
				So(rush.most, ShouldBeLessThanOrEqualTo, connections)
				So(rush.total, ShouldBeGreaterThanOrEqualTo, test.served(entries))
			})
		}
	}
}

// rush is a fleet of entries that send requests to the same planners.
type rush struct {
	random *rand.Rand
	now    timekeeper.Instant
	fleets []*Fleet
	held   [][]*Placement
	// total is the number of requests in flight, and most the largest that one planner ever had.
	total, most int
}

func newRush(entries int) *rush {
	rush := &rush{random: rand.New(rand.NewPCG(7, 7)), now: start, held: make([][]*Placement, entries)}
	for i := range entries {
		fleet := New(Settings{Seed: uint64(i), LoadFactor: 1000})
		fleet.SetReplicas(replicasOf("planner", planners, 1000), numbered(1))
		rush.fleets = append(rush.fleets, fleet)
	}
	return rush
}

// step sends as many requests of an entry as it wants to have in flight and may. Requests last for about
// a second.
func (rush *rush) step(entry, wanted int) {
	fleet, held := rush.fleets[entry], rush.held[entry]
	request := Request{Service: "planner", MaxConnections: fleet.ConnectionLimit(connections, 2*len(rush.fleets), rush.now)}
	for len(held) < wanted {
		placement, _ := fleet.Choose(request, rush.now)
		if placement == nil {
			break
		}
		held = append(held, placement)
	}
	if len(held) > wanted && rush.random.IntN(2) == 0 {
		fleet.End(held[0], Served, rush.now)
		held = held[1:]
	}
	rush.held[entry] = held
}

// count counts the requests in flight.
func (rush *rush) count() {
	rush.total = 0
	atReplica := map[string]int{}
	for _, held := range rush.held {
		rush.total += len(held)
		for _, placement := range held {
			atReplica[placement.Replica.ID]++
			rush.most = max(rush.most, atReplica[placement.Replica.ID])
		}
	}
}

// tellPeers sends the digest of an entry to the others, of which a share is lost.
func (rush *rush) tellPeers(from int, loss float64) {
	inFlight := rush.fleets[from].InFlight(rush.now)
	for to, fleet := range rush.fleets {
		if to != from && rush.random.Float64() >= loss {
			fleet.SetPeerInFlight(fmt.Sprintf("entry-%d", from), inFlight, timekeeper.Second, rush.now)
		}
	}
}
