package resolver

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var spanType = reflect.TypeFor[timekeeper.Span]()

// checkValues holds each value against the type of its key in Config. Each
// value is decoded by itself, since the decoder stops at the first bad one.
func (doc Document) checkValues() Faults {
	var faults Faults
	for _, value := range doc.values {
		if fault, bad := value.check(reflect.TypeFor[Config]()); bad {
			faults = append(faults, fault)
		}
	}
	return faults
}

// check holds the value against the type of its key under root.
func (value Value) check(root reflect.Type) (Fault, bool) {
	kind, reason, remedy := typeAt(root, value.Path)
	if reason != "" {
		return value.Origin.fault(reason, remedy), true
	}
	isTable := value.Text == ""
	if holdsTables(kind) != isTable {
		return value.Origin.fault(value.Path.String()+" has the wrong shape", wanted(kind)), true
	}
	if isTable || decodes(kind, value.Text) {
		return Fault{}, false
	}
	return value.Origin.fault(value.Path.String()+" is "+value.Text, wanted(kind)), true
}

// typeAt returns the type that root has at a path. Keys match exactly; the
// decoder alone would take "Weight" for "weight".
func typeAt(root reflect.Type, path Path) (at reflect.Type, reason, remedy string) {
	at = root
	for i := range path {
		switch {
		case at.Kind() == reflect.Map, at.Kind() == reflect.Slice && at.Elem().Kind() == reflect.Struct:
			at = at.Elem()
		case at.Kind() == reflect.Struct:
			field, ok := fieldOf(at, path[i])
			if !ok {
				return nil, "unknown key " + path[:i+1].String(), "the keys here are " + strings.Join(keysOf(at), ", ")
			}
			at = field
		default:
			return nil, path.String() + " lies under a value", "take it out"
		}
	}
	return at, "", ""
}

func fieldOf(table reflect.Type, key string) (reflect.Type, bool) {
	for field := range table.Fields() {
		if field.Anonymous {
			if found, ok := fieldOf(field.Type, key); ok {
				return found, true
			}
			continue
		}
		if tag := field.Tag.Get("toml"); tag == key && tag != "-" {
			return field.Type, true
		}
	}
	return nil, false
}

func keysOf(table reflect.Type) []string {
	var keys []string
	for field := range table.Fields() {
		if field.Anonymous {
			keys = append(keys, keysOf(field.Type)...)
			continue
		}
		if tag := field.Tag.Get("toml"); tag != "-" {
			keys = append(keys, tag)
		}
	}
	return keys
}

func holdsTables(kind reflect.Type) bool {
	return kind.Kind() == reflect.Map || kind.Kind() == reflect.Struct ||
		kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct
}

// decodes reports whether the text is a value of the type.
func decodes(kind reflect.Type, text string) bool {
	if kind == spanType && !strings.HasPrefix(text, `"`) {
		// A bare number would pass as milliseconds; the unit must be written.
		return false
	}
	field := reflect.StructField{Name: "V", Type: kind, Tag: `toml:"v"`}
	out := reflect.New(reflect.StructOf([]reflect.StructField{field}))
	return toml.Unmarshal([]byte("v = "+text), out.Interface()) == nil
}

func wanted(kind reflect.Type) string {
	switch {
	case kind == spanType:
		return `write a duration such as "250ms" or "2m"`
	case holdsTables(kind):
		return "write a table here"
	}
	switch kind.Kind() {
	case reflect.String:
		return "write a text in quotes"
	case reflect.Bool:
		return "write true or false"
	case reflect.Float64:
		return "write a number such as 1.25"
	case reflect.Slice:
		return `write a list of texts such as ["one", "two"]`
	}
	return "write a whole number"
}
