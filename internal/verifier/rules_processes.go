package verifier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// leaving checks promise 5. It compares a Draining and a Granted record of one
// incarnation, so clock skew doesn't matter.
func (index *evidenceIndex) leaving(verdict *Verdict) {
	index.forEach(recorder.Draining, func(draining Evidence) {
		process := processID{draining.Origin.Name, draining.Origin.Incarnation}
		if draining.Origin.Group == recorder.EntryGroup {
			return
		}
		verdict.Checked++
		latest := draining.At.Add(index.settings.LeaveWithin)
		for _, record := range index.byProcess[process].Records {
			if record.Kind == recorder.Granted && record.Sequence > draining.Sequence && takenAt(record) > latest {
				verdict.addBreach("a leaving replica took new work", draining, Evidence{draining.Origin, record})
			}
		}
		if gap, ok := index.gapEndingAfter(process, latest); ok && gap.Until.Add(index.settings.ClockSkew) >= latest {
			index.addStopDoubt(verdict, draining, gap)
		}
	})
}

// takenAt returns when an agent accepted the call that it granted a slot. A call
// that was queued before the agent began to leave is not new work.
func takenAt(grant recorder.Record) timekeeper.Instant {
	if grant.Taken != 0 {
		return grant.Taken
	}
	return grant.At
}

// addStopDoubt adds a doubt about a leaving process whose record has a gap that
// starts before the range ends.
func (index *evidenceIndex) addStopDoubt(verdict *Verdict, leaving Evidence, gap Gap) {
	if gap.From <= index.settings.Until {
		verdict.addDoubt(fmt.Sprintf("%s; %s", leaving, gap))
	}
}

// plannedStops checks promise 6 at each process that drained or stopped.
func (index *evidenceIndex) plannedStops(verdict *Verdict) {
	for i := range index.incarnations {
		incarnation := &index.incarnations[i]
		leaving, ok := plannedStop(incarnation)
		if !ok || !index.inRange(leaving) {
			continue
		}
		verdict.Checked++
		process := processID{incarnation.Origin.Name, incarnation.Origin.Incarnation}
		if gap, ok := index.gapEndingAfter(process, 0); ok {
			index.addStopDoubt(verdict, leaving, gap)
			continue
		}
		opens, closes, reason := recorder.Committed, recorder.Ended, "a run had not ended when the agent stopped"
		if incarnation.Origin.Group == recorder.EntryGroup {
			opens, closes, reason = recorder.Offered, recorder.Answered, "a call had no answer when the entry stopped"
		}
		for _, cut := range unfinished(incarnation, opens, closes) {
			verdict.addBreach(reason, leaving, cut)
		}
		index.checkEndedRuns(verdict, incarnation, leaving)
	}
}

// plannedStop returns the first Draining or Stopped record of an incarnation, which
// begins its planned stop.
func plannedStop(incarnation *Incarnation) (Evidence, bool) {
	for _, record := range incarnation.Records {
		if record.Kind == recorder.Draining || record.Kind == recorder.Stopped {
			return Evidence{incarnation.Origin, record}, true
		}
	}
	return Evidence{}, false
}

// unfinished returns the records of kind opens whose request has no record of kind
// closes.
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

// checkEndedRuns checks the runs that ended while the process was leaving: the stop
// must neither have ended them nor cut off their answers.
func (index *evidenceIndex) checkEndedRuns(verdict *Verdict, incarnation *Incarnation, leaving Evidence) {
	for _, record := range incarnation.Records {
		if record.Kind != recorder.Ended || record.Sequence < leaving.Sequence {
			continue
		}
		ended := Evidence{incarnation.Origin, record}
		if record.Reason == classifier.Draining.String() {
			verdict.addBreach("the stop ended a run", leaving, ended)
		}
		for _, answer := range index.ofRequest(record.Request, recorder.Answered) {
			cut := answer.Reason == classifier.OutcomeUnknown.String() && answer.At.Add(index.settings.ClockSkew) >= leaving.At
			if record.Complete && cut && !index.resumed(record.Request) {
				verdict.addBreach("the run ended whole while the agent was leaving, and the caller's answer was cut", leaving, ended, answer)
			}
		}
	}
}

// resumed reports whether a caller received the rest of a cut answer.
func (index *evidenceIndex) resumed(request string) bool {
	return slices.ContainsFunc(index.ofRequest(request, recorder.Answered), func(answer Evidence) bool {
		return answer.Complete && answer.Detail == recorder.Resumed
	})
}

