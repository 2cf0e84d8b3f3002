package quarantiner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// record is what is known of a feature that has been in flight at crashes.
type record struct {
	// incarnations are those that crashed with the feature in flight since its last survival, in
	// the order in which the table learnt of it.
	incarnations []string
	// struckAt is when the table learnt of the last one, and suspectedAt when there were enough of
	// them; zero means that there aren't.
	struckAt, suspectedAt timekeeper.Instant
	// opensAt is when the entry of the first rank may begin a trial, and trialEnds when one that no
	// result is known of counts as ended.
	opensAt, trialEnds timekeeper.Instant
	// failedTrials are the incarnations that crashed at trials of the part with an ambiguous result.
	failedTrials []string
}

// strike adds an incarnation, and reports whether it is new.
func (record *record) strike(incarnation string, now timekeeper.Instant) bool {
	if slices.Contains(record.incarnations, incarnation) {
		return false
	}
	record.incarnations, record.struckAt = append(record.incarnations, incarnation), now
	return true
}

// suspect begins or ends the suspicion.
func (record *record) suspect(suspected bool, now timekeeper.Instant) {
	switch {
	case !suspected:
		record.suspectedAt = 0
	case record.suspectedAt == 0:
		record.suspectedAt, record.opensAt = now, now
	}
}

// remove removes incarnations whose crashes another feature explains.
func (record *record) remove(explained []string) {
	record.incarnations = slices.DeleteFunc(record.incarnations, func(incarnation string) bool {
		return slices.Contains(explained, incarnation)
	})
}
