package resolver

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a configuration or settings file.
type Fault struct {
	File   string
	Line   int
	Reason string
	// Remedy tells the operator how to mend the fault.
	Remedy string
}

// String returns the fault as "file:line: reason; remedy".
func (fault Fault) String() string {
	text := fault.Reason
	if fault.Remedy != "" {
		text += "; " + fault.Remedy
	}
	if fault.Line == 0 {
		return fmt.Sprintf("%s: %s", fault.File, text)
	}
	return fmt.Sprintf("%s:%d: %s", fault.File, fault.Line, text)
}

// Faults is an error that lists all faults found.
type Faults []Fault

// Error returns the faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// distinct returns the faults sorted by file and line, without duplicates: a fault
// of the base is found again at every site.
func (faults Faults) distinct() Faults {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b Fault) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
	var out Faults
	for _, fault := range sorted {
		if !slices.Contains(out, fault) {
			out = append(out, fault)
		}
	}
	return out
}

func (origin Origin) fault(reason, remedy string) Fault {
	return Fault{File: origin.File, Line: origin.Line, Reason: reason, Remedy: remedy}
}

func withRemedy(faults Faults, remedy string) Faults {
	out := slices.Clone(faults)
	for i := range out {
		out[i].Remedy = remedy
	}
	return out
}
