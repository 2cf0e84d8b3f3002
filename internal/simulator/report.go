package simulator

import (
	"fmt"
	"slices"
	"strings"
)

// Tally counts the callers of one class by outcome.
type Tally struct {
	Arrived, OnTime, Late, Refused, TimedOut int
}

// ServedShare returns the share of callers whose answer began.
func (tally Tally) ServedShare() float64 {
	return ratio(tally.OnTime+tally.Late, tally.Arrived)
}

// OnTimeShare returns the share of callers whose answer began on time.
func (tally Tally) OnTimeShare() float64 { return ratio(tally.OnTime, tally.Arrived) }

// ratio returns part / whole, and 1 if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// Report is the outcome of a run.
type Report struct {
	Classes map[string]Tally
	// Worth is the share of the callers' total worth that was earned: all of it for an
	// answer on time, half of it for a late one.
	Worth float64
	// Price is the operators' cost of repeated prefill and of transfers, as a share of the
	// callers' total worth.
	Price float64
	// PrefilledAgain is how many shared tokens were prefilled although some engine had
	// prefilled them before.
	PrefilledAgain int
	// Fetched is how many shared tokens were transferred from another engine.
	Fetched int
	// Prefilled is how many shared tokens were prefilled, Cached how many were cached.
	Prefilled, Cached int
	// Skew is the ratio of the busiest engine's requests to the mean, averaged over time.
	Skew float64
	// Overfull is the share of requests sent to an engine that already had more in flight
	// than LoadFactor times the mean plus three.
	Overfull float64
}

// Net returns Worth minus Price.
func (report Report) Net() float64 { return report.Worth - report.Price }

// Reuse returns the share of the shared tokens that were found cached on the chosen engine.
func (report Report) Reuse() float64 {
	return ratio(report.Cached, report.Cached+report.Prefilled+report.Fetched)
}

// String returns the report as one line.
func (report Report) String() string {
	names := make([]string, 0, len(report.Classes))
	for name := range report.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	fmt.Fprintf(&out, "worth %.3f price %.3f reuse %.3f read-again %d fetched %d skew %.2f overfull %.3f", report.Worth, report.Price, report.Reuse(),
		report.PrefilledAgain, report.Fetched, report.Skew, report.Overfull)
	for _, name := range names {
		tally := report.Classes[name]
		fmt.Fprintf(&out, " | %s on time %.2f served %.2f", name, tally.OnTimeShare(), tally.ServedShare())
	}
	return out.String()
}
