package reporter

// Locate returns the address of a listed replica, a leaving or draining one
// too. It serves calls that only this replica may answer; new work goes by Roster.
func (view *View) Locate(name string) (string, bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	for _, instance := range view.listed {
		if instance.Name == name {
			return instance.Address, true
		}
	}
	return "", false
}
