package resolver

import (
	"slices"
	"strings"
)

// Render returns the configuration as TOML, with the origin of each value in a
// comment after it.
func (resolved Resolved) Render() string {
	return resolved.Document.text(true)
}

// text returns the document as TOML, with tables sorted by path.
func (doc Document) text(withOrigins bool) string {
	values := slices.Clone(doc.values)
	slices.SortStableFunc(values, func(a, b Value) int { return slices.Compare(a.sortKey(), b.sortKey()) })
	var out strings.Builder
	table := ""
	for _, value := range values {
		tablePath := value.table()
		if name := tablePath.String(); name != table {
			table = name
			out.WriteString(tableHeader(tablePath))
		}
		if value.Text == "" {
			continue
		}
		out.WriteString(Path{value.Path[len(value.Path)-1]}.String() + " = " + value.Text)
		if withOrigins {
			out.WriteString("  # " + value.Origin.String())
		}
		out.WriteString("\n")
	}
	return out.String()
}

// sortKey returns a key that sorts the values of a table before the tables inside it.
func (value Value) sortKey() []string {
	if value.Text == "" {
		return value.Path
	}
	return value.Path.parent().child("\x00" + value.Path[len(value.Path)-1])
}

// table returns the path of the table header under which a value is written. A
// table is written under its own.
func (value Value) table() Path {
	if value.Text == "" {
		return value.Path
	}
	return value.Path.parent()
}

func tableHeader(path Path) string {
	switch {
	case len(path) == 0 || len(path) == 1 && path[0] == routesKey:
		return ""
	case len(path) == 2 && path[0] == routesKey:
		return "\n[[" + routesKey + "]]\n"
	}
	return "\n[" + path.String() + "]\n"
}