// configuration checks promise 7.
func (index *evidenceIndex) configuration(verdict *Verdict) {
	acceptedChanges := index.acceptedChanges(verdict)
	lowest := index.checkRevisions(verdict)
	for _, change := range acceptedChanges {
		if !index.inRange(change) {
			continue
		}
		for i := range index.incarnations {
			index.checkInForce(verdict, &index.incarnations[i], change)
		}
	}
	index.addUnacceptedDoubts(verdict, acceptedChanges, lowest)
	for _, gap := range index.gapsInRange() {
		if !gap.Open {
			verdict.addDoubt(gap.String())
		}
	}
	if verdict.Checked == 0 {
		verdict.addDoubt("no process recorded a revision")
	}
}

// acceptedChanges returns the accepted changes and checks that their revisions rise.
func (index *evidenceIndex) acceptedChanges(verdict *Verdict) []Evidence {
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
			verdict.addBreach("one revision was accepted twice", before, after)
		case after.At.Add(index.settings.ClockSkew) < before.At:
			verdict.addBreach("a lower revision was accepted after a higher one", before, after)
		}
	}
	return changes
}

// checkRevisions checks that the revision in force at a process never falls, also
// across its restarts, and returns the lowest that was in force within the range.
func (index *evidenceIndex) checkRevisions(verdict *Verdict) uint64 {
	highest := map[recorder.Origin]Evidence{}
	lowest := uint64(0)
	for _, evidence := range index.all {
		if evidence.Revision == 0 || !reportsRevision(evidence.Kind) {
			continue
		}
		name := evidence.Origin
		name.Incarnation = 0
		before, known := highest[name]
		if known && evidence.Revision < before.Revision && evidence.At > before.At.Add(index.allowedSkew(before, evidence)) && index.inRange(evidence) {
			verdict.addBreach("the revision in force fell", before, evidence)
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

// allowedSkew is the clock skew between two records: none within one incarnation.
func (index *evidenceIndex) allowedSkew(before, after Evidence) timekeeper.Span {
	if before.Origin == after.Origin {
		return 0
	}
	return index.settings.ClockSkew
}

// reportsRevision reports whether records of a kind hold the revision in force.
func reportsRevision(kind recorder.Kind) bool {
	switch kind {
	case recorder.Started, recorder.InForce, recorder.Sampled, recorder.Alive:
		return true
	}
	return false
}

// checkInForce checks that one process had a change in force in time, if it was
// running and ready. A process without any configuration is not ready, so its time
// starts with its first revision.
func (index *evidenceIndex) checkInForce(verdict *Verdict, incarnation *Incarnation, change Evidence) {
	serving := slices.IndexFunc(incarnation.Records, func(record recorder.Record) bool {
		return reportsRevision(record.Kind) && record.Revision > 0
	})
	if serving < 0 {
		return
	}
	first, last := incarnation.Records[serving], incarnation.Records[len(incarnation.Records)-1]
	due := max(change.At, first.At).Add(index.settings.InForceWithin + index.settings.ClockSkew)
	for _, record := range incarnation.Records {
		if reportsRevision(record.Kind) && record.Revision >= change.Revision && record.At <= due {
			return
		}
	}
	stopped := incarnation.Stopped && last.At < due
	if stopped || due > index.settings.Until {
		return
	}
	process := processID{incarnation.Origin.Name, incarnation.Origin.Incarnation}
	if gap, ok := index.gapEndingAfter(process, change.At); ok && gap.From < due {
		verdict.addDoubt(fmt.Sprintf("%s: not seen in force at %s; %s", change, incarnation.Origin, gap))
		return
	}
	verdict.addBreach("an accepted change was not in force in time", change, Evidence{incarnation.Origin, last})
}

// addUnacceptedDoubts adds a doubt for each revision that came into force though no
// record accepts it. The lowest revision in the range may have been accepted
// before the range.
func (index *evidenceIndex) addUnacceptedDoubts(verdict *Verdict, accepted []Evidence, lowest uint64) {
	known := map[uint64]bool{lowest: true, 0: true}
	for _, change := range accepted {
		known[change.Revision] = true
	}
	for _, evidence := range index.all {
		if reportsRevision(evidence.Kind) && index.inRange(evidence) && !known[evidence.Revision] {
			known[evidence.Revision] = true
			verdict.addDoubt(fmt.Sprintf("no record accepts revision %d: %s", evidence.Revision, evidence))
		}
	}
}
