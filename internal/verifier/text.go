package verifier

import (
	"fmt"
	"io"
)

// maxLines is how many records or gaps of one verdict the text prints; the JSON
// report has them all.
const maxLines = 10

// WriteText writes the report for a terminal.
func (report Report) WriteText(out io.Writer) {
	fmt.Fprintf(out, "record of %d incarnations: %d segments, %d records\n", report.Incarnations, report.Segments, report.Records)
	fmt.Fprintf(out, "judged from %s to %s, clocks may differ by %s\n\n", report.From, report.Until, report.ClockSkew)
	for _, verdict := range report.Verdicts {
		fmt.Fprintf(out, "%d. %-12s  %s (%s)\n", verdict.Number, verdict.Outcome, verdict.Promise, verdict.coverage())
		for i, breach := range verdict.Breaches {
			if i == maxLines {
				fmt.Fprintf(out, "     and %d more\n", len(verdict.Breaches)-maxLines)
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

func writeLines(out io.Writer, prefix string, lines []string) {
	for i, line := range lines {
		if i == maxLines {
			fmt.Fprintf(out, "%sand %d more\n", prefix, len(lines)-maxLines)
			return
		}
		fmt.Fprintf(out, "%s%s\n", prefix, line)
	}
}

// WriteText writes the result of verifying the chains.
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

// coverage says on how many records the promise was checked.
func (verdict Verdict) coverage() string {
	if verdict.Checked == 0 {
		return "nothing in this time put it to the test"
	}
	return fmt.Sprintf("%d records checked", verdict.Checked)
}
