package balancer

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ServiceStats are the statistics of one service, for metrics.
type ServiceStats struct {
	Service string
	// Listed counts all listed replicas. Those in none of the other counts get any work, Cold
	// ones up to a rate.
	Listed, Leaving, Evacuated, BackingOff, Unreachable, Cold int
	// Running is the number of this entry's requests, Waiting the number of requests that wait
	// for a replica.
	Running, Waiting int
	// Reservations is the number of times of return that were given here and aren't used or expired.
	Reservations int
	// MeanLoad is the mean estimated load of the replicas, MaxLoad the highest.
	MeanLoad float64
	MaxLoad  int
	// ExcessLatency is how much later than expected recent answers started, in milliseconds; a
	// negative value means earlier. A value that stays away from zero means that the model of
	// the engines no longer fits them.
	ExcessLatency float64
}

// Stats returns the statistics of all services, ordered by name.
func (fleet *Fleet) Stats(now timekeeper.Instant) []ServiceStats {
	out := make([]ServiceStats, 0, len(fleet.services))
	for _, name := range slices.Sorted(maps.Keys(fleet.services)) {
		stats := ServiceStats{
			Service: name, Waiting: len(fleet.queue(name).waiting), ExcessLatency: fleet.excessLatencyOf(name).excess.now(excessHalfLife, now),
		}
		if returns, found := fleet.returns[name]; found {
			stats.Reservations = returns.book.Len(now)
		}
		total := 0
		for _, member := range fleet.services[name] {
			load := member.estimatedLoad(fleet.inFlightOfPeers(member.key), now)
			stats.Listed++
			stats.Running += member.running
			stats.MaxLoad = max(stats.MaxLoad, load)
			total += load
			switch fleet.eligibility(member, now).Cause {
			case Leaving, LeaveAnnounced:
				stats.Leaving++
			case Evacuated:
				stats.Evacuated++
			case BackingOff:
				stats.BackingOff++
			case NoConnection:
				stats.Unreachable++
			case Cold:
				stats.Cold++
			}
		}
		stats.MeanLoad = float64(total) / float64(max(1, stats.Listed))
		out = append(out, stats)
	}
	return out
}
