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
}).Parse(pageText))

// WriteHTML writes the report as one page that needs nothing else.
func (report Report) WriteHTML(out io.Writer) error {
	return eris.Wrap(pageTemplate.Execute(out, report), "write the page")
}

func classOf(outcome Outcome) string {
	if outcome == NotProvable {
		return "open"
	}
	return string(outcome)
}
