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

// ErrRequestNotFound is returned when no line names the request.
var ErrRequestNotFound = eris.New("no line names the request")

const (
	// before and after bound which lines about a request's replicas belong to its
	// story: beliefs that are older have changed since, or hold still.
	before = 3 * time.Second
	after  = time.Second
	// longestLine bounds a line, in bytes.
	longestLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Level   string
	Message string
	// Request and Replica are what the line is about, or "".
	Request, Replica string
	// Fields are the other fields as they were written, in order of their names.
	Fields []Field
}

// Field is one further field of a line.
type Field struct {
	Name, Value string
}

// header is the part of a line that has names of its own.
type header struct {
	At      time.Time `json:"time"`
	Process string    `json:"process"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Request string    `json:"request-id"`
	Replica string    `json:"replica"`
}

// named are the fields of a header.
var named = []string{"time", "process", "level", "msg", "request-id", "replica"}

// parse reads one line; anything before the first brace is passed over, such as
// what a collector of logs has put there.
func parse(text []byte) (Line, bool) {
	if line, read := parseObject(text); read {
		return line, true
	}
	return parsePairs(text)
}

// parseObject reads a line of JSON.
func parseObject(text []byte) (Line, bool) {
	begin := slices.Index(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var head header
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[begin:], &head) != nil || json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	line := Line{
		At: head.At, Process: head.Process, Level: head.Level, Message: head.Message,
		Request: head.Request, Replica: head.Replica,
	}
	for name, value := range fields {
		if !slices.Contains(named, name) {
			line.Fields = append(line.Fields, Field{Name: name, Value: strings.Trim(string(value), `"`)})
		}
	}
	line.sort()
	return line, true
}

// parsePairs reads a line of logfmt. Words that are no pairs are passed over.
func parsePairs(text []byte) (Line, bool) {
	var line Line
	targets := map[string]*string{
		"process": &line.Process, "level": &line.Level, "msg": &line.Message, "request-id": &line.Request, "replica": &line.Replica,
	}
	pairs := logfmt.NewDecoder(bytes.NewReader(text))
	for pairs.ScanRecord() {
		for pairs.ScanKeyval() {
			name, value := string(pairs.Key()), string(pairs.Value())
			target, known := targets[name]
			switch {
			case known:
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

// Timeline is what the logs say about a request.
type Timeline struct {
	Lines []Line
	// Skipped are lines that could not be read.
	Skipped int
}

// Read returns the story of a request from logs.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	var story Timeline
	var own, others []Line
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, longestLine)
		for lines.Scan() {
			line, read := parse(lines.Bytes())
			switch {
			case !read:
				story.Skipped++
			case line.Request == request:
				own = append(own, line)
			case line.Request == "":
				others = append(others, line)
			}
		}
		if err := lines.Err(); err != nil {
			return story, eris.Wrap(err, "log")
		}
	}
	if len(own) == 0 {
		return story, eris.Wrapf(ErrRequestNotFound, "%s", request)
	}
	story.Lines = slices.Concat(own, around(own, others))
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return story, nil
}

// around returns the lines about the request's replicas and processes that fall
// into its time.
func around(own, others []Line) []Line {
	replicas, processes := make([]string, 0, len(own)), make([]string, 0, len(own))
	first, last := own[0].At, own[0].At
	for _, line := range own {
		replicas = append(replicas, line.Replica)
		processes = append(processes, line.Process)
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	return slices.DeleteFunc(others, func(line Line) bool {
		timely := line.At.After(first.Add(-before)) && line.At.Before(last.Add(after))
		aboutReplica := line.Replica != "" && slices.Contains(replicas, line.Replica)
		aboutProcess := line.Replica == "" && slices.Contains(processes, line.Process)
		return !timely || (!aboutReplica && !aboutProcess)
	})
}

// Write prints the story, a line for each step, with the time since the first.
func (story Timeline) Write(out io.Writer) error {
	for _, line := range story.Lines {
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
			line.At.Sub(story.Lines[0].At).Milliseconds(), mark, line.Process, line.Message, fields.String())
		if err != nil {
			return err
		}
	}
	return nil
}
