package reporter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// adapterRosters maps each adapter to the roster of the replicas that have it
// loaded. It has entries only for adapters that live engines have loaded.
type adapterRosters map[string]adapterRoster

// adapterRoster is a roster and the replicas that it was built from.
type adapterRoster struct {
	replicas []placer.Replica
	roster   placer.Roster
}

// rebuilt returns the adapter rosters of the live rows; replicas are in the order
// of live. A roster whose replicas are unchanged is reused, since building a ring
// sorts all its points.
func (rosters adapterRosters) rebuilt(live []Row, replicas []placer.Replica) adapterRosters {
	byAdapter := map[string][]placer.Replica{}
	for i, row := range live {
		for _, adapter := range row.Adapters {
			byAdapter[adapter] = append(byAdapter[adapter], replicas[i])
		}
	}
	next := make(adapterRosters, len(byAdapter))
	for adapter, replicas := range byAdapter {
		kept := rosters[adapter]
		if !slices.Equal(kept.replicas, replicas) {
			kept = adapterRoster{replicas: replicas, roster: placer.NewRoster(replicas)}
		}
		next[adapter] = kept
	}
	return next
}

// AdapterRoster returns the replicas of a service that may get new work and have
// the adapter loaded.
func (view *View) AdapterRoster(service, adapter string) placer.Roster {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.adapterRosters[service][adapter].roster
}
