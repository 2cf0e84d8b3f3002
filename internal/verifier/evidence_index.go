package verifier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// place is one incarnation of one instance, as records name it.
type place struct {
	name        string
	incarnation uint64
}

// evidenceIndex holds the evidence by what the rules ask for.
type evidenceIndex struct {
	settings     Settings
	incarnations []Incarnation
	// all is the evidence of all processes in order of time.
	all       []Evidence
	byRequest map[string][]Evidence
	byPlace   map[place]*Incarnation
	gaps      []Gap
	// unrecorded are requests that ran though no entry's record offers them.
	unrecorded []string
}

func newEvidenceIndex(trail Trail, settings Settings) *evidenceIndex {
	made := &evidenceIndex{
		settings:     settings,
		incarnations: trail.Incarnations,
		byRequest:    map[string][]Evidence{},
		byPlace:      map[place]*Incarnation{},
		gaps:         trail.Gaps(),
	}
	for i := range trail.Incarnations {
		incarnation := &trail.Incarnations[i]
		made.byPlace[place{incarnation.Origin.Name, incarnation.Origin.Incarnation}] = incarnation
		for _, record := range incarnation.Records {
			made.all = append(made.all, Evidence{Origin: incarnation.Origin, Record: record})
		}
	}
	slices.SortStableFunc(made.all, func(a, b Evidence) int { return cmp.Compare(a.At, b.At) })
	for _, evidence := range made.all {
		if evidence.Request != "" {
			made.byRequest[evidence.Request] = append(made.byRequest[evidence.Request], evidence)
		}
	}
	made.missing()
	return made
}

// missing finds incarnations that others' records name and that have none
// themselves: the one way to drop records that no chain can show.
func (index *evidenceIndex) missing() {
	named := map[place]bool{}
	for _, evidence := range index.all {
		at := place{evidence.Instance, evidence.Incarnation}
		if index.nowhere(evidence) && !named[at] {
			named[at] = true
			index.gaps = append(index.gaps, Gap{
				Origin: recorder.Origin{Group: evidence.Service, Name: at.name, Incarnation: at.incarnation},
				Until:  never,
				Reason: fmt.Sprintf("no record at all, though %s names it", evidence),
				Open:   true,
			})
		}
		if evidence.Kind == recorder.Committed && !index.offered(evidence) && index.inRange(evidence) {
			index.unrecorded = append(index.unrecorded, fmt.Sprintf("%s ran, and no entry's record offers it: %s", evidence.Request, evidence))
		}
	}
}

// nowhere reports whether evidence of an entry names an agent that has no
// record, by its incarnation or, where that was not told, by the instance.
func (index *evidenceIndex) nowhere(evidence Evidence) bool {
	if evidence.Kind != recorder.Answered && evidence.Kind != recorder.Offered {
		return false
	}
	if evidence.Incarnation != 0 {
		return index.byPlace[place{evidence.Instance, evidence.Incarnation}] == nil
	}
	if evidence.Kind == recorder.Offered {
		return !slices.ContainsFunc(index.incarnations, func(incarnation Incarnation) bool {
			return incarnation.Origin.Name == evidence.Instance && index.lived(incarnation, evidence.At)
		})
	}
	return false
}

// lived reports whether an incarnation's record reaches over an instant. One
// with an open tail reaches on, and its gap tells what that hides.
func (index *evidenceIndex) lived(incarnation Incarnation, at timekeeper.Instant) bool {
	if len(incarnation.Records) == 0 {
		return true
	}
	first, last := incarnation.Records[0], incarnation.Records[len(incarnation.Records)-1]
	ended := incarnation.Stopped && last.At.Add(index.settings.ClockSkew) < at
	return first.At <= at.Add(index.settings.ClockSkew) && !ended
}

func (index *evidenceIndex) offered(committed Evidence) bool {
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

// each calls look for every record of a kind within the range, in order of time.
func (index *evidenceIndex) each(kind recorder.Kind, look func(evidence Evidence)) {
	for _, evidence := range index.all {
		if evidence.Kind == kind && index.inRange(evidence) {
			look(evidence)
		}
	}
}

// about returns the records of a kind about a request.
func (index *evidenceIndex) about(request string, kind recorder.Kind) []Evidence {
	var found []Evidence
	for _, evidence := range index.byRequest[request] {
		if evidence.Kind == kind {
			found = append(found, evidence)
		}
	}
	return found
}

// gapsInRange returns the gaps that reach into the range that is judged.
func (index *evidenceIndex) gapsInRange() []Gap {
	var found []Gap
	for _, gap := range index.gaps {
		if gap.overlaps(index.settings.From, index.settings.Until.Add(-1)) {
			found = append(found, gap)
		}
	}
	return found
}

func atEntry(gap Gap) bool {
	return gap.Origin.Group == recorder.EntryGroup
}

// gapOf returns a gap of one incarnation that reaches past an instant.
func (index *evidenceIndex) gapOf(at place, after timekeeper.Instant) (Gap, bool) {
	for _, gap := range index.gaps {
		if gap.Origin.Name == at.name && gap.Origin.Incarnation == at.incarnation && gap.Until.Add(index.settings.ClockSkew) >= after {
			return gap, true
		}
	}
	return Gap{}, false
}

// doubtEntries doubts a verdict that rests on what entries told: each gap of an
// entry, and each run that no entry's record accounts for.
func (index *evidenceIndex) doubtEntries(verdict *Verdict) {
	for _, gap := range index.gapsInRange() {
		if atEntry(gap) {
			verdict.doubt(gap.String())
		}
	}
	for _, reason := range index.unrecorded {
		verdict.doubt(reason)
	}
}

// doubtAgents doubts a verdict that rests on what agents did. A gap counts when
// an entry offered that agent a call that matters around it and the agent's
// record doesn't tell the call's fate, or when an entry's own record is not
// whole at that time.
func (index *evidenceIndex) doubtAgents(verdict *Verdict, matters func(offered Evidence) bool) {
	gaps := index.gapsInRange()
	for _, gap := range gaps {
		if atEntry(gap) {
			continue
		}
		if hidden, ok := index.hidden(gap, matters); ok {
			verdict.doubt(fmt.Sprintf("%s; it may hide the fate of %s", gap, hidden))
			continue
		}
		blind := slices.ContainsFunc(gaps, func(other Gap) bool {
			return atEntry(other) && other.overlaps(gap.From, gap.Until)
		})
		if blind {
			verdict.doubt(gap.String() + "; an entry's record has a gap there too")
		}
	}
}

// hidden returns an offer whose fate a gap of an agent may hide.
func (index *evidenceIndex) hidden(gap Gap, matters func(offered Evidence) bool) (Evidence, bool) {
	from, until := gap.From.Add(-index.settings.GapLookback), gap.Until.Add(index.settings.ClockSkew)
	for _, evidence := range index.all {
		near := evidence.At >= from && evidence.At <= until
		if near && evidence.Kind == recorder.Offered && evidence.Instance == gap.Origin.Name &&
			matters(evidence) && !index.fateKnown(evidence) {
			return evidence, true
		}
	}
	return Evidence{}, false
}

// fateKnown reports whether the agent's record tells what became of an offer.
func (index *evidenceIndex) fateKnown(offered Evidence) bool {
	return slices.ContainsFunc(index.byRequest[offered.Request], func(other Evidence) bool {
		if other.Origin.Name != offered.Instance {
			return false
		}
		return other.Kind == recorder.Committed || other.Kind == recorder.Refused
	})
}

func anyCall(Evidence) bool { return true }
