package verifier

import (
	"fmt"
	"io"
)

// shown is how many records or gaps of one verdict the text prints; the JSON
// report has them all.
const shown = 10

// WriteText writes the report for a terminal.
func (report Report) WriteText(out io.Writer) {
	fmt.Fprintf(out, "record of %d incarnations: %d segments, %d records\n", report.Incarnations, report.Segments, report.Records)
	fmt.Fprintf(out, "judged from %s to %s, clocks may differ by %s\n\n", report.From, report.Until, report.ClockSkew)
	for _, verdict := range report.Verdicts {
		fmt.Fprintf(out, "%d. %-12s  %s (%s)\n", verdict.Number, verdict.Outcome, verdict.Promise, verdict.put())
		for i, breach := range verdict.Breaches {
			if i == shown {
				fmt.Fprintf(out, "     and %d more\n", len(verdict.Breaches)-shown)
				break
			}
			fmt.Fprintf(out, "     broken: %s\n", breach.Reason)
			for _, record := range breach.Records {
				fmt.Fprintf(out, "       %s request %q\n", record, record.Request)
			}
		}
		writeLines(out, "     gap: ", verdict.Doubts)
	}
	if len(report.Findings) > 0 {
		fmt.Fprintf(out, "\nthe record was changed: %d findings; run \"audit verify\"\n", len(report.Findings))
	}
}

func writeLines(out io.Writer, lead string, lines []string) {
	for i, line := range lines {
		if i == shown {
			fmt.Fprintf(out, "%sand %d more\n", lead, len(lines)-shown)
			return
		}
		fmt.Fprintf(out, "%s%s\n", lead, line)
	}
}

// WriteText writes what the verification of the chains found.
func (trail Trail) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%d incarnations, %d segments, %d records, %d bytes\n", len(trail.Incarnations), trail.Segments, trail.Records, trail.Bytes)
	for _, finding := range trail.Findings {
		fmt.Fprintf(out, "wrong: %s\n", finding)
	}
	for _, gap := range trail.Gaps() {
		fmt.Fprintf(out, "gap: %s\n", gap)
	}
	if len(trail.Findings) == 0 {
		fmt.Fprintln(out, "every chain is whole but for the gaps above")
	}
}

// put tells how far the promise was put to the test.
func (verdict Verdict) put() string {
	if verdict.Checked == 0 {
		return "nothing in this time put it to the test"
	}
	return fmt.Sprintf("%d records checked", verdict.Checked)
}
