package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Evacuations are the data centres whose replicas get no new work, as operators wanted
// it at a version of their table. Of two the newer holds. The zero value knows nothing.
type Evacuations struct {
	Version uint64
	// DataCentres are in ascending order.
	DataCentres []string
}

// NewEvacuations returns the evacuations of a version.
func NewEvacuations(version uint64, centres []string) Evacuations {
	return Evacuations{Version: version, DataCentres: slices.Sorted(slices.Values(centres))}
}

// SameDataCentres reports whether the same data centres are evacuated, at whatever versions.
func (evacuations Evacuations) SameDataCentres(other Evacuations) bool {
	return slices.Equal(evacuations.DataCentres, other.DataCentres)
}

// Contains reports whether a data centre is evacuated.
func (evacuations Evacuations) Contains(centre string) bool {
	return slices.Contains(evacuations.DataCentres, centre)
}

// Evacuations returns what is in force.
func (fleet *Fleet) Evacuations() Evacuations { return fleet.evacuations }

// Evacuate takes in evacuations, unless those in force are as new, and reports whether
// they are of other data centres than before. Replicas of one that is taken back count as
// cold for as long as after a start: their rows may say so later than work would come.
func (fleet *Fleet) Evacuate(evacuations Evacuations, now timekeeper.Instant) bool {
	if evacuations.Version <= fleet.evacuations.Version {
		return false
	}
	before := fleet.evacuations
	fleet.evacuations = evacuations
	if before.SameDataCentres(evacuations) {
		return false
	}
	fleet.evacuated = now
	for _, known := range fleet.replicas {
		if before.Contains(known.DataCentre) && !evacuations.Contains(known.DataCentre) {
			known.chill(now.Add(fleet.warming[known.Service].Span))
		}
	}
	return true
}
