package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since boot, including suspended time, and whether the system
// reports it.
func bootTime() (Span, bool) {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return 0, false
	}
	return Span(time.Duration(sinceBoot.Nano()) / time.Millisecond), true
}
