package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Evacuations are the data centres whose replicas get no new work, at a version of the
// operators' table. The newer of two versions counts. The zero value holds no data centres.
type Evacuations struct {
	Version uint64
	// DataCentres is in ascending order.
	DataCentres []string
}

// NewEvacuations returns the evacuations of a version.
func NewEvacuations(version uint64, dataCentres []string) Evacuations {
	return Evacuations{Version: version, DataCentres: slices.Sorted(slices.Values(dataCentres))}
}

// SameDataCentres reports whether both evacuate the same data centres, whatever their versions.
func (evacuations Evacuations) SameDataCentres(other Evacuations) bool {
	return slices.Equal(evacuations.DataCentres, other.DataCentres)
}

// Contains reports whether a data centre is evacuated.
func (evacuations Evacuations) Contains(dataCentre string) bool {
	return slices.Contains(evacuations.DataCentres, dataCentre)
}

// Evacuations returns the evacuations in force.
func (fleet *Fleet) Evacuations() Evacuations { return fleet.evacuations }

// Evacuate applies evacuations that are newer than those in force, and reports whether the set
// of data centres changed. Replicas of a data centre that is no longer evacuated count as cold
// for as long as after a start, since work may arrive before their rows say that they are cold.
func (fleet *Fleet) Evacuate(evacuations Evacuations, now timekeeper.Instant) bool {
	if evacuations.Version <= fleet.evacuations.Version {
		return false
	}
	before := fleet.evacuations
	fleet.evacuations = evacuations
	if before.SameDataCentres(evacuations) {
		return false
	}
	fleet.evacuationsChanged = now
	for _, member := range fleet.replicas {
		if before.Contains(member.DataCentre) && !evacuations.Contains(member.DataCentre) {
			member.markCold(now.Add(fleet.warmUps[member.Service].Span))
		}
	}
	return true
}
