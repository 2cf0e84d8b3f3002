package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// demandAge is how long an entry's word counts. Calls take from a tenth of a
	// second to some twenty seconds, so within a second little of what an entry
	// has under way has ended.
	demandAge = timekeeper.Second
	// mostEntries bounds the memory; the fleet is designed for 380 daemons.
	mostEntries = 1024
)

// Demand is the work that entries say they have under way at a service, reports
// with each offer.
//
// It is for the first second of a burst. Digests between agents are a second or
// more old; they say that the service is idle, so every replica that holds one
// call is over its share of nothing. The symptom: callers refused at half load,
// by every candidate, with slots free all over. What an entry has under way is
// exact and as old as its offer. The sum over entries leaves out those that have
// not offered here lately, so it is at most the true total but for what ended
// within a second, and the mean takes the larger of the two.
type Demand struct {
	reports []demandReport
}

type demandReport struct {
	entry string
	work  int64
	at    timekeeper.Instant
}

// Record takes in what an entry has under way, the offered call included.
func (demand *Demand) Record(entry string, work int64, now timekeeper.Instant) {
	demand.forget(now)
	at := slices.IndexFunc(demand.reports, func(reports demandReport) bool { return reports.entry == entry })
	switch {
	case at >= 0:
		demand.reports[at] = demandReport{entry, work, now}
	case len(demand.reports) < mostEntries:
		demand.reports = append(demand.reports, demandReport{entry, work, now})
	}
}

// Raise returns the mean with a total that is not below what entries have reports.
func (demand *Demand) Raise(mean Mean, now timekeeper.Instant) Mean {
	demand.forget(now)
	var total int64
	for _, reports := range demand.reports {
		total += reports.work
	}
	mean.Total = max(mean.Total, total)
	return mean
}

func (demand *Demand) forget(now timekeeper.Instant) {
	demand.reports = slices.DeleteFunc(demand.reports, func(reports demandReport) bool { return now.Since(reports.at) > demandAge })
}
