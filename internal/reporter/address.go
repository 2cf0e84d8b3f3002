package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/planner"
)

// Addresses returns where the agents that the view knows of are reached.
func (view *View) Addresses() []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	var addresses []string
	for _, service := range slices.Sorted(maps.Keys(view.tables)) {
		for _, row := range view.tables[service].Live() {
			addresses = append(addresses, row.Reach())
		}
	}
	return addresses
}

// Locate returns the address of a replica that is known, also of one that
// leaves: what is in flight there can still be followed.
func (view *View) Locate(instance string) (address string, known bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	for _, table := range view.tables {
		if row := table.rows[instance]; row != nil && row.Reach() != "" {
			return row.Reach(), true
		}
	}
	return "", false
}

// Engines returns the agents of a service that are live.
func (view *View) Engines(service string) []planner.Address {
	view.mu.Lock()
	defer view.mu.Unlock()
	live := view.table(service).Live()
	engines := make([]planner.Address, 0, len(live))
	for _, row := range live {
		engines = append(engines, planner.Address{Engine: row.Name, Address: row.Reach()})
	}
	return engines
}

// Room returns the live replica of a service with the least load.
func (view *View) Room(service string) string {
	view.mu.Lock()
	defer view.mu.Unlock()
	live := view.table(service).Live()
	if len(live) == 0 {
		return ""
	}
	return slices.MinFunc(live, func(a, b Row) int { return cmp.Compare(a.Load, b.Load) }).Name
}
