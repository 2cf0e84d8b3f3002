package reporter

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/planner"
)

// Addresses returns the addresses of all live agents.
func (view *View) Addresses() []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	var addresses []string
	for _, service := range slices.Sorted(maps.Keys(view.tables)) {
		for _, row := range view.tables[service].Live() {
			addresses = append(addresses, row.DialAddress())
		}
	}
	return addresses
}

// Locate returns the address of a known replica, including one that is leaving,
// so that requests in flight there can still be followed.
func (view *View) Locate(instance string) (address string, known bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	for _, table := range view.tables {
		if row := table.rows[instance]; row != nil && row.DialAddress() != "" {
			return row.DialAddress(), true
		}
	}
	return "", false
}

// Engines returns the live agents of a service.
func (view *View) Engines(service string) []planner.Address {
	view.mu.Lock()
	defer view.mu.Unlock()
	live := view.table(service).Live()
	engines := make([]planner.Address, 0, len(live))
	for _, row := range live {
		engines = append(engines, planner.Address{Engine: row.Name, Address: row.DialAddress()})
	}
	return engines
}

// Alternative returns a live replica of a service other than the asker: the less
// loaded of two random ones (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001). Rows are a second or more old, so always picking the
// least loaded replica would send it every caller of a burst.
func (view *View) Alternative(service, asker string) string {
	view.mu.Lock()
	defer view.mu.Unlock()
	live := slices.DeleteFunc(view.table(service).Live(), func(row Row) bool { return row.Name == asker })
	if len(live) == 0 {
		return ""
	}
	one, other := live[view.random.IntN(len(live))], live[view.random.IntN(len(live))]
	if other.Load < one.Load {
		one = other
	}
	return one.Name
}
