package resolver

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads the settings of a process into out, a pointer to a struct. It
// returns all unknown keys and bad values of the file as Faults, and sets the
// fields whose values are valid, so that the caller can check these further. The
// document has the line of each key.
func Decode(file string, text []byte, out any) (Document, Faults) {
	doc, faults := Read(Source{File: file, Text: text})
	if len(faults) > 0 {
		return doc, faults
	}
	for _, value := range doc.values {
		if fault, bad := value.checkType(reflect.TypeOf(out).Elem()); bad {
			faults = append(faults, fault)
			continue
		}
		if value.Text == "" {
			// A table itself has no value to decode.
			continue
		}
		if err := toml.Unmarshal([]byte(value.Path.String()+" = "+value.Text), out); err != nil {
			faults = append(faults, value.Origin.fault(err.Error(), "mend the value"))
		}
	}
	return doc, faults
}

// Line returns the line of a dotted key, or of the innermost enclosing table in the
// document; 1 if the document has neither.
func (doc Document) Line(key string) int {
	return max(1, doc.originOf(pathOf(key)).Line)
}

// Has reports whether the document has a dotted key.
func (doc Document) Has(key string) bool {
	_, found := doc.find(pathOf(key))
	return found
}

// pathOf returns the path of a dotted key.
func pathOf(key string) Path { return strings.Split(key, ".") }

// Empty reports whether the document has no values, such as that of a file with bad
// syntax.
func (doc Document) Empty() bool {
	return len(doc.values) == 0
}

// Parse returns the configuration of a base file without overlays, or all faults of
// the file.
func Parse(file string, text []byte) (Config, Faults) {
	sources := Sources{Base: Source{File: file, Text: text}}
	if faults := sources.Check(); len(faults) > 0 {
		return Config{}, faults
	}
	resolved, faults := sources.Resolve("")
	return resolved.Config, faults
}
