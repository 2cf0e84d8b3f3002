package verifier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// leaving checks promise 5. Both records are of one incarnation, so no skew
// comes into it.
func (index *evidenceIndex) leaving(verdict *Verdict) {
	index.each(recorder.Draining, func(draining Evidence) {
		at := place{draining.Origin.Name, draining.Origin.Incarnation}
		if draining.Origin.Group == recorder.EntryGroup {
			return
		}
		verdict.Checked++
		latest := draining.At.Add(index.settings.LeaveWithin)
		for _, record := range index.byPlace[at].Records {
			if record.Kind == recorder.Granted && record.Sequence > draining.Sequence && takenAt(record) > latest {
				verdict.breach("a leaving replica took new work", draining, Evidence{draining.Origin, record})
			}
		}
		if gap, ok := index.gapOf(at, latest); ok && gap.Until.Add(index.settings.ClockSkew) >= latest {
			index.doubtLife(verdict, draining, gap)
		}
	})
}

// takenAt returns when an agent took on the call that it granted a slot. What
// waited in the queue when the agent began to leave is not new work.
func takenAt(grant recorder.Record) timekeeper.Instant {
	if grant.Taken != 0 {
		return grant.Taken
	}
	return grant.At
}

// doubtLife doubts a verdict about a process that was leaving when its record
// has a gap afterwards.
func (index *evidenceIndex) doubtLife(verdict *Verdict, leaving Evidence, gap Gap) {
	if gap.From <= index.settings.Until {
		verdict.doubt(fmt.Sprintf("%s; %s", leaving, gap))
	}
}

// plannedStops checks promise 6 at each process that drained or stopped.
func (index *evidenceIndex) plannedStops(verdict *Verdict) {
	for i := range index.incarnations {
		incarnation := &index.incarnations[i]
		left, ok := leave(incarnation)
		if !ok || !index.inRange(left) {
			continue
		}
		verdict.Checked++
		at := place{incarnation.Origin.Name, incarnation.Origin.Incarnation}
		if gap, ok := index.gapOf(at, 0); ok {
			index.doubtLife(verdict, left, gap)
			continue
		}
		opens, closes, reason := recorder.Committed, recorder.Ended, "a run had not ended when the agent stopped"
		if incarnation.Origin.Group == recorder.EntryGroup {
			opens, closes, reason = recorder.Offered, recorder.Answered, "a call had no answer when the entry stopped"
		}
		for _, cut := range unfinished(incarnation, opens, closes) {
			verdict.breach(reason, left, cut)
		}
		index.judgeEnds(verdict, incarnation, left)
	}
}

// leave returns the first record by which a process began a planned stop.
func leave(incarnation *Incarnation) (Evidence, bool) {
	for _, record := range incarnation.Records {
		if record.Kind == recorder.Draining || record.Kind == recorder.Stopped {
			return Evidence{incarnation.Origin, record}, true
		}
	}
	return Evidence{}, false
}

// unfinished returns the records of kind opens whose request has none of kind closes.
func unfinished(incarnation *Incarnation, opens, closes recorder.Kind) []Evidence {
	closed := map[string]bool{}
	for _, record := range incarnation.Records {
		if record.Kind == closes {
			closed[record.Request] = true
		}
	}
	var open []Evidence
	for _, record := range incarnation.Records {
		if record.Kind == opens && !closed[record.Request] {
			open = append(open, Evidence{incarnation.Origin, record})
		}
	}
	return open
}

// judgeEnds looks at the runs that ended while the process was leaving: the
// stop must neither have ended them, nor cut their answers on the way.
func (index *evidenceIndex) judgeEnds(verdict *Verdict, incarnation *Incarnation, left Evidence) {
	for _, record := range incarnation.Records {
		if record.Kind != recorder.Ended || record.Sequence < left.Sequence {
			continue
		}
		ended := Evidence{incarnation.Origin, record}
		if record.Reason == classifier.Draining.String() {
			verdict.breach("the stop ended a run", left, ended)
		}
		for _, answer := range index.about(record.Request, recorder.Answered) {
			lost := answer.Reason == classifier.OutcomeUnknown.String() && answer.At.Add(index.settings.ClockSkew) >= left.At
			if record.Complete && lost && !index.resumed(record.Request) {
				verdict.breach("the run ended whole while the agent was leaving, and the caller's answer was cut", left, ended, answer)
			}
		}
	}
}

// resumed reports whether a caller got the rest of a cut answer.
func (index *evidenceIndex) resumed(request string) bool {
	return slices.ContainsFunc(index.about(request, recorder.Answered), func(answer Evidence) bool {
		return answer.Complete && answer.Detail == recorder.Resumed
	})
}

