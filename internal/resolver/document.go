package resolver

import (
	"bytes"
	"encoding/json"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"
)

// routesKey is the key of the only list of tables. The value under pathKey identifies
// each member.
const (
	routesKey = "routes"
	pathKey   = "path"
)

// teamsKey is the key of the table of teams, which has thousands of members.
const teamsKey = "teams"

// Path is the sequence of keys that lead to a value, such as services, planner,
// slots. The key of a member of the list of routes is the route's path.
type Path []string

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// String returns the path in TOML's dotted form.
func (path Path) String() string {
	parts := make([]string, len(path))
	for i, part := range path {
		parts[i] = part
		if !bareKey.MatchString(part) {
			parts[i] = quote(part)
		}
	}
	return strings.Join(parts, ".")
}

func (path Path) child(parts ...string) Path {
	return append(append(Path{}, path...), parts...)
}

// parent returns the path of the table that holds the value.
func (path Path) parent() Path {
	return path[:len(path)-1]
}

// Origin is the file and line where a value is written.
type Origin struct {
	File string
	Line int
}

// String returns the origin as "file:line".
func (origin Origin) String() string {
	return origin.File + ":" + strconv.Itoa(origin.Line)
}

// Value is one value of a file. Tables are values too, with an empty Text.
type Value struct {
	Path   Path
	Text   string
	Origin Origin
}

// Document holds values, each with its origin: those of a file, or of a base with an
// overlay. It is an immutable value.
type Document struct {
	values []Value
	index  map[string]int
}

// find returns the value at a path.
func (doc Document) find(path Path) (Value, bool) {
	i, ok := doc.index[path.String()]
	if !ok {
		return Value{}, false
	}
	return doc.values[i], true
}

// originOf returns the origin of the value at a path, or of the innermost enclosing
// table in the document.
func (doc Document) originOf(path Path) Origin {
	for ; len(path) > 0; path = path.parent() {
		if value, ok := doc.find(path); ok {
			return value.Origin
		}
	}
	return Origin{}
}

// sortByPosition returns the names in the order in which they first occur in the
// table, so that a conflict between two is reported at the later one.
func (doc Document) sortByPosition(table string, names []string) []string {
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return doc.index[Path{table, a}.String()] - doc.index[Path{table, b}.String()]
	})
	return sorted
}

// set adds a value or replaces the one at its path. Only code that builds a new
// document may call it.
func (doc *Document) set(value Value) {
	key := value.Path.String()
	if i, ok := doc.index[key]; ok {
		doc.values[i] = value
		return
	}
	doc.index[key] = len(doc.values)
	doc.values = append(doc.values, value)
}

func newDocument() Document {
	return Document{index: map[string]int{}}
}

// documentReader reads a file into a Document.
type documentReader struct {
	file       string
	text       []byte
	parser     unstable.Parser
	offset     int
	line       int
	table      Path
	routeCount int
	values     []Value
}

// Read returns the values of a file and its faults: bad syntax, duplicate keys,
// and routes without a path.
func Read(source Source) (Document, Faults) {
	// The decoder enforces rules that the parser alone doesn't, such as the one
	// against a table that is defined twice.
	var decoded any
	if faults := decodeFaults(source.File, toml.Unmarshal(source.Text, &decoded)); len(faults) > 0 {
		return newDocument(), withRemedy(faults, "mend the syntax; the lines after it are not checked yet")
	}
	reader := &documentReader{file: source.File, text: source.Text, line: 1}
	reader.parser.Reset(source.Text)
	for reader.parser.NextExpression() {
		reader.expression(reader.parser.Expression())
	}
	if err := reader.parser.Error(); err != nil {
		return newDocument(), Faults{{File: source.File, Reason: err.Error(), Remedy: "mend the syntax"}}
	}
	return reader.finish()
}

func (reader *documentReader) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		path, line := reader.key(node.Key())
		reader.table = path
		if path[0] == routesKey && reader.routeCount > 0 {
			reader.table = append(Path{routesKey, strconv.Itoa(reader.routeCount)}, path[1:]...)
		}
		reader.add(reader.table, "", line)
	case unstable.ArrayTable:
		path, line := reader.key(node.Key())
		reader.table = path
		if len(path) == 1 && path[0] == routesKey {
			reader.table = reader.nextRoute()
		}
		reader.add(reader.table, "", line)
	case unstable.KeyValue:
		reader.pair(reader.table, node)
	}
}

func (reader *documentReader) nextRoute() Path {
	reader.routeCount++
	return Path{routesKey, strconv.Itoa(reader.routeCount)}
}

