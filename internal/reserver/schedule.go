package reserver

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// stepSpan is the length of a step of the schedule, in milliseconds, and steps their number.
	// Together they cover 25.6 s, more than the third of the longest timeout (a minute) for which
	// a caller waits.
	stepSpan = 50.0
	steps    = 512
	// spreadSteps is the number of steps over which a peer's reservation is spread.
	spreadSteps = 10
)

// schedule is how much of this entry's portion of the free capacity is reserved, in requests for each
// step of time.
//
// Where a step has room for less than a request, a reservation takes the room of several steps. So the
// reservations of a second add up to the portion also if that changes or is less than one request.
type schedule struct {
	// taken is what is reserved of each step, by the step's number modulo steps.
	taken [steps]float64
	// first is the number of the first step that the schedule covers.
	first int64
}

// advance drops the steps before an instant.
func (schedule *schedule) advance(now timekeeper.Instant) {
	current := int64(float64(now) / stepSpan)
	for step := max(schedule.first, current-steps); step < current; step++ {
		schedule.taken[step%steps] = 0
	}
	schedule.first = max(schedule.first, current)
}

// find returns when a reservation is due that needs room for a part of a request, none of it before an
// instant. The time beyond the last
// step is taken to be free.
func (schedule *schedule) find(from, need float64, room room) float64 {
	for step := schedule.stepAt(from); step < schedule.first+steps; step++ {
		used, free := schedule.usage(step, from, room)
		if free >= need {
			return float64(step)*stepSpan + min(stepSpan, (used+need)/room.own)
		}
		need -= free
	}
	end := max(from, float64(schedule.first+steps)*stepSpan)
	return end + need/(room.own*room.usable)
}

// take takes the room for a reservation that find has found.
func (schedule *schedule) take(from, need float64, room room) {
	for step := schedule.stepAt(from); step < schedule.first+steps && need > 0; step++ {
		_, free := schedule.usage(step, from, room)
		part := min(need, free)
		schedule.taken[step%steps] += part
		need -= part
	}
}

// usage returns how much of a step is reserved here or lies before an instant, and how much is free, in
// requests. What peers have reserved leaves less free: portions change, so reservations that entries
// make at different times for the same second would add up to more than the capacity.
func (schedule *schedule) usage(step int64, from float64, room room) (used, free float64) {
	used = max(schedule.taken[step%steps], (from-float64(step)*stepSpan)*room.own)
	free = room.usable*stepSpan*room.own - used
	if room.peers != nil {
		free = min(free, room.usable*stepSpan*room.all-schedule.taken[step%steps]-room.peersPortion*room.peers.taken[step%steps])
	}
	return used, max(0, free)
}

// spread adds a reservation of a peer, evenly over the steps around it: peers' times differ by less than
// the steps in which they have room.
func (schedule *schedule) spread(due timekeeper.Instant) {
	block := int64(float64(due)/stepSpan) / spreadSteps * spreadSteps
	for step := max(block, schedule.first); step < min(block+spreadSteps, schedule.first+steps); step++ {
		schedule.taken[step%steps] += 1.0 / spreadSteps
	}
}

func (schedule *schedule) stepAt(at float64) int64 {
	return max(schedule.first, int64(at/stepSpan))
}
