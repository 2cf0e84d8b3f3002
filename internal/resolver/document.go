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

// routesKey is the one list of tables; its members are told apart by pathKey.
const (
	routesKey = "routes"
	pathKey   = "path"
)

// teamsKey is the table of the teams, of which there are thousands.
const teamsKey = "teams"

// Path leads to a value, such as services, planner, slots. The members of the
// list of routes are named by their path.
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

// parent returns the table that a value stands in.
func (path Path) parent() Path {
	return path[:len(path)-1]
}

// Origin is the place where a value was written.
type Origin struct {
	File string
	Line int
}

// String returns the origin as "file:line".
func (origin Origin) String() string {
	return origin.File + ":" + strconv.Itoa(origin.Line)
}

// Value is one value of a file. A table has no text.
type Value struct {
	Path   Path
	Text   string
	Origin Origin
}

// Document is a file as a list of values, each with its origin. It is an
// immutable value.
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

// originOf returns where a path, or the nearest table around it, was written.
func (doc Document) originOf(path Path) Origin {
	for ; len(path) > 0; path = path.parent() {
		if value, ok := doc.find(path); ok {
			return value.Origin
		}
	}
	return Origin{}
}

// inOrder returns the names in the order in which table first has them, so that
// of two that clash the later one is named.
func (doc Document) inOrder(table string, names []string) []string {
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return doc.index[Path{table, a}.String()] - doc.index[Path{table, b}.String()]
	})
	return sorted
}

// set adds a value or replaces the one at its path. It is for documents that
// are being made.
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

// reader turns a file into a Document.
type reader struct {
	file   string
	text   []byte
	parser unstable.Parser
	offset int
	line   int
	table  Path
	routes int
	values []Value
}

// Read returns the values of a file, and its faults: bad syntax, and keys that
// are there twice.
func Read(source Source) (Document, Faults) {
	// The whole decoder knows rules that the bare parser doesn't check, such as
	// a table that is defined twice.
	var whole any
	if faults := faultsOf(source.File, toml.Unmarshal(source.Text, &whole)); len(faults) > 0 {
		return newDocument(), withRemedy(faults, "mend the syntax; the lines after it are not checked yet")
	}
	read := &reader{file: source.File, text: source.Text, line: 1}
	read.parser.Reset(source.Text)
	for read.parser.NextExpression() {
		read.expression(read.parser.Expression())
	}
	if err := read.parser.Error(); err != nil {
		return newDocument(), Faults{{File: source.File, Reason: err.Error(), Remedy: "mend the syntax"}}
	}
	return read.finish()
}

func (read *reader) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		path, line := read.key(node.Key())
		read.table = path
		if path[0] == routesKey && read.routes > 0 {
			read.table = append(Path{routesKey, strconv.Itoa(read.routes)}, path[1:]...)
		}
		read.add(read.table, "", line)
	case unstable.ArrayTable:
		path, line := read.key(node.Key())
		read.table = path
		if len(path) == 1 && path[0] == routesKey {
			read.table = read.nextRoute()
		}
		read.add(read.table, "", line)
	case unstable.KeyValue:
		read.pair(read.table, node)
	}
}

func (read *reader) nextRoute() Path {
	read.routes++
	return Path{routesKey, strconv.Itoa(read.routes)}
}

func (read *reader) pair(table Path, node *unstable.Node) {
	key, line := read.key(node.Key())
	read.value(table.child(key...), node.Value(), line)
}

func (read *reader) value(path Path, node *unstable.Node, line int) {
	switch {
	case node.Kind == unstable.InlineTable:
		read.add(path, "", line)
		for pairs := node.Children(); pairs.Next(); {
			read.pair(path, pairs.Node())
		}
	case node.Kind == unstable.Array && path.String() == routesKey:
		for members := node.Children(); members.Next(); {
			read.value(read.nextRoute(), members.Node(), line)
		}
	default:
		read.add(path, textOf(node), line)
	}
}

func (read *reader) add(path Path, text string, line int) {
	read.values = append(read.values, Value{Path: path, Text: text, Origin: Origin{File: read.file, Line: line}})
}

// key returns a dotted key and its line. Keys come in the order of the file,
// so lines are counted on from the key before.
func (read *reader) key(parts unstable.Iterator) (Path, int) {
	var path Path
	for parts.Next() {
		node := parts.Node()
		if at := int(node.Raw.Offset); len(path) == 0 && at >= read.offset && at <= len(read.text) {
			read.line += bytes.Count(read.text[read.offset:at], []byte("\n"))
			read.offset = at
		}
		path = append(path, string(node.Data))
	}
	return path, read.line
}

// finish names the routes by their paths and looks for what is there twice.
func (read *reader) finish() (Document, Faults) {
	names := map[string]string{}
	for _, value := range read.values {
		if len(value.Path) == 3 && value.Path[0] == routesKey && value.Path[2] == pathKey {
			names[value.Path[1]] = unquote(value.Text)
		}
	}
	doc := newDocument()
	var faults Faults
	for _, value := range read.values {
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
		if first, twice := doc.find(value.Path); twice && value.Path[0] == routesKey && len(value.Path) == 2 {
			reason := "the route " + value.Path[1] + " is there twice, first at line " + strconv.Itoa(first.Origin.Line)
			faults = append(faults, value.Origin.fault(reason, "take one of them out"))
			continue
		}
		doc.set(value)
	}
	return doc, faults
}

// textOf returns a value as TOML text in one form, so that equal values have
// equal texts.
func textOf(node *unstable.Node) string {
	switch node.Kind {
	case unstable.String:
		return quote(string(node.Data))
	case unstable.Array:
		var parts []string
		for members := node.Children(); members.Next(); {
			parts = append(parts, textOf(members.Node()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case unstable.InlineTable:
		return "{}"
	case unstable.Integer:
		if number, err := strconv.ParseInt(string(node.Data), 0, 64); err == nil {
			return strconv.FormatInt(number, 10)
		}
	case unstable.Float:
		return floatText(strings.ReplaceAll(string(node.Data), "_", ""))
	}
	return string(node.Data)
}

func floatText(text string) string {
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

// quote returns a TOML basic string. JSON's escapes are TOML's, but for DEL.
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

func faultsOf(file string, err error) Faults {
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
