package resolver

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var spanType = reflect.TypeFor[timekeeper.Span]()

// checkTypes checks each value against the type of its key in Config. It decodes
// each value by itself, since the decoder stops at the first bad one.
func (doc Document) checkTypes() Faults {
	var faults Faults
	for _, value := range doc.values {
		if fault, bad := value.checkType(reflect.TypeFor[Config]()); bad {
			faults = append(faults, fault)
		}
	}
	return faults
}

// checkType checks the value against the type of its key in root.
func (value Value) checkType(root reflect.Type) (Fault, bool) {
	typ, reason, remedy := typeAt(root, value.Path)
	if reason != "" {
		return value.Origin.fault(reason, remedy), true
	}
	isTable := value.Text == ""
	if isTableType(typ) != isTable {
		return value.Origin.fault(value.Path.String()+" has the wrong shape", remedyFor(typ)), true
	}
	if isTable || decodes(typ, value.Text) {
		return Fault{}, false
	}
	return value.Origin.fault(value.Path.String()+" is "+value.Text, remedyFor(typ)), true
}

// typeAt returns the type that root has at a path, or the reason why it has none and
// a remedy. Keys must match exactly; the decoder would accept "Weight" for "weight".
func typeAt(root reflect.Type, path Path) (typ reflect.Type, reason, remedy string) {
	typ = root
	for i := range path {
		switch {
		case typ.Kind() == reflect.Map, typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
			typ = typ.Elem()
		case typ.Kind() == reflect.Struct:
			field, ok := fieldType(typ, path[i])
			if !ok {
				return nil, "unknown key " + path[:i+1].String(), "the keys here are " + strings.Join(keysOf(typ), ", ")
			}
			typ = field
		default:
			return nil, path.String() + " lies under a value", "take it out"
		}
	}
	return typ, "", ""
}

func fieldType(table reflect.Type, key string) (reflect.Type, bool) {
	for field := range table.Fields() {
		if field.Anonymous {
			if found, ok := fieldType(field.Type, key); ok {
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

func isTableType(typ reflect.Type) bool {
	return typ.Kind() == reflect.Map || typ.Kind() == reflect.Struct ||
		typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct
}

// decodes reports whether the text is a valid value of the type.
func decodes(typ reflect.Type, text string) bool {
	if typ == spanType && !strings.HasPrefix(text, `"`) {
		// The unit is required; the decoder would accept a plain number as milliseconds.
		return false
	}
	field := reflect.StructField{Name: "V", Type: typ, Tag: `toml:"v"`}
	out := reflect.New(reflect.StructOf([]reflect.StructField{field}))
	return toml.Unmarshal([]byte("v = "+text), out.Interface()) == nil
}

func remedyFor(typ reflect.Type) string {
	switch {
	case typ == spanType:
		return `write a duration such as "250ms" or "2m"`
	case isTableType(typ):
		return "write a table here"
	}
	switch typ.Kind() {
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
