package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// ErrRequestNotFound is returned when no log line names the request.
var ErrRequestNotFound = eris.New("no line names the request")

const (
	// windowBefore and windowAfter extend the time from the first to the last line of a
	// request. Lines about its replicas and processes belong to its timeline only within
	// that time: a state that was logged earlier has changed since, or still holds.
	windowBefore = 3 * time.Second
	windowAfter  = time.Second
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Level   string
	Message string
	// Request and Replica are the IDs that the line names, or "".
	Request, Replica string
	// Fields are the other fields with their values as written, sorted by name.
	Fields []Field
}

// Field is a further log field, as name and value.
type Field struct {
	Name, Value string
}

// lineHeader holds the log fields that have their own fields in Line.
type lineHeader struct {
	At      time.Time `json:"time"`
	Process string    `json:"process"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Request string    `json:"request-id"`
	Replica string    `json:"replica"`
}

// headerFields are the names of the fields in lineHeader.
var headerFields = []string{"time", "process", "level", "msg", "request-id", "replica"}

// parse reads one line of JSON or logfmt. Text before the first brace of a JSON line,
// such as the prefix of a log collector, is skipped.
func parse(text []byte) (Line, bool) {
	if line, ok := parseJSON(text); ok {
		return line, true
	}
	return parseLogfmt(text)
}

// parseJSON reads a line of JSON.
func parseJSON(text []byte) (Line, bool) {
	brace := slices.Index(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	var head lineHeader
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[brace:], &head) != nil || json.Unmarshal(text[brace:], &fields) != nil {
		return Line{}, false
	}
	line := Line{
		At: head.At, Process: head.Process, Level: head.Level, Message: head.Message,
		Request: head.Request, Replica: head.Replica,
	}
	for name, value := range fields {
		if !slices.Contains(headerFields, name) {
			line.Fields = append(line.Fields, Field{Name: name, Value: strings.Trim(string(value), `"`)})
		}
	}
	line.sort()
	return line, true
}

// parseLogfmt reads a line of logfmt. Words that are not key=value pairs are skipped.
func parseLogfmt(text []byte) (Line, bool) {
	var line Line
	targets := map[string]*string{
		"process": &line.Process, "level": &line.Level, "msg": &line.Message, "request-id": &line.Request, "replica": &line.Replica,
	}
	pairs := logfmt.NewDecoder(bytes.NewReader(text))
	for pairs.ScanRecord() {
		for pairs.ScanKeyval() {
			name, value := string(pairs.Key()), string(pairs.Value())
			target, found := targets[name]
			switch {
			case found:
				*target = value
			case name == "time":
				line.At, _ = time.Parse(time.RFC3339, value)
			case pairs.Value() != nil:
				line.Fields = append(line.Fields, Field{Name: name, Value: value})
			}
		}
	}
	line.sort()
	return line, pairs.Err() == nil && line.Message != "" && !line.At.IsZero()
}

func (line *Line) sort() {
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
}

// Timeline holds the log lines about one request, its replicas and its processes, in
// order of time.
type Timeline struct {
	Lines []Line
	// Skipped is the number of lines that could not be parsed.
	Skipped int
}

// Read returns the timeline of a request from logs.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	var timeline Timeline
	var requestLines, otherLines []Line
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			line, ok := parse(lines.Bytes())
			switch {
			case !ok:
				timeline.Skipped++
			case line.Request == request:
				requestLines = append(requestLines, line)
			case line.Request == "":
				otherLines = append(otherLines, line)
			}
		}
		if err := lines.Err(); err != nil {
			return timeline, eris.Wrap(err, "log")
		}
	}
	if len(requestLines) == 0 {
		return timeline, eris.Wrapf(ErrRequestNotFound, "%s", request)
	}
	timeline.Lines = slices.Concat(requestLines, relatedLines(requestLines, otherLines))
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline, nil
}

// relatedLines returns those of otherLines that are about the replicas and processes
// of requestLines and fall within the window of the request.
func relatedLines(requestLines, otherLines []Line) []Line {
	replicas, processes := make([]string, 0, len(requestLines)), make([]string, 0, len(requestLines))
	start, end := requestLines[0].At, requestLines[0].At
	for _, line := range requestLines {
		replicas = append(replicas, line.Replica)
		processes = append(processes, line.Process)
		if line.At.Before(start) {
			start = line.At
		}
		if line.At.After(end) {
			end = line.At
		}
	}
	return slices.DeleteFunc(otherLines, func(line Line) bool {
		inWindow := line.At.After(start.Add(-windowBefore)) && line.At.Before(end.Add(windowAfter))
		aboutReplica := line.Replica != "" && slices.Contains(replicas, line.Replica)
		aboutProcess := line.Replica == "" && slices.Contains(processes, line.Process)
		return !inWindow || (!aboutReplica && !aboutProcess)
	})
}

// Write prints the timeline, one line per log line, with the time since the first.
// An asterisk marks lines that name the request.
func (timeline Timeline) Write(out io.Writer) error {
	for _, line := range timeline.Lines {
		var fields strings.Builder
		if line.Replica != "" {
			fields.WriteString(" replica=" + line.Replica)
		}
		for _, field := range line.Fields {
			fields.WriteString(" " + field.Name + "=" + field.Value)
		}
		mark := " "
		if line.Request != "" {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%8d ms %s %-22s %s%s\n",
			line.At.Sub(timeline.Lines[0].At).Milliseconds(), mark, line.Process, line.Message, fields.String())
		if err != nil {
			return err
		}
	}
	return nil
}
