package verifier

import (
	"fmt"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// loadBound checks promise 1. A call is admitted when the load before it is at
// or under the bound, so one call more than the bound may run: this is the rounding
// up of the bound in Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
// Bounded Loads", 2018. A grant without a known mean is checked against the mean of
// the loads that all agents recorded.
func (index *evidenceIndex) loadBound(verdict *Verdict) {
	loads := fleetLoads{}
	for _, evidence := range index.all {
		if evidence.Kind == recorder.Granted && index.inRange(evidence) {
			verdict.Checked++
			index.checkGrant(verdict, evidence, loads[evidence.Service])
		}
		loads.update(evidence)
	}
	index.addAgentDoubts(verdict, anyCall)
}

func (index *evidenceIndex) checkGrant(verdict *Verdict, grant Evidence, loads serviceLoads) {
	before := grant.Load - grant.Work
	if grant.Bound > 0 {
		if before > grant.Bound {
			verdict.addBreach(fmt.Sprintf("granted at load %d, over the bound %d", before, grant.Bound), grant)
		}
		return
	}
	total, replicas := loads.sum()
	if replicas <= 1 || before <= 0 {
		return
	}
	limit := int64(math.Ceil(grant.Factor * float64(total+grant.Work) / float64(replicas)))
	if before > limit {
		verdict.addDoubt(fmt.Sprintf("%s knew no mean; the records give the bound %d, and the load was %d", grant, limit, before))
	}
}

// serviceLoads holds the last recorded load of each replica of a service.
type serviceLoads map[processID]int64

func (loads serviceLoads) sum() (total int64, replicas int) {
	for _, load := range loads {
		total += load
	}
	return total, len(loads)
}

// fleetLoads tracks the loads of all services over time.
type fleetLoads map[string]serviceLoads

func (loads fleetLoads) update(evidence Evidence) {
	process := processID{evidence.Origin.Name, evidence.Origin.Incarnation}
	service := loads[evidence.Origin.Group]
	if service == nil {
		service = serviceLoads{}
		loads[evidence.Origin.Group] = service
	}
	switch evidence.Kind {
	case recorder.Granted, recorder.Ended, recorder.Sampled:
		service[process] = max(0, evidence.Load)
	case recorder.Started:
		if evidence.Origin.Group != recorder.EntryGroup {
			service[process] = 0
		}
	case recorder.Stopped, recorder.Draining:
		delete(service, process)
	}
}

// wholeAnswers checks promise 2.
func (index *evidenceIndex) wholeAnswers(verdict *Verdict) {
	answers := map[string]Evidence{}
	index.forEach(recorder.Answered, func(answer Evidence) {
		verdict.Checked++
		if first, twice := answers[answer.Request]; twice && answer.Detail != recorder.Resumed {
			verdict.addBreach("one request was answered twice", first, answer)
		}
		if answer.Detail != recorder.Resumed {
			answers[answer.Request] = answer
		}
		if answer.Complete {
			index.checkAnswer(verdict, answer)
		}
	})
	index.addEntryDoubts(verdict)
}

func (index *evidenceIndex) checkAnswer(verdict *Verdict, answer Evidence) {
	// Any entry may resume a stream, and the agent that holds a key replays its
	// answer. Neither needs an offer by this entry, since the agent checks whose
	// stream or key it is.
	offered := answer.Detail != ""
	for _, offer := range index.ofRequest(answer.Request, recorder.Offered) {
		offered = offered || offer.Origin == answer.Origin && offer.Instance == answer.Instance
	}
	from := processID{answer.Origin.Name, answer.Origin.Incarnation}
	gap, entryGap := index.gapEndingAfter(from, 0)
	switch {
	case !offered && entryGap:
		verdict.addDoubt(fmt.Sprintf("no offer is on record for %s; %s", answer, gap))
		return
	case !offered:
		verdict.addBreach("the entry answered a request that it did not offer to that replica", answer)
		return
	}
	matched, lastRun := index.matchingRun(answer)
	if matched {
		return
	}
	if gap, ok := index.gapEndingAfter(processID{answer.Instance, answer.Incarnation}, answer.At.Add(-index.settings.GapLookback)); ok && lastRun == nil {
		verdict.addDoubt(fmt.Sprintf("no run is on record for %s; %s", answer, gap))
		return
	}
	verdict.addBreach("an answer told as whole did not end whole at its agent with this length and digest", append([]Evidence{answer}, lastRun...)...)
}

// matchingRun reports whether a run of the answer's call ended whole with the same
// body. If none did, it returns the last ended run of that call.
func (index *evidenceIndex) matchingRun(answer Evidence) (bool, []Evidence) {
	replayed := answer.Detail == recorder.Replayed
	process := processID{answer.Instance, answer.Incarnation}
	incarnation := index.byProcess[process]
	if incarnation == nil {
		return false, nil
	}
	var lastRun []Evidence
	for _, record := range incarnation.Records {
		sameCall := record.Request == answer.Request || replayed && answer.Key != 0 && record.Key == answer.Key
		if record.Kind != recorder.Ended || !sameCall {
			continue
		}
		sameBody := record.Digest == answer.Digest || answer.Detail == recorder.Resumed
		if record.Complete && record.Length == answer.Length && sameBody {
			return true, nil
		}
		lastRun = []Evidence{{Origin: incarnation.Origin, Record: record}}
	}
	return false, lastRun
}

// ranNo is the value of Event.Ran for a request that did not run.
const ranNo = string(classifier.RanNo)

// notRun checks promise 3. An entry's "not run" to a caller is checked against every
// run, an agent's "not run" to an entry against that agent's own runs.
func (index *evidenceIndex) notRun(verdict *Verdict) {
	index.forEach(recorder.Answered, func(answer Evidence) {
		if answer.Ran != ranNo {
			return
		}
		verdict.Checked++
		for _, run := range index.runs(answer.Request) {
			verdict.addBreach("the caller was told that the request did not run, and it ran", answer, run)
		}
	})
	index.checkAgentRefusals(verdict)
	index.addEntryDoubts(verdict)
	index.addAgentDoubts(verdict, func(offered Evidence) bool {
		for _, answer := range index.ofRequest(offered.Request, recorder.Answered) {
			if answer.Ran != ranNo {
				return false
			}
		}
		return true
	})
}

// runs returns the committed runs of a request, except those that never reached
// their upstream.
func (index *evidenceIndex) runs(request string) []Evidence {
	return slices.DeleteFunc(index.ofRequest(request, recorder.Committed), index.neverReachedUpstream)
}

// neverReachedUpstream reports whether a committed run did not start: the agent
// received the Run frame, could not connect, and recorded that nothing ran.
func (index *evidenceIndex) neverReachedUpstream(run Evidence) bool {
	return slices.ContainsFunc(index.ofRequest(run.Request, recorder.Ended), func(end Evidence) bool {
		return end.Origin == run.Origin && end.Ran == ranNo
	})
}

// checkAgentRefusals checks each tombstone of an agent, and each refusal that says
// "not run", against that agent's own runs.
func (index *evidenceIndex) checkAgentRefusals(verdict *Verdict) {
	check := func(refusal Evidence) {
		if refusal.Origin.Group == recorder.EntryGroup {
			return
		}
		verdict.Checked++
		for _, run := range index.runs(refusal.Request) {
			if run.Origin == refusal.Origin && !index.offeredAgain(refusal, run) {
				verdict.addBreach("the agent said that the request did not run there, and it ran", refusal, run)
			}
		}
	}
	index.forEach(recorder.Buried, check)
	index.forEach(recorder.Refused, func(refusal Evidence) {
		if refusal.Ran == ranNo {
			check(refusal)
		}
	})
}

// addressedTo reports whether an offer was made to an incarnation. An offer that
// names none may have been made to any incarnation of the instance.
func (evidence Evidence) addressedTo(origin recorder.Origin) bool {
	return evidence.Instance == origin.Name && (evidence.Incarnation == 0 || evidence.Incarnation == origin.Incarnation)
}

// offeredAgain reports whether a run after a refusal by the same agent belongs to
// another offer than the refused one. An entry that learns that a chat has moved
// looks it up and may return to the same agent with the same request; the refusal
// was true when it was sent. A tombstone is permanent, and a refusal after the run
// is false whatever was offered.
func (index *evidenceIndex) offeredAgain(refusal, run Evidence) bool {
	if refusal.Kind != recorder.Refused || run.Sequence < refusal.Sequence {
		return false
	}
	offers, answers := 0, 0
	for _, evidence := range index.byRequest[run.Request] {
		switch {
		case evidence.Kind == recorder.Offered && evidence.addressedTo(run.Origin):
			offers++
		case evidence.Origin == run.Origin && (evidence.Kind == recorder.Refused || evidence.Kind == recorder.Committed):
			answers++
		}
	}
	return offers >= answers
}

// runKey identifies what may run once: an idempotency key, or a request without one.
type runKey struct {
	key     uint64
	request string
}

// atMostOnce checks promise 4. It remembers runs outside the range too, so that it
// finds a second run of an old key.
func (index *evidenceIndex) atMostOnce(verdict *Verdict) {
	first := map[runKey]Evidence{}
	for _, run := range index.all {
		if run.Kind != recorder.Committed || run.Idempotent || index.neverReachedUpstream(run) {
			continue
		}
		identity := runKey{key: run.Key}
		if run.Key == 0 {
			identity.request = run.Request
		}
		before, ranBefore := first[identity]
		if !ranBefore {
			first[identity] = run
		}
		if !index.inRange(run) {
			continue
		}
		verdict.Checked++
		if ranBefore {
			verdict.addBreach("a non-idempotent request ran twice", before, run)
		}
	}
	index.addAgentDoubts(verdict, func(offered Evidence) bool { return !offered.Idempotent })
}
