package verifier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// processID is the instance and incarnation by which records name a process.
type processID struct {
	name        string
	incarnation uint64
}

// evidenceIndex holds the evidence sorted by time, by request and by process.
type evidenceIndex struct {
	settings     Settings
	incarnations []Incarnation
	// all is the evidence of all processes, sorted by time.
	all       []Evidence
	byRequest map[string][]Evidence
	byProcess map[processID]*Incarnation
	gaps      []Gap
	// unofferedRuns describes runs that no entry's record offers.
	unofferedRuns []string
}

func newEvidenceIndex(trail Trail, settings Settings) *evidenceIndex {
	index := &evidenceIndex{
		settings:     settings,
		incarnations: trail.Incarnations,
		byRequest:    map[string][]Evidence{},
		byProcess:    map[processID]*Incarnation{},
		gaps:         trail.Gaps(),
	}
	for i := range trail.Incarnations {
		incarnation := &trail.Incarnations[i]
		index.byProcess[processID{incarnation.Origin.Name, incarnation.Origin.Incarnation}] = incarnation
		for _, record := range incarnation.Records {
			index.all = append(index.all, Evidence{Origin: incarnation.Origin, Record: record})
		}
	}
	slices.SortStableFunc(index.all, func(a, b Evidence) int { return cmp.Compare(a.At, b.At) })
	for _, evidence := range index.all {
		if evidence.Request != "" {
			index.byRequest[evidence.Request] = append(index.byRequest[evidence.Request], evidence)
		}
	}
	index.findMissing()
	return index
}

// findMissing adds a gap for each incarnation that entries' records name and that
// has no record itself: dropping all records of an incarnation is the one loss that
// no chain can show. It also lists the runs that no entry's record offers.
func (index *evidenceIndex) findMissing() {
	reported := map[processID]bool{}
	for _, evidence := range index.all {
		process := processID{evidence.Instance, evidence.Incarnation}
		if index.namesMissingAgent(evidence) && !reported[process] {
			reported[process] = true
			index.gaps = append(index.gaps, Gap{
				Origin: recorder.Origin{Group: evidence.Service, Name: process.name, Incarnation: process.incarnation},
				Until:  never,
				Reason: fmt.Sprintf("no record at all, though %s names it", evidence),
				Open:   true,
			})
		}
		if evidence.Kind == recorder.Committed && !index.wasOffered(evidence) && index.inRange(evidence) {
			index.unofferedRuns = append(index.unofferedRuns, fmt.Sprintf("%s ran, and no entry's record offers it: %s", evidence.Request, evidence))
		}
	}
}

// namesMissingAgent reports whether an entry's record names an agent that has no
// record, by its incarnation or, if that is unknown, by its instance.
func (index *evidenceIndex) namesMissingAgent(evidence Evidence) bool {
	if evidence.Kind != recorder.Answered && evidence.Kind != recorder.Offered {
		return false
	}
	if evidence.Incarnation != 0 {
		return index.byProcess[processID{evidence.Instance, evidence.Incarnation}] == nil
	}
	if evidence.Kind == recorder.Offered {
		return !slices.ContainsFunc(index.incarnations, func(incarnation Incarnation) bool {
			return incarnation.Origin.Name == evidence.Instance && index.mayCover(incarnation, evidence.At)
		})
	}
	return false
}

// mayCover reports whether an incarnation's record may cover an instant, within the
// clock skew. A record with an open tail covers every later instant; its gap says what
// that hides.
func (index *evidenceIndex) mayCover(incarnation Incarnation, at timekeeper.Instant) bool {
	if len(incarnation.Records) == 0 {
		return true
	}
	first, last := incarnation.Records[0], incarnation.Records[len(incarnation.Records)-1]
	ended := incarnation.Stopped && last.At.Add(index.settings.ClockSkew) < at
	return first.At <= at.Add(index.settings.ClockSkew) && !ended
}

func (index *evidenceIndex) wasOffered(committed Evidence) bool {
	return slices.ContainsFunc(index.byRequest[committed.Request], func(other Evidence) bool {
		return other.Kind == recorder.Offered
	})
}

func (index *evidenceIndex) inRange(evidence Evidence) bool {
	return evidence.At >= index.settings.From && evidence.At <= index.settings.Until
}

