package resolver

import (
	"reflect"

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

// Line returns the line on which a top-level key was written, and 1 when it
// wasn't: a missing key belongs to the file's one table, which begins there.
func (doc Document) Line(key string) int {
	return max(1, doc.originOf(Path{key}).Line)
}

// Has reports whether a top-level key was written.
func (doc Document) Has(key string) bool {
	_, found := doc.find(Path{key})
	return found
}

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
