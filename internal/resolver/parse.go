package resolver

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads the settings of a process into out, a pointer to a struct. It
// returns every unknown key and bad value of the file as Faults, and fills in
// what is sound, so that the caller can look for further faults. The document
// tells where each key was written.
func Decode(file string, text []byte, out any) (Document, Faults) {
	doc, faults := Read(Source{File: file, Text: text})
	if len(faults) > 0 {
		return doc, faults
	}
	for _, value := range doc.values {
		if fault, bad := value.check(reflect.TypeOf(out).Elem()); bad {
			faults = append(faults, fault)
			continue
		}
		if value.Text == "" {
			// A table's own line holds no value.
			continue
		}
		if err := toml.Unmarshal([]byte(value.Path.String()+" = "+value.Text), out); err != nil {
			faults = append(faults, value.Origin.fault(err.Error(), "mend the value"))
		}
	}
	return doc, faults
}

// Line returns the line on which a key was written, or the nearest table around it; dots
// lead into tables. It is 1 when neither was written.
func (doc Document) Line(key string) int {
	return max(1, doc.originOf(pathOf(key)).Line)
}

// Has reports whether a key was written; dots lead into tables.
func (doc Document) Has(key string) bool {
	_, found := doc.find(pathOf(key))
	return found
}

// pathOf returns the path of a key whose dots lead into tables.
func pathOf(key string) Path { return strings.Split(key, ".") }

// Empty reports whether nothing was read, as from a file with bad syntax.
func (doc Document) Empty() bool {
	return len(doc.values) == 0
}

// Parse reads a base file alone into a configuration.
func Parse(file string, text []byte) (Config, Faults) {
	sources := Sources{Base: Source{File: file, Text: text}}
	if faults := sources.Check(); len(faults) > 0 {
		return Config{}, faults
	}
	resolved, faults := sources.Resolve("")
	return resolved.Config, faults
}
