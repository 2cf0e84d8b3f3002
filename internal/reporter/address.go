package reporter

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
