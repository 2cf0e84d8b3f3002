package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, suspended time included, and
// whether the system can tell.
func bootTime() (Span, bool) {
	var passed unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &passed); err != nil {
		return 0, false
	}
	return Span(time.Duration(passed.Nano()) / time.Millisecond), true
}
