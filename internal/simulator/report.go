package simulator

import (
	"fmt"
	"slices"
	"strings"
)

// Tally is what became of the callers of one class.
type Tally struct {
	Arrived, OnTime, Late, Refused, TimedOut int
}

// ServedShare returns the share of callers who got an answer.
func (tally Tally) ServedShare() float64 {
	return share(tally.OnTime+tally.Late, tally.Arrived)
}

// OnTimeShare returns the share of callers whose answer began on time.
func (tally Tally) OnTimeShare() float64 { return share(tally.OnTime, tally.Arrived) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// Report is the outcome of a run.
type Report struct {
	Classes map[string]Tally
	// Worth is the share of the callers' worth that was served on time, with half
	// of it for late answers.
	Worth float64
	// Price is what reading again and moving cost the operators, as a share of the
	// callers' worth.
	Price float64
	// PrefilledAgain are shared tokens that an engine read though another had them.
	PrefilledAgain int
	// Fetched are shared tokens that an engine got from another one.
	Fetched int
	// Prefilled are all shared tokens that were read, Cached those that were cached.
	Prefilled, Cached int
	// Skew is the busiest engine's requests over the mean, averaged over time.
	Skew float64
	// Overfull is the share of requests that reached an engine holding more than
	// the bound on its share and three.
	Overfull float64
}

// Net returns the share of the callers' worth that is left after the price.
func (report Report) Net() float64 { return report.Worth - report.Price }

// Reuse returns the share of the shared tokens that were found cached.
func (report Report) Reuse() float64 {
	return share(report.Cached, report.Cached+report.Prefilled+report.Fetched)
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
