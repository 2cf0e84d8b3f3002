package resolver

import (
	"slices"
	"strings"
)

// Render returns the configuration as TOML, with the origin of each value
// behind it.
func (resolved Resolved) Render() string {
	return resolved.Document.text(true)
}

// text writes the document as TOML, tables in order of their paths.
func (doc Document) text(origins bool) string {
	values := slices.Clone(doc.values)
	slices.SortStableFunc(values, func(a, b Value) int { return slices.Compare(a.sortKey(), b.sortKey()) })
	var out strings.Builder
	table := ""
	for _, value := range values {
		head := value.table()
		if name := head.String(); name != table {
			table = name
			out.WriteString(header(head))
		}
		if value.Text == "" {
			continue
		}
		out.WriteString(Path{value.Path[len(value.Path)-1]}.String() + " = " + value.Text)
		if origins {
			out.WriteString("  # " + value.Origin.String())
		}
		out.WriteString("\n")
	}
	return out.String()
}

// sortKey puts a table's own values before the tables inside it.
func (value Value) sortKey() []string {
	if value.Text == "" {
		return value.Path
	}
	return value.Path.parent().child("\x00" + value.Path[len(value.Path)-1])
}

// table returns the table that a value is written under.
func (value Value) table() Path {
	if value.Text == "" {
		return value.Path
	}
	return value.Path.parent()
}

func header(path Path) string {
	switch {
	case len(path) == 0 || len(path) == 1 && path[0] == routesKey:
		return ""
	case len(path) == 2 && path[0] == routesKey:
		return "\n[[" + routesKey + "]]\n"
	}
	return "\n[" + path.String() + "]\n"
}