// configuration checks promise 7.
func (index *evidenceIndex) configuration(verdict *Verdict) {
	accepted := index.accepted(verdict)
	lowest := index.neverFalls(verdict)
	for _, change := range accepted {
		if !index.inRange(change) {
			continue
		}
		for i := range index.incarnations {
			index.inForce(verdict, &index.incarnations[i], change)
		}
	}
	index.unaccepted(verdict, accepted, lowest)
	for _, gap := range index.gapsInRange() {
		if !gap.Open {
			verdict.doubt(gap.String())
		}
	}
	if verdict.Checked == 0 {
		verdict.doubt("no process recorded a revision")
	}
}

// accepted returns the accepted changes and checks that their revisions rise.
func (index *evidenceIndex) accepted(verdict *Verdict) []Evidence {
	var changes []Evidence
	for _, evidence := range index.all {
		if evidence.Kind == recorder.Accepted {
			changes = append(changes, evidence)
		}
	}
	slices.SortStableFunc(changes, func(a, b Evidence) int { return cmp.Compare(a.Revision, b.Revision) })
	for i := 1; i < len(changes); i++ {
		before, after := changes[i-1], changes[i]
		switch {
		case before.Revision == after.Revision && before.Detail != after.Detail:
			verdict.breach("one revision was accepted twice", before, after)
		case after.At.Add(index.settings.ClockSkew) < before.At:
			verdict.breach("a lower revision was accepted after a higher one", before, after)
		}
	}
	return changes
}

// neverFalls checks the revisions of each process, also across its restarts,
// and returns the lowest that was in force within the range.
func (index *evidenceIndex) neverFalls(verdict *Verdict) uint64 {
	highest := map[recorder.Origin]Evidence{}
	lowest := uint64(0)
	for _, evidence := range index.all {
		if evidence.Revision == 0 || !states(evidence.Kind) {
			continue
		}
		name := evidence.Origin
		name.Incarnation = 0
		before, known := highest[name]
		if known && evidence.Revision < before.Revision && evidence.At > before.At.Add(index.slack(before, evidence)) && index.inRange(evidence) {
			verdict.breach("the revision in force fell", before, evidence)
		}
		if !known || evidence.Revision > before.Revision {
			highest[name] = evidence
		}
		if index.inRange(evidence) {
			verdict.Checked++
			if lowest == 0 || evidence.Revision < lowest {
				lowest = evidence.Revision
			}
		}
	}
	return lowest
}

// slack is the skew between two records: none within one incarnation.
func (index *evidenceIndex) slack(before, after Evidence) timekeeper.Span {
	if before.Origin == after.Origin {
		return 0
	}
	return index.settings.ClockSkew
}

// states reports whether a kind says which revision is in force at its process.
func states(kind recorder.Kind) bool {
	switch kind {
	case recorder.Started, recorder.InForce, recorder.Sampled, recorder.Alive:
		return true
	}
	return false
}

// inForce checks that one process had a change in force in time, if it lived
// and served. One without any configuration is not ready, so it counts from its
// first.
func (index *evidenceIndex) inForce(verdict *Verdict, incarnation *Incarnation, change Evidence) {
	serving := slices.IndexFunc(incarnation.Records, func(record recorder.Record) bool {
		return states(record.Kind) && record.Revision > 0
	})
	if serving < 0 {
		return
	}
	first, last := incarnation.Records[serving], incarnation.Records[len(incarnation.Records)-1]
	due := max(change.At, first.At).Add(index.settings.InForceWithin + index.settings.ClockSkew)
	for _, record := range incarnation.Records {
		if states(record.Kind) && record.Revision >= change.Revision && record.At <= due {
			return
		}
	}
	stopped := incarnation.Stopped && last.At < due
	if stopped || due > index.settings.Until {
		return
	}
	at := place{incarnation.Origin.Name, incarnation.Origin.Incarnation}
	if gap, ok := index.gapOf(at, change.At); ok && gap.From < due {
		verdict.doubt(fmt.Sprintf("%s: not seen in force at %s; %s", change, incarnation.Origin, gap))
		return
	}
	verdict.breach("an accepted change was not in force in time", change, Evidence{incarnation.Origin, last})
}

// unaccepted doubts revisions that came into force though no record accepts
// them. The one in force when the range opens needs no acceptance in it.
func (index *evidenceIndex) unaccepted(verdict *Verdict, accepted []Evidence, lowest uint64) {
	known := map[uint64]bool{lowest: true, 0: true}
	for _, change := range accepted {
		known[change.Revision] = true
	}
	for _, evidence := range index.all {
		if states(evidence.Kind) && index.inRange(evidence) && !known[evidence.Revision] {
			known[evidence.Revision] = true
			verdict.doubt(fmt.Sprintf("no record accepts revision %d: %s", evidence.Revision, evidence))
		}
	}
}
