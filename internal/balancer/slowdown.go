package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// slowdownLifetime is how long a reported slowdown is used. It changes many times a second, so it
	// counts for less the older it is.
	slowdownLifetime = timekeeper.Second
	// maxLongerWork limits what a slowdown adds to the expected time of a plain request, in
	// milliseconds. A replica that says that it takes a hundred times as long, and then doesn't answer
	// at all, would otherwise keep its requests until their deadline.
	maxLongerWork = 1000.0
)

// slowdown is what a replica last reported of its slowdown. The zero value means that it has
// reported nothing.
type slowdown struct {
	reported float64
	at       timekeeper.Instant
}

// record records the slowdown in a report. A report without one changes nothing.
func (slowdown *slowdown) record(report LoadReport, now timekeeper.Instant) {
	if report.Slowdown > 0 {
		slowdown.reported, slowdown.at = report.Slowdown, now
	}
}

// now returns how many times as long as usual work is expected to take: the reported slowdown when
// it is fresh, and 1 from slowdownLifetime on.
func (slowdown *slowdown) now(now timekeeper.Instant) float64 {
	age := now.Since(slowdown.at)
	if slowdown.reported <= 0 || age >= slowdownLifetime {
		return 1
	}
	return 1 + (slowdown.reported-1)*(1-float64(max(0, age))/float64(slowdownLifetime))
}

// slotsAt returns the number of slots at usual speed that do the work of a replica's slots under a
// slowdown. A replica that is faster than usual doesn't count as having more slots than it has.
func (member *replica) slotsAt(slowdown float64) float64 {
	return float64(member.Slots) / max(1, slowdown)
}

// longerWork returns how much longer than usual a plain request takes at a replica, in milliseconds.
func (fleet *Fleet) longerWork(request Request, slowdown float64) float64 {
	if slowdown == 1 {
		return 0
	}
	return min((slowdown-1)*float64(fleet.HoldingTime(request.Service, anyRank)), maxLongerWork)
}
