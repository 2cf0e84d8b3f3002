package simulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Sweep is a set of runs: each policy at each load, over seeds.
type Sweep struct {
	Site     Site
	Policies []Policy
	Loads    []float64
	// Seeds is the number of runs of each policy and load; their seeds count from one.
	Seeds int
	// Hot and Slow have the same meaning as in Settings.
	Hot, Slow float64
}

// Point is the mean of the runs of one policy at one load.
type Point struct {
	Policy Policy
	Load   float64
	// Worth, Reuse, Skew and Overfull have the same meaning as in Report; PrefilledAgain is
	// in thousands.
	Worth, Reuse, Skew, Overfull, PrefilledAgain float64
	// OnTimeShare is the share of on-time answers by class, in the order of Site.Classes.
	OnTimeShare []float64
}

// Run executes the runs and calls each with every point as soon as it is computed.
func (sweep Sweep) Run(each func(point Point)) {
	for _, load := range sweep.Loads {
		for _, policy := range sweep.Policies {
			each(sweep.point(policy, load))
		}
	}
}

func (sweep Sweep) point(policy Policy, load float64) Point {
	point := Point{Policy: policy, Load: load, OnTimeShare: make([]float64, len(sweep.Site.Classes))}
	weight := 1 / float64(sweep.Seeds)
	for seed := range sweep.Seeds {
		report := Run(Settings{
			Site: sweep.Site, Policy: policy, Load: load, Hot: sweep.Hot, Slow: sweep.Slow, Seed: uint64(seed) + 1,
		})
		point.Worth += weight * report.Worth
		point.Reuse += weight * report.Reuse()
		point.Skew += weight * report.Skew
		point.Overfull += weight * report.Overfull
		point.PrefilledAgain += weight * float64(report.PrefilledAgain) / 1000
		for i, class := range sweep.Site.Classes {
			point.OnTimeShare[i] += weight * report.Classes[class.Name].OnTimeShare()
		}
	}
	return point
}

// barWidth is the length of a bar for a worth of one, in characters.
const barWidth = 24

// WriteTable executes the runs and writes a table of the points, each with a bar that
// shows its worth.
func (sweep Sweep) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "load\tpolicy\tworth\treuse\tread again\tskew\toverfull")
	for _, class := range sweep.Site.Classes {
		fmt.Fprintf(table, "\t%s", class.Name)
	}
	fmt.Fprintln(table)
	sweep.Run(func(point Point) {
		fmt.Fprintf(table, "%g\t%s\t%.3f\t%.3f\t%.0fk\t%.2f\t%.3f",
			point.Load, point.Policy, point.Worth, point.Reuse, point.PrefilledAgain, point.Skew, point.Overfull)
		for _, onTime := range point.OnTimeShare {
			fmt.Fprintf(table, "\t%.2f", onTime)
		}
		fmt.Fprintf(table, "\t%s\n", strings.Repeat("#", int(point.Worth*barWidth+0.5)))
	})
	return table.Flush()
}
