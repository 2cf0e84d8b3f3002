package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// paceWeight is the weight of one request in a replica's pace: about five
	// requests show that it has turned slow.
	paceWeight = 0.25
	// paceMemory is the half-life of a pace that nothing confirms, so that a slow
	// replica, which gets little work, is tried again.
	paceMemory = 3 * timekeeper.Second
	// paceSlack is how far over its service a replica's pace may lie unnoticed,
	// in milliseconds: work times differ by as much.
	paceSlack = 20.0
	// mostExcess bounds what one request says, in milliseconds, so that a single
	// long one does not take a replica out.
	mostExcess = 1000.0
)

// pace is how much longer than expected requests take until their answer begins, so that one
// slow replica among equals is known. It is measured against the pace of its whole service:
// what all replicas share counts against none.
type pace struct {
	excess decaying
}

func (pace *pace) learn(excess float64, now timekeeper.Instant) {
	seen := min(max(excess, -mostExcess), mostExcess)
	pace.excess.set((1-paceWeight)*pace.excess.now(paceMemory, now)+paceWeight*seen, now)
}

// over returns how far a replica's pace lies over that of its service, in
// milliseconds.
func (pace *pace) over(service *pace, now timekeeper.Instant) float64 {
	usual := max(0, service.excess.now(paceMemory, now))
	return max(0, pace.excess.now(paceMemory, now)-usual-paceSlack)
}
