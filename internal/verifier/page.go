package verifier

import (
	_ "embed" // The page is one self-contained file.
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"class": classOf,
	"skews": skewPlots,
	"told":  answerPlot,
	"tally": countOutcomes,
	"few":   func(count int) bool { return count <= maxOpenItems },
}).Parse(pageText))

// WriteHTML writes the report as one self-contained HTML page.
func (report Report) WriteHTML(out io.Writer) error {
	return eris.Wrap(pageTemplate.Execute(out, report), "write the page")
}

// maxOpenItems is the length of the longest list that the page shows expanded.
const maxOpenItems = 6

// outcomeCount is the number of promises with one outcome.
type outcomeCount struct {
	Class string
	Count int
	Text  Outcome
}

func countOutcomes(report Report) []outcomeCount {
	outcomes := [...]Outcome{Held, Broken, NotProvable}
	counts := make([]outcomeCount, 0, len(outcomes))
	for _, outcome := range outcomes {
		count := outcomeCount{Class: classOf(outcome), Text: outcome}
		for _, verdict := range report.Verdicts {
			if verdict.Outcome == outcome {
				count.Count++
			}
		}
		counts = append(counts, count)
	}
	return counts
}

func classOf(outcome Outcome) string {
	if outcome == NotProvable {
		return "open"
	}
	return string(outcome)
}
