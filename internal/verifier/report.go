package verifier

import (
	"cmp"
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configure an evaluation. Fields without a stated default are required.
type Settings struct {
	// From and Until bound the evaluated time, both included.
	From  timekeeper.Instant
	Until timekeeper.Instant
	// ClockSkew is how far the clocks of two processes may differ; zero means 500 milliseconds.
	ClockSkew timekeeper.Span
	// LeaveWithin is how long after Draining new work may still be granted;
	// zero means 3 seconds.
	LeaveWithin timekeeper.Span
	// InForceWithin is how long an accepted configuration may take to be in force at a
	// process; zero means 13 seconds.
	InForceWithin timekeeper.Span
	// GapLookback is how long before a gap a call may have been offered if the gap may
	// hide what became of the offer; zero means 1 minute.
	GapLookback timekeeper.Span
}

func (settings Settings) withDefaults() Settings {
	settings.ClockSkew = cmp.Or(settings.ClockSkew, 500*timekeeper.Millisecond)
	settings.LeaveWithin = cmp.Or(settings.LeaveWithin, 3*timekeeper.Second)
	settings.InForceWithin = cmp.Or(settings.InForceWithin, 13*timekeeper.Second)
	settings.GapLookback = cmp.Or(settings.GapLookback, timekeeper.Minute)
	return settings
}

// Outcome is the result for a promise.
type Outcome string

// The outcomes.
const (
	Held        Outcome = "held"
	Broken      Outcome = "broken"
	NotProvable Outcome = "not provable"
)

// Evidence is one record with the incarnation that wrote it.
type Evidence struct {
	Origin recorder.Origin `json:"origin"`
	recorder.Record
}

// String identifies the record.
func (evidence Evidence) String() string {
	return fmt.Sprintf("%s record %d (%s at %s)", evidence.Origin, evidence.Sequence, evidence.Kind, evidence.At)
}

// Breach is a contradiction between a promise and the record.
type Breach struct {
	Reason  string     `json:"reason"`
	Records []Evidence `json:"records"`
}

// Verdict says whether one promise held.
type Verdict struct {
	Number  int     `json:"number"`
	Promise string  `json:"promise"`
	Rule    string  `json:"rule"`
	Outcome Outcome `json:"outcome"`
	// Checked is the number of records that the rule was applied to.
	Checked  int      `json:"checked"`
	Breaches []Breach `json:"breaches,omitempty"`
	// Doubts describe missing records that could hide a breach.
	Doubts []string `json:"doubts,omitempty"`
}

func (verdict *Verdict) addBreach(reason string, records ...Evidence) {
	verdict.Breaches = append(verdict.Breaches, Breach{Reason: reason, Records: records})
}

// addDoubt adds a reason unless it is listed already.
func (verdict *Verdict) addDoubt(reason string) {
	for _, doubt := range verdict.Doubts {
		if doubt == reason {
			return
		}
	}
	verdict.Doubts = append(verdict.Doubts, reason)
}

// Report holds the verdict on each promise over a time range.
type Report struct {
	From         timekeeper.Instant `json:"from"`
	Until        timekeeper.Instant `json:"until"`
	ClockSkew    timekeeper.Span    `json:"skew"`
	Incarnations int                `json:"incarnations"`
	Segments     int                `json:"segments"`
	Records      int                `json:"records"`
	Verdicts     []Verdict          `json:"verdicts"`
	Findings     []Finding          `json:"findings,omitempty"`
	Gaps         []Gap              `json:"gaps,omitempty"`
	Skews        []LoadSkew         `json:"skews,omitempty"`
	Answers      []AnswerCount      `json:"answers,omitempty"`
}

// Held reports whether every promise held and the record has no finding.
func (report Report) Held() bool {
	for _, verdict := range report.Verdicts {
		if verdict.Outcome != Held {
			return false
		}
	}
	return len(report.Findings) == 0
}

// rule is one promise and the function that checks it.
type rule struct {
	promise string
	text    string
	check   func(index *evidenceIndex, verdict *Verdict)
}

var rules = [...]rule{
	{
		"No engine carries more than a set multiple of the mean load across its service.",
		"Each granted call found its replica's load at or under the bound that the mean set.",
		(*evidenceIndex).loadBound,
	},
	{
		"Every caller gets the whole answer to their own request.",
		"Each answer told as whole was offered by that entry, ended whole at that agent with the same " +
			"request, length and digest, and was told once.",
		(*evidenceIndex).wholeAnswers,
	},
	{
		"When a request is refused as not run, it was not run.",
		"No request that anyone was told had not run was committed there, or anywhere for a caller.",
		(*evidenceIndex).notRun,
	},
	{
		"A non-idempotent request runs at most once.",
		"For each key, and for each request without one, at most one non-idempotent run was committed.",
		(*evidenceIndex).atMostOnce,
	},
	{
		"A leaving upstream receives no new work after a few seconds.",
		"No call was granted at a replica later than the stated time after draining.",
		(*evidenceIndex).leaving,
	},
	{
		"Every planned stop cuts off no request in flight.",
		"At a process that drained or stopped, each committed run ended, each offered call was answered, " +
			"and no whole answer was cut on its way.",
		(*evidenceIndex).plannedStops,
	},
	{
		"An accepted configuration is in force everywhere within seconds and never reverts.",
		"Revisions in force never fall, accepted revisions rise, and each is in force at each live process in time.",
		(*evidenceIndex).configuration,
	},
}

// noRecord is the doubt about every promise when no record lies in the range.
// Without it, a fleet that keeps no record would appear to have held them all.
const noRecord = "no record falls into this time"

// Evaluate gives a verdict on each promise from a verified trail.
func Evaluate(trail Trail, settings Settings) Report {
	settings = settings.withDefaults()
	index := newEvidenceIndex(trail, settings)
	report := Report{
		From: settings.From, Until: settings.Until, ClockSkew: settings.ClockSkew,
		Incarnations: len(trail.Incarnations), Segments: trail.Segments, Records: trail.Records,
		Findings: trail.Findings, Gaps: index.gapsInRange(),
		Skews: index.skews(), Answers: index.answers(),
	}
	for i, rule := range rules {
		verdict := Verdict{Number: i + 1, Promise: rule.promise, Rule: rule.text, Outcome: Held}
		rule.check(index, &verdict)
		if index.empty() {
			verdict.addDoubt(noRecord)
		}
		switch {
		case len(verdict.Breaches) > 0:
			verdict.Outcome = Broken
		case len(verdict.Doubts) > 0:
			verdict.Outcome = NotProvable
		}
		report.Verdicts = append(report.Verdicts, verdict)
	}
	return report
}
