package resolver

import (
	"maps"
	"slices"
	"strings"
)

// Difference is one value that differs between two configurations. Before or
// After is empty when the value is added or removed.
type Difference struct {
	Site   string `json:"site"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as a line that starts with +, - or ~.
func (diff Difference) String() string {
	at := diff.Path
	if diff.Site != "" {
		at = diff.Site + ": " + at
	}
	switch {
	case diff.Before == "":
		return "+ " + at + " = " + diff.After
	case diff.After == "":
		return "- " + at + " = " + diff.Before
	}
	return "~ " + at + " = " + diff.Before + " -> " + diff.After
}

// Diff returns what differs by meaning between two bundles: first under the
// base alone, then at each site where that is not the same. Layout, comments,
// the order of tables and which of the files holds a value don't count.
func Diff(before, after Bundle) ([]Difference, error) {
	common, err := diffAt("", before, after)
	if err != nil {
		return nil, err
	}
	out := slices.Clone(common)
	for _, site := range sitesOf(before, after) {
		there, err := diffAt(site, before, after)
		if err != nil {
			return nil, err
		}
		for _, diff := range there {
			diff.Site = ""
			if !slices.Contains(common, diff) {
				diff.Site = site
				out = append(out, diff)
			}
		}
	}
	return out, nil
}

func sitesOf(bundles ...Bundle) []string {
	sites := map[string]bool{}
	for _, bundle := range bundles {
		for site := range bundle.Overlays {
			sites[site] = true
		}
	}
	return slices.Sorted(maps.Keys(sites))
}

func diffAt(site string, before, after Bundle) ([]Difference, error) {
	old, faults := before.Sources().Resolve(site)
	if len(faults) > 0 {
		return nil, faults
	}
	now, faults := after.Sources().Resolve(site)
	if len(faults) > 0 {
		return nil, faults
	}
	var out []Difference
	for _, value := range old.Document.values {
		if next, ok := now.Document.find(value.Path); !ok || next.Text != value.Text {
			out = append(out, Difference{Site: site, Path: value.Path.String(), Before: shown(value), After: shown(next)})
		}
	}
	for _, value := range now.Document.values {
		if _, ok := old.Document.find(value.Path); !ok {
			out = append(out, Difference{Site: site, Path: value.Path.String(), After: shown(value)})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return out, nil
}

func shown(value Value) string {
	if len(value.Path) > 0 && value.Text == "" {
		return "{}"
	}
	return value.Text
}
