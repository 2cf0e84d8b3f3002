package reporter

import "github.com/trefoilseam/trefoilseam/internal/planner"

// Addresses returns where the agents on the instance list are reached.
func (view *View) Addresses() []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	addresses := make([]string, 0, len(view.listed))
	for _, instance := range view.listed {
		if instance.Address != "" {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses
}

// Engines returns the agents of a service that are not leaving.
func (view *View) Engines(service string) []planner.Address {
	view.mu.Lock()
	defer view.mu.Unlock()
	var engines []planner.Address
	for _, instance := range view.listed {
		if instance.Service == service && !instance.Leaving && instance.Address != "" {
			engines = append(engines, planner.Address{Engine: instance.Name, Address: instance.Address})
		}
	}
	return engines
}
