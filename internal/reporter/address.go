package reporter

import (
	"maps"
	"slices"
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
