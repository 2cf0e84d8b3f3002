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
	// trialTimeout is after how long a trial without a known result counts as ended.
	trialTimeout = 3 * timekeeper.Second
	// trialsOfKnown is the number of trials that must fail before a part is quarantined that has
	// survived in survivalMemory. For others one is enough.
	trialsOfKnown = 2
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
	if table.survivals.latest <= since && !table.hasSurvived(part) {
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
		table.recordOf(part, now).trialEnds = now.Add(trialTimeout)
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

// Convict quarantines parts at whose trial an incarnation crashed, and returns which. It ends the
// trial of the others: those that the crash doesn't tell from another part, and all while nothing
// survives, since replicas then crash for another reason. It is called once the entries have told
// each other what was in flight at the crash.
func (table *Table) Convict(trial []Feature, incarnation string, now timekeeper.Instant) (convicted []Quarantine) {
	var left []Feature
	for _, part := range trial {
		if !table.failTrial(part, incarnation) {
			left = append(left, part)
			continue
		}
		convicted = append(convicted, Quarantine{
			Feature: part, Since: now, Lapses: table.quarantined[part].Lapses, Incarnations: slices.Clone(table.records[part].incarnations),
		})
	}
	for i, quarantine := range convicted {
		if _, lapsed := table.quarantined[quarantine.Feature]; lapsed {
			convicted[i].Lapses++
		}
		table.Quarantine(convicted[i], now)
	}
	table.EndTrial(left, now)
	return convicted
}

// failTrial counts a trial of a part at which an incarnation crashed, and reports whether that is
// enough to quarantine it.
func (table *Table) failTrial(part Feature, incarnation string) bool {
	known, found := table.records[part]
	if !found || !slices.Contains(known.incarnations, incarnation) || table.hasBetter(part, incarnation) {
		return false
	}
	if _, lapsed := table.quarantined[part]; lapsed {
		return true
	}
	if table.survivals.latest <= known.suspectedAt {
		return false
	}
	known.failedTrials++
	return known.failedTrials >= trialsOfKnown || !table.hasSurvived(part)
}

// hasBetter reports whether another suspected part was in flight at a crash and explains it better:
// one of which no answer is known to have survived, or that was in flight at more crashes.
func (table *Table) hasBetter(part Feature, incarnation string) bool {
	for other, known := range table.records {
		if other == part || !table.isSuspicious(other) || !slices.Contains(known.incarnations, incarnation) {
			continue
		}
		if survived := table.hasSurvived(part); survived != table.hasSurvived(other) {
			if survived {
				return true
			}
			continue
		}
		if table.excess(other) > table.excess(part) {
			return true
		}
	}
	return false
}