func (reader *documentReader) pair(table Path, node *unstable.Node) {
	key, line := reader.key(node.Key())
	reader.value(table.child(key...), node.Value(), line)
}

func (reader *documentReader) value(path Path, node *unstable.Node, line int) {
	switch {
	case node.Kind == unstable.InlineTable:
		reader.add(path, "", line)
		for pairs := node.Children(); pairs.Next(); {
			reader.pair(path, pairs.Node())
		}
	case node.Kind == unstable.Array && path.String() == routesKey:
		for members := node.Children(); members.Next(); {
			reader.value(reader.nextRoute(), members.Node(), line)
		}
	default:
		reader.add(path, canonicalText(node), line)
	}
}

func (reader *documentReader) add(path Path, text string, line int) {
	reader.values = append(reader.values, Value{Path: path, Text: text, Origin: Origin{File: reader.file, Line: line}})
}

// key returns a dotted key and its line. The parser returns keys in the order of
// the file, so lines are counted from the position of the previous key.
func (reader *documentReader) key(parts unstable.Iterator) (Path, int) {
	var path Path
	for parts.Next() {
		node := parts.Node()
		if start := int(node.Raw.Offset); len(path) == 0 && start >= reader.offset && start <= len(reader.text) {
			reader.line += bytes.Count(reader.text[reader.offset:start], []byte("\n"))
			reader.offset = start
		}
		path = append(path, string(node.Data))
	}
	return path, reader.line
}

// finish replaces the indexes of routes by their paths and reports duplicate routes
// and routes without a path.
func (reader *documentReader) finish() (Document, Faults) {
	names := map[string]string{}
	for _, value := range reader.values {
		if len(value.Path) == 3 && value.Path[0] == routesKey && value.Path[2] == pathKey {
			names[value.Path[1]] = unquote(value.Text)
		}
	}
	doc := newDocument()
	var faults Faults
	for _, value := range reader.values {
		if value.Path[0] == routesKey && len(value.Path) > 1 {
			name, ok := names[value.Path[1]]
			if !ok && value.Text == "" {
				faults = append(faults, value.Origin.fault("the route has no path", `add path = "/..."`))
			}
			if !ok {
				continue
			}
			value.Path = Path{routesKey, name}.child(value.Path[2:]...)
		}
		if first, duplicate := doc.find(value.Path); duplicate && value.Path[0] == routesKey && len(value.Path) == 2 {
			reason := "the route " + value.Path[1] + " is there twice, first at line " + strconv.Itoa(first.Origin.Line)
			faults = append(faults, value.Origin.fault(reason, "take one of them out"))
			continue
		}
		doc.set(value)
	}
	return doc, faults
}

// canonicalText returns a value as TOML text in canonical form: equal values have
// equal texts.
func canonicalText(node *unstable.Node) string {
	switch node.Kind {
	case unstable.String:
		return quote(string(node.Data))
	case unstable.Array:
		var parts []string
		for members := node.Children(); members.Next(); {
			parts = append(parts, canonicalText(members.Node()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case unstable.InlineTable:
		return "{}"
	case unstable.Integer:
		if number, err := strconv.ParseInt(string(node.Data), 0, 64); err == nil {
			return strconv.FormatInt(number, 10)
		}
	case unstable.Float:
		return canonicalFloat(strings.ReplaceAll(string(node.Data), "_", ""))
	}
	return string(node.Data)
}

func canonicalFloat(text string) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
		return text
	}
	short := strconv.FormatFloat(number, 'g', -1, 64)
	if !strings.ContainsAny(short, ".e") {
		short += ".0"
	}
	return short
}

// quote returns a TOML basic string. TOML has the escapes of JSON, and requires one
// for DEL too.
func quote(text string) string {
	var out bytes.Buffer
	coder := json.NewEncoder(&out)
	coder.SetEscapeHTML(false)
	_ = coder.Encode(text)
	return strings.ReplaceAll(strings.TrimSuffix(out.String(), "\n"), "\x7f", `\u007f`)
}

func unquote(text string) string {
	var out string
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		return text
	}
	return out
}

func decodeFaults(file string, err error) Faults {
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if eris.As(err, &unknown) {
		faults := make(Faults, 0, len(unknown.Errors))
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			reason := "unknown key " + strings.Join(unknown.Errors[i].Key(), ".")
			faults = append(faults, Fault{File: file, Line: line, Reason: reason})
		}
		return faults
	}
	var bad *toml.DecodeError
	if eris.As(err, &bad) {
		line, _ := bad.Position()
		return Faults{{File: file, Line: line, Reason: strings.TrimPrefix(bad.Error(), "toml: ")}}
	}
	return Faults{{File: file, Reason: err.Error()}}
}
