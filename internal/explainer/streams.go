package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Names of the line and the fields that say where a stream was sent.
const (
	messagePlaced        = "request placed"
	fieldSoftwareVersion = "software-version"
	fieldAfterEvent      = "after-event"
	fieldResumes         = "resumes"
)

// StreamReport says whether streams went on at the software version that began them.
type StreamReport struct {
	// Continued counts the placements of streams that went on, of which Unlinked are those of a
	// stream whose beginning the logs don't have, or whose version an entry didn't know.
	Continued, Unlinked int
	// Mixed are the placements at another version than the one that began the stream.
	Mixed []MixedStream
	// Skipped is the number of lines that could not be parsed.
	Skipped int
}

// MixedStream is a stream that was sent to a replica of another software version.
type MixedStream struct {
	// BegunBy is the request that began the stream, and Begun its version.
	BegunBy, Begun string
	// Placement is the line of the placement at another version.
	Placement Line
}

// CheckStreams checks the placements in logs.
//
// A request's first event comes from its last placement that is after no event. All placements
// after an event, of that request and of those that resume it, must be at the same version.
func CheckStreams(logs ...io.Reader) (StreamReport, error) {
	var report StreamReport
	placements := map[string][]Line{}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			line, ok := parse(lines.Bytes())
			if !ok {
				report.Skipped++
			}
			if ok && line.Message == messagePlaced {
				placements[line.Request] = append(placements[line.Request], line)
			}
		}
		if err := lines.Err(); err != nil {
			return report, eris.Wrap(err, "log")
		}
	}
	origins := originsOf(placements)
	for _, lines := range placements {
		for _, line := range lines {
			report.check(line, origins)
		}
	}
	slices.SortFunc(report.Mixed, func(a, b MixedStream) int { return a.Placement.At.Compare(b.Placement.At) })
	return report, nil
}

// originsOf returns the software version that began the stream of each request.
func originsOf(placements map[string][]Line) map[string]string {
	origins := make(map[string]string, len(placements))
	for request, lines := range placements {
		slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
		for _, line := range lines {
			if line.field(fieldAfterEvent) == "" {
				origins[request] = line.field(fieldSoftwareVersion)
			}
		}
	}
	return origins
}

// check adds a placement to the report, if a stream goes on with it.
func (report *StreamReport) check(line Line, origins map[string]string) {
	if line.field(fieldAfterEvent) == "" {
		return
	}
	report.Continued++
	begunBy := line.Request
	if resumes := line.field(fieldResumes); resumes != "" {
		begunBy = resumes
	}
	begun, version := origins[begunBy], line.field(fieldSoftwareVersion)
	switch {
	case begun == "" || version == "":
		report.Unlinked++
	case begun != version:
		report.Mixed = append(report.Mixed, MixedStream{BegunBy: begunBy, Begun: begun, Placement: line})
	}
}

// field returns the value of a further field, or "".
func (line Line) field(name string) string {
	for _, field := range line.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// Write prints the report as text.
func (report StreamReport) Write(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d continuations, %d of them at another software version, %d whose beginning is not in the logs\n",
		report.Continued, len(report.Mixed), report.Unlinked)
	for _, mixed := range report.Mixed {
		line := mixed.Placement
		fmt.Fprintf(&text, "%s %s sent %s to %s (%s) after event %s; %s began at %s\n", line.At.Format("15:04:05.000"), line.Process,
			line.Request, line.Replica, line.field(fieldSoftwareVersion), line.field(fieldAfterEvent), mixed.BegunBy, mixed.Begun)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
