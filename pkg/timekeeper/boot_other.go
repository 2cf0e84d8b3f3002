//go:build !linux

package timekeeper

// bootTime returns that the system can't tell the time since the machine started.
func bootTime() (Span, bool) { return 0, false }
