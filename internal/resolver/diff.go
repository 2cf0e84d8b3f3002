package resolver

import (
	"maps"
	"slices"
	"strings"
)

// Difference is one value that differs between two configurations. Before is
// empty if the value was added, and After if it was removed.
type Difference struct {
	Site   string `json:"site"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as a line that starts with + (added), - (removed)
// or ~ (changed).
func (diff Difference) String() string {
	location := diff.Path
	if diff.Site != "" {
		location = diff.Site + ": " + location
	}
	switch {
	case diff.Before == "":
		return "+ " + location + " = " + diff.After
	case diff.After == "":
		return "- " + location + " = " + diff.Before
	}
	return "~ " + location + " = " + diff.Before + " -> " + diff.After
}

// Diff returns the differences between the values of two bundles: first the
// differences of the base files, then for each site the differences that the base
// files don't have. It ignores layout, comments, the order of tables and which file
// holds a value.
func Diff(before, after Bundle) ([]Difference, error) {
	common, err := diffSite("", before, after)
	if err != nil {
		return nil, err
	}
	out := slices.Clone(common)
	for _, site := range sitesOf(before, after) {
		siteDiffs, err := diffSite(site, before, after)
		if err != nil {
			return nil, err
		}
		for _, diff := range siteDiffs {
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

func diffSite(site string, before, after Bundle) ([]Difference, error) {
	resolvedBefore, faults := before.Sources().Resolve(site)
	if len(faults) > 0 {
		return nil, faults
	}
	resolvedAfter, faults := after.Sources().Resolve(site)
	if len(faults) > 0 {
		return nil, faults
	}
	var out []Difference
	for _, value := range resolvedBefore.Document.values {
		if newValue, ok := resolvedAfter.Document.find(value.Path); !ok || newValue.Text != value.Text {
			out = append(out, Difference{Site: site, Path: value.Path.String(), Before: displayText(value), After: displayText(newValue)})
		}
	}
	for _, value := range resolvedAfter.Document.values {
		if _, ok := resolvedBefore.Document.find(value.Path); !ok {
			out = append(out, Difference{Site: site, Path: value.Path.String(), After: displayText(value)})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return out, nil
}

func displayText(value Value) string {
	if len(value.Path) > 0 && value.Text == "" {
		return "{}"
	}
	return value.Text
}
