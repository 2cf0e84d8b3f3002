package reporter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// holders are the rosters of the replicas that hold each adapter. They take
// memory for the adapters that live engines hold and no others.
type holders map[string]holding

// holding is a roster and what it was made of.
type holding struct {
	replicas []placer.Replica
	roster   placer.Roster
}

// anew returns the holders among the live rows, whose replicas come in the
// same order. A roster whose replicas are as before is kept: making a ring
// costs a sort of all its points.
func (before holders) anew(live []Row, replicas []placer.Replica) holders {
	by := map[string][]placer.Replica{}
	for i, row := range live {
		for _, adapter := range row.Adapters {
			by[adapter] = append(by[adapter], replicas[i])
		}
	}
	now := make(holders, len(by))
	for adapter, replicas := range by {
		held := before[adapter]
		if !slices.Equal(held.replicas, replicas) {
			held = holding{replicas: replicas, roster: placer.NewRoster(replicas)}
		}
		now[adapter] = held
	}
	return now
}

// AdapterRoster returns the replicas of a service that may get new work and hold the adapter.
func (view *View) AdapterRoster(service, adapter string) placer.Roster {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.holders[service][adapter].roster
}
