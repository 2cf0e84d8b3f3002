package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// maxReportAge is how long an entry's report counts. Calls take from 0.1 to
	// some 20 seconds, so within a second few of the calls that an entry had in
	// flight have ended.
	maxReportAge = timekeeper.Second
	// maxEntries bounds the memory; the fleet is designed for 380 daemons.
	maxEntries = 1024
)

// Demand sums the in-flight work that entries report with their offers to a
// service.
//
// It corrects the mean in the first second of a burst. Digests between agents
// are a second or more old and still show an idle service, so every replica that
// holds one call exceeds its share of a total near zero, and all candidates
// refuse callers at half load while slots are free. An entry's own in-flight
// work is exact and as old as its offer. The sum lacks entries that made no offer
// here lately, so apart from calls that ended within the last second it is at
// most the true total, and Raise takes the larger of the two.
type Demand struct {
	// latest holds the latest report of each entry.
	latest []demandReport
}

type demandReport struct {
	entry string
	work  int64
	at    timekeeper.Instant
}

// Record stores the entry's report in place of its previous one; beyond maxEntries
// it ignores new entries. The work includes the offered call.
func (demand *Demand) Record(entry string, work int64, now timekeeper.Instant) {
	demand.dropExpired(now)
	at := slices.IndexFunc(demand.latest, func(latest demandReport) bool { return latest.entry == entry })
	switch {
	case at >= 0:
		demand.latest[at] = demandReport{entry, work, now}
	case len(demand.latest) < maxEntries:
		demand.latest = append(demand.latest, demandReport{entry, work, now})
	}
}

// Raise returns the mean with its total raised to at least the sum of the
// entries' reports.
func (demand *Demand) Raise(mean Mean, now timekeeper.Instant) Mean {
	demand.dropExpired(now)
	var total int64
	for _, latest := range demand.latest {
		total += latest.work
	}
	mean.Total = max(mean.Total, total)
	return mean
}

func (demand *Demand) dropExpired(now timekeeper.Instant) {
	demand.latest = slices.DeleteFunc(demand.latest, func(latest demandReport) bool { return now.Since(latest.at) > maxReportAge })
}
