package quarantiner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// trialSpacing is how much later an entry of the next rank may begin a trial. The result of a
	// trial, or that one has begun, is known to the others by then.
	trialSpacing = 300 * timekeeper.Millisecond
	// trialPatience is how long a trial waits for the survival of another answer.
	trialPatience = timekeeper.Second
	// trialTimeout is after how long a trial without a known result counts as ended, and
	// requestTrialTimeout that of a request, whose result may take as long as its run and suspectTime.
	trialTimeout        = 3 * timekeeper.Second
	requestTrialTimeout = timekeeper.Minute
	// trialsIfAmbiguous is the number of trials that must fail before a part is quarantined that has survived
	// in survivalMemory, or that the crashes don't tell from another one: the second trial may be of a
	// request that has only one of them. Otherwise one is enough.
	trialsIfAmbiguous = 2
)

// Decision is whether a request may be sent to a replica.
type Decision struct {
	// Refused is the feature for which it may not; the zero value means that it may.
	Refused Feature
	// Final reports whether the feature is refused for long. Otherwise it is suspected, and Wait is
	// when the next trial may begin.
	Final bool
	Wait  timekeeper.Span
	// Trial are the suspected parts of a request that may be sent as their trial.
	Trial []Feature
}

// Allowed reports whether the request may be sent.
func (decision Decision) Allowed() bool { return decision.Refused == Feature{} }

// Check returns whether a request with the features may be sent by an entry that has the rank that
// rank returns for a part. Zero is the first rank. Check begins no trial.
func (table *Table) Check(features []Feature, rank func(Feature) int, now timekeeper.Instant) Decision {
	var decision Decision
	for _, feature := range features {
		if table.isQuarantined(feature, now) || table.isRefused(feature, now) {
			return Decision{Refused: feature, Final: true}
		}
		since, suspected := table.suspectedSince(feature, now)
		if !suspected {
			continue
		}
		opens := table.trialOpens(feature, since).Add(trialSpacing * timekeeper.Span(rank(feature)))
		if now < opens && decision.Allowed() {
			decision.Refused, decision.Wait = feature, opens.Since(now)
		}
		decision.Trial = append(decision.Trial, feature)
	}
	if !decision.Allowed() {
		decision.Trial = nil
	}
	return decision
}

// trialOpens returns when the entry of the first rank may begin a trial of a part that has been suspected
// since an instant. A part that is new to the fleet waits until other answers survive: only then does
// the result of its trial tell something. Parts that all share do not wait for each other.
func (table *Table) trialOpens(part Feature, since timekeeper.Instant) timekeeper.Instant {
	opens := since
	if part.Kind == Part && table.survivals.latest <= since && !table.hasSurvived(part) {
		opens = since.Add(trialPatience)
	}
	if known, found := table.records[part]; found {
		opens = max(opens, known.trialEnds)
	}
	return opens
}

// Admit is Check at the moment of sending. It begins the trial of an allowed request, which EndTrial
// or Convict must end.
func (table *Table) Admit(features []Feature, rank func(Feature) int, now timekeeper.Instant) Decision {
	decision := table.Check(features, rank, now)
	table.BeginTrial(decision.Trial, now)
	return decision
}

// BeginTrial records that a trial of parts begins, at this entry or another one.
func (table *Table) BeginTrial(parts []Feature, now timekeeper.Instant) {
	for _, part := range parts {
		timeout := trialTimeout
		if part.Kind == Request {
			timeout = requestTrialTimeout
		}
		table.recordOf(part, now).trialEnds = now.Add(timeout)
	}
}

// EndTrial records that a trial has shown nothing.
func (table *Table) EndTrial(parts []Feature, now timekeeper.Instant) {
	for _, part := range parts {
		if known, found := table.records[part]; found {
			known.opensAt, known.trialEnds = now, 0
		}
	}
}

// FailTrial records that an incarnation crashed at a trial of parts, at this entry or another one, with an
// ambiguous result.
func (table *Table) FailTrial(parts []Feature, incarnation string, now timekeeper.Instant) {
	for _, part := range parts {
		if known, found := table.records[part]; found && !slices.Contains(known.failedTrials, incarnation) {
			known.failedTrials = append(known.failedTrials, incarnation)
		}
	}
	table.EndTrial(parts, now)
}

// Convict quarantines parts at whose trial an incarnation crashed, and returns which, and those of which
// more trials must fail. It ends the trial of all others without a result: parts that another one
// explains better, and all while nothing survives, since replicas then crash for another reason. It is
// called once the entries have told each other what was in flight at the crash.
func (table *Table) Convict(trial []Feature, incarnation string, now timekeeper.Instant) (convicted []Quarantine, ambiguous []Feature) {
	var without []Feature
	for _, part := range trial {
		switch table.judge(part, incarnation, now) {
		case noResult:
			without = append(without, part)
		case moreTrials:
			ambiguous = append(ambiguous, part)
		case guilty:
			quarantine := Quarantine{Feature: part, Since: now, Incarnations: slices.Clone(table.records[part].incarnations)}
			if table.hasLapsed(part, now) {
				quarantine.Lapses = table.quarantined[part].Lapses + 1
			}
			convicted = append(convicted, quarantine)
		}
	}
	for _, quarantine := range convicted {
		table.Quarantine(quarantine, now)
	}
	table.FailTrial(ambiguous, incarnation, now)
	table.EndTrial(without, now)
	return convicted, ambiguous
}

// verdict is what the crash of a replica at the trial of a part says about it.
type verdict uint8

const (
	noResult verdict = iota
	// moreTrials means that further trials must fail.
	moreTrials
	guilty
)

// judge returns what the crash of an incarnation at the trial of a part says.
func (table *Table) judge(part Feature, incarnation string, now timekeeper.Instant) verdict {
	known, found := table.records[part]
	if !found || !slices.Contains(known.incarnations, incarnation) {
		return noResult
	}
	better, equal := table.rivals(part, incarnation)
	switch {
	case better:
		return noResult
	case table.hasLapsed(part, now):
		return guilty
	case table.survivals.latest <= known.suspectedAt:
		return noResult
	case (equal || table.hasSurvived(part)) && len(known.failedTrials)+1 < trialsIfAmbiguous:
		return moreTrials
	}
	return guilty
}

// rivals reports whether other suspected parts were in flight at a crash that explain it better than a
// part, or as well. Those explain it better of which no answer is known to have survived, or that were
// in flight at more crashes.
func (table *Table) rivals(part Feature, incarnation string) (better, equal bool) {
	survived := table.hasSurvived(part)
	for other, known := range table.records {
		if other == part || !table.isSuspicious(other) || !slices.Contains(known.incarnations, incarnation) {
			continue
		}
		switch otherSurvived := table.hasSurvived(other); {
		case survived != otherSurvived:
			better = better || survived
		case table.excess(other) > table.excess(part):
			better = true
		case table.excess(other) == table.excess(part):
			equal = true
		}
	}
	return better, equal
}
