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
	// Seeds is how many runs are made of each, from seed one on.
	Seeds int
	// Hot and Slow are as in Settings.
	Hot, Slow float64
}

// Point is the mean of the runs of one policy at one load.
type Point struct {
	Policy Policy
	Load   float64
	// Worth, Reuse, Skew and Overfull are as in Report, PrefilledAgain in thousands.
	Worth, Reuse, Skew, Overfull, PrefilledAgain float64
	// OnTimeShare is the share of on-time answers by class, in the order of the site.
	OnTimeShare []float64
}

// Run makes the runs and calls each with every point as it is known.
func (sweep Sweep) Run(each func(point Point)) {
	for _, load := range sweep.Loads {
		for _, policy := range sweep.Policies {
			each(sweep.point(policy, load))
		}
	}
}

func (sweep Sweep) point(policy Policy, load float64) Point {
	point := Point{Policy: policy, Load: load, OnTimeShare: make([]float64, len(sweep.Site.Classes))}
	part := 1 / float64(sweep.Seeds)
	for seed := range sweep.Seeds {
		report := Run(Settings{
			Site: sweep.Site, Policy: policy, Load: load, Hot: sweep.Hot, Slow: sweep.Slow, Seed: uint64(seed) + 1,
		})
		point.Worth += part * report.Worth
		point.Reuse += part * report.Reuse()
		point.Skew += part * report.Skew
		point.Overfull += part * report.Overfull
		point.PrefilledAgain += part * float64(report.PrefilledAgain) / 1000
		for i, class := range sweep.Site.Classes {
			point.OnTimeShare[i] += part * report.Classes[class.Name].OnTimeShare()
		}
	}
	return point
}

// barWidth is the length of a full bar, in characters.
const barWidth = 24

// WriteTable makes the runs and writes a table of the points, each with a bar of
// the worth served.
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
		for _, timely := range point.OnTimeShare {
			fmt.Fprintf(table, "\t%.2f", timely)
		}
		fmt.Fprintf(table, "\t%s\n", strings.Repeat("#", int(point.Worth*barWidth+0.5)))
	})
	return table.Flush()
}