// empty reports whether no record falls within the range.
func (index *evidenceIndex) empty() bool {
	return !slices.ContainsFunc(index.all, index.inRange)
}

// forEach calls visit for every record of a kind within the range, in order of time.
func (index *evidenceIndex) forEach(kind recorder.Kind, visit func(evidence Evidence)) {
	for _, evidence := range index.all {
		if evidence.Kind == kind && index.inRange(evidence) {
			visit(evidence)
		}
	}
}

// ofRequest returns a request's records of one kind.
func (index *evidenceIndex) ofRequest(request string, kind recorder.Kind) []Evidence {
	var found []Evidence
	for _, evidence := range index.byRequest[request] {
		if evidence.Kind == kind {
			found = append(found, evidence)
		}
	}
	return found
}

// gapsInRange returns the gaps that overlap the evaluated range.
func (index *evidenceIndex) gapsInRange() []Gap {
	var found []Gap
	for _, gap := range index.gaps {
		if gap.overlaps(index.settings.From, index.settings.Until.Add(-1)) {
			found = append(found, gap)
		}
	}
	return found
}

func isEntryGap(gap Gap) bool {
	return gap.Origin.Group == recorder.EntryGroup
}

// gapEndingAfter returns a gap of one incarnation that ends at or after an instant,
// within the clock skew.
func (index *evidenceIndex) gapEndingAfter(process processID, after timekeeper.Instant) (Gap, bool) {
	for _, gap := range index.gaps {
		if gap.Origin.Name == process.name && gap.Origin.Incarnation == process.incarnation && gap.Until.Add(index.settings.ClockSkew) >= after {
			return gap, true
		}
	}
	return Gap{}, false
}

// addEntryDoubts adds doubts to a verdict that depends on entries' records: one for
// each gap of an entry, and one for each run that no entry's record offers.
func (index *evidenceIndex) addEntryDoubts(verdict *Verdict) {
	for _, gap := range index.gapsInRange() {
		if isEntryGap(gap) {
			verdict.addDoubt(gap.String())
		}
	}
	for _, reason := range index.unofferedRuns {
		verdict.addDoubt(reason)
	}
}

// addAgentDoubts adds doubts to a verdict that depends on agents' records. A gap
// counts when an entry offered that agent a relevant call around it and the agent's
// record doesn't show what became of the offer, or when an entry's own record has a
// gap at that time.
func (index *evidenceIndex) addAgentDoubts(verdict *Verdict, relevant func(offered Evidence) bool) {
	gaps := index.gapsInRange()
	for _, gap := range gaps {
		if isEntryGap(gap) {
			continue
		}
		if hiddenOffer, ok := index.hiddenOffer(gap, relevant); ok {
			verdict.addDoubt(fmt.Sprintf("%s; it may hide the fate of %s", gap, hiddenOffer))
			continue
		}
		entryGap := slices.ContainsFunc(gaps, func(other Gap) bool {
			return isEntryGap(other) && other.overlaps(gap.From, gap.Until)
		})
		if entryGap {
			verdict.addDoubt(gap.String() + "; an entry's record has a gap there too")
		}
	}
}

// hiddenOffer returns an offer if a gap of its agent may hide what became of it.
func (index *evidenceIndex) hiddenOffer(gap Gap, relevant func(offered Evidence) bool) (Evidence, bool) {
	from, until := gap.From.Add(-index.settings.GapLookback), gap.Until.Add(index.settings.ClockSkew)
	for _, evidence := range index.all {
		near := evidence.At >= from && evidence.At <= until
		if near && evidence.Kind == recorder.Offered && evidence.Instance == gap.Origin.Name &&
			relevant(evidence) && !index.offerAnswered(evidence) {
			return evidence, true
		}
	}
	return Evidence{}, false
}

// offerAnswered reports whether the agent's record shows that the agent committed or
// refused an offer.
func (index *evidenceIndex) offerAnswered(offered Evidence) bool {
	return slices.ContainsFunc(index.byRequest[offered.Request], func(other Evidence) bool {
		if other.Origin.Name != offered.Instance {
			return false
		}
		return other.Kind == recorder.Committed || other.Kind == recorder.Refused
	})
}

func anyCall(Evidence) bool { return true }
