package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Evacuations are the data centres whose replicas get no new work, at a version of the
// operators' table. The newer of two versions counts. The zero value holds no data centres.
type Evacuations struct {
	Version sequencer.Version
	// DataCentres is in ascending order.
	DataCentres []string
}

// NewEvacuations returns the evacuations of a version.
func NewEvacuations(version sequencer.Version, dataCentres []string) Evacuations {
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
	if evacuations.Version.Era < fleet.era {
		fleet.retained.addEvacuations(evacuations)
		return false
	}
	if !fleet.evacuations.Version.Before(evacuations.Version) {
		return false
	}
	before := fleet.evacuations
	fleet.evacuations = evacuations
	fleet.retained.dropEvacuations(evacuations)
	if before.SameDataCentres(evacuations) {
		return false
	}
	fleet.evacuationsChanged = now
	fleet.markReopened(before.DataCentres, now)
	return true
}

// markReopened marks the replicas of those data centres as cold that are no longer evacuated.
func (fleet *Fleet) markReopened(dataCentres []string, now timekeeper.Instant) {
	for _, member := range fleet.replicas {
		if slices.Contains(dataCentres, member.DataCentre) && !fleet.isEvacuated(member) {
			member.markCold(now.Add(fleet.warmUps[member.Service].Span))
		}
	}
}

// isEvacuated reports whether the data centre of a replica is evacuated, by the operators' table
// or by what it held before the store came back from a copy.
func (fleet *Fleet) isEvacuated(member *replica) bool {
	return fleet.evacuations.Contains(member.DataCentre) || slices.Contains(fleet.retained.dataCentres, member.DataCentre)
}
