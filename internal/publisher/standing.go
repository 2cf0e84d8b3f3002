package publisher

import (
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// jitter is the part of a poll that varies to either side, so that
	// processes started together don't ask the store together.
	jitter = 0.2
	// longestWait bounds the back-off while the store gives no answer. It lies
	// under the bound of 13 s, less jitter and the fetch, so that a change is in
	// force in time once the store is back.
	longestWait = 4 * timekeeper.Second
	// MinAnswers is how many peers a process that starts in an outage needs to
	// hear from. One peer may have been cut off; three in different places
	// were not, unless most of the fleet was.
	MinAnswers = 3
	// MaxStartupPeers is how many peers such a process asks at most in a round.
	MaxStartupPeers = 32
	// MinStartupTime is the least time between the first and the last round of asking
	// peers. A revision accepted just before the outage reaches some peer's
	// next poll, and from there the others, in this time.
	MinStartupTime = 4 * timekeeper.Second
)

// RevisionState is what one process knows about the configuration. It is an
// immutable value; times come in from outside.
type RevisionState struct {
	// InForce is the revision in force, 0 before the first.
	InForce uint64
	// HighestKnown is the highest revision that the process has heard of.
	HighestKnown uint64
	// BehindSince is when it first heard of a revision above InForce, or 0.
	BehindSince timekeeper.Instant
	// StoreAnsweredAt is when the store last answered.
	StoreAnsweredAt timekeeper.Instant
	// StoreFailures is how often in a row the store gave no answer.
	StoreFailures int
}

// ReceiveRevision takes in a revision that a peer carried on a message. It reports
// whether that is news, so that the next look should be brought forward.
func (standing RevisionState) ReceiveRevision(revision uint64, now timekeeper.Instant) (RevisionState, bool) {
	if revision <= standing.HighestKnown || revision <= standing.InForce {
		return standing, false
	}
	standing.HighestKnown = revision
	if standing.BehindSince == 0 {
		standing.BehindSince = now
	}
	return standing, true
}

// RecordHead takes in the revision of the store's head. It reports whether the body
// of that revision is wanted.
func (standing RevisionState) RecordHead(revision uint64, now timekeeper.Instant) (RevisionState, bool) {
	standing.StoreAnsweredAt = now
	standing.StoreFailures = 0
	standing, _ = standing.ReceiveRevision(revision, now)
	return standing, revision > standing.InForce
}

// RecordStoreFailure notes that the store gave no answer.
func (standing RevisionState) RecordStoreFailure() RevisionState {
	standing.StoreFailures++
	return standing
}

// Activate brings a revision into force. It refuses, with false, one that is not
// higher. The failure: a peer or a restored store offers an older revision.
// The symptom: a key that was revoked works again. Refusing here is enough,
// because nothing else sets InForce.
func (standing RevisionState) Activate(revision uint64) (RevisionState, bool) {
	if revision <= standing.InForce {
		return standing, false
	}
	standing.InForce = revision
	if standing.HighestKnown <= revision {
		standing.HighestKnown = revision
		standing.BehindSince = 0
	}
	return standing, true
}

// PollDelay returns the time to the next look. While the store gives no answer the
// wait doubles, so that a store that comes back isn't met by the whole fleet
// at once. draw is from [0, 1).
func (standing RevisionState) PollDelay(every timekeeper.Span, draw float64) timekeeper.Span {
	wait := every
	for range min(standing.StoreFailures, 8) {
		wait *= 2
	}
	wait = min(wait, max(every, longestWait))
	return wait + timekeeper.Span(float64(wait)*jitter*(2*draw-1))
}

// EarlyPollDelay returns how long to wait after news of a higher revision. The whole
// fleet hears of a change at about the same time; spread over half a poll, its
// reads stay under twice those of polling.
func (standing RevisionState) EarlyPollDelay(every timekeeper.Span, draw float64) timekeeper.Span {
	return timekeeper.Span(float64(every) * draw / 2)
}

// Behind returns for how long the process has known of a higher revision than
// the one in force.
func (standing RevisionState) Behind(now timekeeper.Instant) timekeeper.Span {
	if standing.BehindSince == 0 {
		return 0
	}
	return now.Since(standing.BehindSince)
}

// StartupState is what a process without a configuration has learnt from peers while
// the store gives no answer. It is an immutable value.
type StartupState struct {
	first   timekeeper.Instant
	rounds  int
	highest uint64
}

// WithRound takes in a round of asking: how many peers are known, how many
// answered, and the highest revision that any of
// them has or has heard of. A round in which too few
// answered doesn't count.
func (start StartupState) WithRound(known, answered int, highest uint64, now timekeeper.Instant) StartupState {
	if answered == 0 || answered < min(MinAnswers, known) {
		return start
	}
	if start.rounds == 0 {
		start.first = now
	}
	start.rounds++
	start.highest = max(start.highest, highest)
	return start
}

// Ready returns the revision to start with, once peers have been asked long
// enough.
//
// The failure: all entries are restarted in an outage of the store, seconds
// after a change. The symptom: the change reverts, because the peer that was
// asked had not heard of it. Two rounds, a poll apart, over several peers are
// enough, since every peer that can be reached polls or hears within that time.
func (start StartupState) Ready(now timekeeper.Instant) (uint64, bool) {
	if start.rounds < 2 || now.Since(start.first) < MinStartupTime {
		return 0, false
	}
	return start.highest, start.highest > 0
}
