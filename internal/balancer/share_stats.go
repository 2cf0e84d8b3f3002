package balancer

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ShareStats describes the shares of a service at this entry, for metrics and a status page.
type ShareStats struct {
	Service string
	// Capacity, Demand and Level are in places, and over all entries. The level is infinite while
	// all teams are within their shares.
	Capacity, Demand, Level float64
	// Margin is the fraction of the capacity that is shared.
	Margin float64
	// TeamsOver are the teams over their shares that have sent requests to this entry.
	TeamsOver []string
	// Reservations is the number of times of return that were given here and aren't used or expired.
	Reservations int
	Contended    bool
}

// Shares returns the shares of all services that had requests, by name; nil without TeamShares.
func (fleet *Fleet) Shares(now timekeeper.Instant) (stats []ShareStats) {
	for _, service := range slices.Sorted(maps.Keys(fleet.queues)) {
		queue := fleet.queues[service]
		if fleet.refreshShares(service, queue, now); queue.shares.teams == nil {
			continue
		}
		status := queue.shares.teams.Status(now)
		stats = append(stats, ShareStats{
			Service: service, Capacity: queue.shares.capacity, Contended: queue.shares.contended,
			Demand: status.Demand, Level: status.Level, Margin: status.Margin, TeamsOver: status.Over,
			Reservations: fleet.returnsOf(service).book.Len(now),
		})
	}
	return stats
}
