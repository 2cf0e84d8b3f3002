package balancer

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ServiceStats is what a fleet believes of one service, for metrics.
type ServiceStats struct {
	Service string
	// Listed replicas get work unless they are among the others; those that are Cold get
	// some.
	Listed, Leaving, Evacuated, BackingOff, Unreachable, Cold int
	// Running counts this entry's requests, Waiting those that wait for a replica.
	Running, Waiting int
	// Held is the mean of what replicas are believed to hold, Most the largest.
	Held    float64
	MaxHeld int
	// ExcessLatency is how much later than expected answers of late began, in
	// milliseconds; less than zero means sooner. A value that stays away from zero
	// means that the model of the engines no longer fits them.
	ExcessLatency float64
}

// Stats returns what the fleet believes, ordered by service.
func (fleet *Fleet) Stats(now timekeeper.Instant) []ServiceStats {
	out := make([]ServiceStats, 0, len(fleet.services))
	for _, name := range slices.Sorted(maps.Keys(fleet.services)) {
		survey := ServiceStats{
			Service: name, Waiting: len(fleet.queue(name).waiting), ExcessLatency: fleet.paceOf(name).excess.now(paceMemory, now),
		}
		total := 0
		for _, member := range fleet.services[name] {
			held := member.held(fleet.peersAt(member.key), now)
			survey.Listed++
			survey.Running += member.running
			survey.MaxHeld = max(survey.MaxHeld, held)
			total += held
			switch fleet.eligibility(member, now).Cause {
			case Leaving, LeaveAnnounced:
				survey.Leaving++
			case Evacuated:
				survey.Evacuated++
			case BackingOff:
				survey.BackingOff++
			case NoConnection:
				survey.Unreachable++
			case Cold:
				survey.Cold++
			}
		}
		survey.Held = float64(total) / float64(max(1, survey.Listed))
		out = append(out, survey)
	}
	return out
}
