//go:build !linux

package timekeeper

// bootTime returns false: the time since boot is not available on this system.
func bootTime() (Span, bool) { return 0, false }
