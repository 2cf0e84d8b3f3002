package verifier

import (
	"fmt"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// loadBound checks promise 1. A call is admitted when the load before it is at
// or under the bound, so one call more than the bound may run: the rounding up
// of the bound (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
// Bounded Loads", 2018). A grant made without a mean is judged by the mean that
// the records of all agents give together.
func (index *evidenceIndex) loadBound(verdict *Verdict) {
	loads := tally{}
	for _, evidence := range index.all {
		if evidence.Kind == recorder.Granted && index.inRange(evidence) {
			verdict.Checked++
			index.judgeGrant(verdict, evidence, loads[evidence.Service])
		}
		loads.note(evidence)
	}
	index.doubtAgents(verdict, anyCall)
}

func (index *evidenceIndex) judgeGrant(verdict *Verdict, grant Evidence, loads serviceLoads) {
	before := grant.Load - grant.Work
	if grant.Bound > 0 {
		if before > grant.Bound {
			verdict.breach(fmt.Sprintf("granted at load %d, over the bound %d", before, grant.Bound), grant)
		}
		return
	}
	total, replicas := loads.sum()
	if replicas <= 1 || before <= 0 {
		return
	}
	limit := int64(math.Ceil(grant.Factor * float64(total+grant.Work) / float64(replicas)))
	if before > limit {
		verdict.doubt(fmt.Sprintf("%s knew no mean; the records give the bound %d, and the load was %d", grant, limit, before))
	}
}

// serviceLoads are the last known loads of a service's replicas.
type serviceLoads map[place]int64

func (loads serviceLoads) sum() (total int64, replicas int) {
	for _, load := range loads {
		total += load
	}
	return total, len(loads)
}

// tally follows the loads of all services through time.
type tally map[string]serviceLoads

func (loads tally) note(evidence Evidence) {
	at := place{evidence.Origin.Name, evidence.Origin.Incarnation}
	service := loads[evidence.Origin.Group]
	if service == nil {
		service = serviceLoads{}
		loads[evidence.Origin.Group] = service
	}
	switch evidence.Kind {
	case recorder.Granted, recorder.Ended, recorder.Sampled:
		service[at] = max(0, evidence.Load)
	case recorder.Started:
		if evidence.Origin.Group != recorder.EntryGroup {
			service[at] = 0
		}
	case recorder.Stopped, recorder.Draining:
		delete(service, at)
	}
}

// wholeAnswers checks promise 2.
func (index *evidenceIndex) wholeAnswers(verdict *Verdict) {
	answers := map[string]Evidence{}
	index.each(recorder.Answered, func(answer Evidence) {
		verdict.Checked++
		if first, twice := answers[answer.Request]; twice && answer.Detail != recorder.Resumed {
			verdict.breach("one request was answered twice", first, answer)
		}
		if answer.Detail != recorder.Resumed {
			answers[answer.Request] = answer
		}
		if answer.Complete {
			index.judgeAnswer(verdict, answer)
		}
	})
	index.doubtEntries(verdict)
}

func (index *evidenceIndex) judgeAnswer(verdict *Verdict, answer Evidence) {
	// Any entry may resume a stream, and a replay comes from whoever holds the
	// key: the agent checks whose it is.
	offered := answer.Detail != ""
	for _, offer := range index.about(answer.Request, recorder.Offered) {
		offered = offered || offer.Origin == answer.Origin && offer.Instance == answer.Instance
	}
	from := place{answer.Origin.Name, answer.Origin.Incarnation}
	gap, entryGap := index.gapOf(from, 0)
	switch {
	case !offered && entryGap:
		verdict.doubt(fmt.Sprintf("no offer is on record for %s; %s", answer, gap))
		return
	case !offered:
		verdict.breach("the entry answered a request that it did not offer to that replica", answer)
		return
	}
	run, near := index.runOf(answer)
	if run {
		return
	}
	if gap, ok := index.gapOf(place{answer.Instance, answer.Incarnation}, answer.At.Add(-index.settings.GapLookback)); ok && near == nil {
		verdict.doubt(fmt.Sprintf("no run is on record for %s; %s", answer, gap))
		return
	}
	verdict.breach("an answer told as whole did not end whole at its agent with this length and digest", append([]Evidence{answer}, near...)...)
}

// runOf reports whether an answer's run ended whole with the same body, and
// else returns the run that is nearest.
func (index *evidenceIndex) runOf(answer Evidence) (bool, []Evidence) {
	replayed := answer.Detail == recorder.Replayed
	at := place{answer.Instance, answer.Incarnation}
	incarnation := index.byPlace[at]
	if incarnation == nil {
		return false, nil
	}
	var near []Evidence
	for _, record := range incarnation.Records {
		mine := record.Request == answer.Request || replayed && answer.Key != 0 && record.Key == answer.Key
		if record.Kind != recorder.Ended || !mine {
			continue
		}
		sameBody := record.Digest == answer.Digest || answer.Detail == recorder.Resumed
		if record.Complete && record.Length == answer.Length && sameBody {
			return true, nil
		}
		near = []Evidence{{Origin: incarnation.Origin, Record: record}}
	}
	return false, near
}

// toldNo is what a caller or peer was told of a request that had not run.
const toldNo = string(classifier.RanNo)

// notRun checks promise 3: for callers against every run, and for what agents
// told entries against that agent's own runs.
func (index *evidenceIndex) notRun(verdict *Verdict) {
	index.each(recorder.Answered, func(answer Evidence) {
		if answer.Ran != toldNo {
			return
		}
		verdict.Checked++
		for _, run := range index.runs(answer.Request) {
			verdict.breach("the caller was told that the request did not run, and it ran", answer, run)
		}
	})
	index.notRunThere(verdict)
	index.doubtEntries(verdict)
	index.doubtAgents(verdict, func(offered Evidence) bool {
		for _, answer := range index.about(offered.Request, recorder.Answered) {
			if answer.Ran != toldNo {
				return false
			}
		}
		return true
	})
}

// runs returns the committed runs of a request, without those that missed.
func (index *evidenceIndex) runs(request string) []Evidence {
	return slices.DeleteFunc(index.about(request, recorder.Committed), index.missed)
}

// missed reports whether a committed run never reached its upstream: the agent
// took the Run frame, could not connect, and recorded that nothing ran.
func (index *evidenceIndex) missed(run Evidence) bool {
	return slices.ContainsFunc(index.about(run.Request, recorder.Ended), func(end Evidence) bool {
		return end.Origin == run.Origin && end.Ran == toldNo
	})
}

// notRunThere checks what agents told entries against their own runs.
func (index *evidenceIndex) notRunThere(verdict *Verdict) {
	look := func(refusal Evidence) {
		if refusal.Origin.Group == recorder.EntryGroup {
			return
		}
		verdict.Checked++
		for _, run := range index.runs(refusal.Request) {
			if run.Origin == refusal.Origin && !index.offeredAgain(refusal, run) {
				verdict.breach("the agent said that the request did not run there, and it ran", refusal, run)
			}
		}
	}
	index.each(recorder.Buried, look)
	index.each(recorder.Refused, func(refusal Evidence) {
		if refusal.Ran == toldNo {
			look(refusal)
		}
	})
}

// reaches reports whether an offer was made to an incarnation; an offer that
// names none may have been made to any of the instance.
func (evidence Evidence) reaches(origin recorder.Origin) bool {
	return evidence.Instance == origin.Name && (evidence.Incarnation == 0 || evidence.Incarnation == origin.Incarnation)
}

// offeredAgain reports whether a run that follows a refusal of the same agent
// answers an offer of its own. An entry that was told that a chat has moved
// looks for it, and may come back to the same agent with the same request; the
// refusal was true when it was given. A tombstone is for good, and a refusal
// after the run is a lie whatever was offered.
func (index *evidenceIndex) offeredAgain(refusal, run Evidence) bool {
	if refusal.Kind != recorder.Refused || run.Sequence < refusal.Sequence {
		return false
	}
	offers, answers := 0, 0
	for _, evidence := range index.byRequest[run.Request] {
		switch {
		case evidence.Kind == recorder.Offered && evidence.reaches(run.Origin):
			offers++
		case evidence.Origin == run.Origin && (evidence.Kind == recorder.Refused || evidence.Kind == recorder.Committed):
			answers++
		}
	}
	return offers >= answers
}

// claim is what may run once: a key, or a request without one.
type claim struct {
	key     uint64
	request string
}

// atMostOnce checks promise 4. Runs outside the range count too: the second run
// of an old key is as bad.
func (index *evidenceIndex) atMostOnce(verdict *Verdict) {
	first := map[claim]Evidence{}
	for _, run := range index.all {
		if run.Kind != recorder.Committed || run.Idempotent || index.missed(run) {
			continue
		}
		one := claim{key: run.Key}
		if run.Key == 0 {
			one.request = run.Request
		}
		before, twice := first[one]
		if !twice {
			first[one] = run
		}
		if !index.inRange(run) {
			continue
		}
		verdict.Checked++
		if twice {
			verdict.breach("a non-idempotent request ran twice", before, run)
		}
	}
	index.doubtAgents(verdict, func(offered Evidence) bool { return !offered.Idempotent })
}
