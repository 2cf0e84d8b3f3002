package reporter

// Locate returns the address of an instance that is listed, also of one that
// leaves: what is in flight there can still be followed.
func (view *View) Locate(instance string) (address string, known bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	for _, listed := range view.listed {
		if listed.Name == instance {
			return listed.Address, true
		}
	}
	return "", false
}
