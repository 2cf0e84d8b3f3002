package publisher

import (
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// jitter is the fraction by which a poll delay varies to either side, so that
	// processes that started together don't poll the store together.
	jitter = 0.2
	// maxPollDelay bounds the backoff while the store doesn't answer. With jitter and
	// the fetch it stays below 13 s, the bound within which a change must be in force,
	// also after an outage of the store.
	maxPollDelay = 4 * timekeeper.Second
	// MinAnswers is how many peers must answer a process that starts during an outage
	// of the store. One peer may have been partitioned; three in different places
	// were not, unless most of the fleet was.
	MinAnswers = 3
	// MaxStartupPeers is the maximum number of peers that such a process asks in a round.
	MaxStartupPeers = 32
	// MinStartupTime is the minimum time between the first and the last round of asking
	// peers. Within it, a revision accepted just before the outage reaches some peer
	// by its next poll, and the other peers through that one.
	MinStartupTime = 4 * timekeeper.Second
)

// RevisionState is what one process knows about the revisions of the configuration.
// It is an immutable value; the caller passes the time.
type RevisionState struct {
	// InForce is the revision in force, 0 before the first.
	InForce uint64
	// HighestKnown is the highest revision that the process knows of.
	HighestKnown uint64
	// BehindSince is when the process first learnt of a revision above InForce, or 0.
	BehindSince timekeeper.Instant
	// StoreAnsweredAt is when the store last answered.
	StoreAnsweredAt timekeeper.Instant
	// StoreFailures is the number of consecutive polls without an answer of the store.
	StoreFailures int
}

// ReceiveRevision records a revision that came with a peer's message. It reports
// whether HighestKnown changed, so that the process should poll early.
func (state RevisionState) ReceiveRevision(revision uint64, now timekeeper.Instant) (RevisionState, bool) {
	if revision <= state.HighestKnown || revision <= state.InForce {
		return state, false
	}
	state.HighestKnown = revision
	if state.BehindSince == 0 {
		state.BehindSince = now
	}
	return state, true
}

// RecordHead records the revision of the store's head. It reports whether the body of
// that revision must be fetched.
func (state RevisionState) RecordHead(revision uint64, now timekeeper.Instant) (RevisionState, bool) {
	state.StoreAnsweredAt = now
	state.StoreFailures = 0
	state, _ = state.ReceiveRevision(revision, now)
	return state, revision > state.InForce
}

// RecordStoreFailure records that the store didn't answer.
func (state RevisionState) RecordStoreFailure() RevisionState {
	state.StoreFailures++
	return state
}

// Activate brings a revision into force, or returns false if it isn't higher than the
// current one. A peer or a restored store may offer an older revision, and a revoked
// key would work again. Checking here is enough, because nothing else sets InForce.
func (state RevisionState) Activate(revision uint64) (RevisionState, bool) {
	if revision <= state.InForce {
		return state, false
	}
	state.InForce = revision
	if state.HighestKnown <= revision {
		state.HighestKnown = revision
		state.BehindSince = 0
	}
	return state, true
}

// PollDelay returns the time to the next poll. It doubles with each consecutive store
// failure, so that the whole fleet doesn't poll at once when the store is back. draw
// is from [0, 1).
func (state RevisionState) PollDelay(interval timekeeper.Span, draw float64) timekeeper.Span {
	wait := interval
	for range min(state.StoreFailures, 8) {
		wait *= 2
	}
	wait = min(wait, max(interval, maxPollDelay))
	return wait + timekeeper.Span(float64(wait)*jitter*(2*draw-1))
}

// EarlyPollDelay returns the time to the next poll after a peer sent a higher revision.
// The whole fleet learns of a change at about the same time; spread over half an
// interval, its reads stay under twice those of polling.
func (state RevisionState) EarlyPollDelay(interval timekeeper.Span, draw float64) timekeeper.Span {
	return timekeeper.Span(float64(interval) * draw / 2)
}

// Behind returns how long the process has known of a higher revision than the one in
// force.
func (state RevisionState) Behind(now timekeeper.Instant) timekeeper.Span {
	if state.BehindSince == 0 {
		return 0
	}
	return now.Since(state.BehindSince)
}

// StartupState is what a process without a configuration has learnt from peers while
// the store doesn't answer. It is an immutable value.
type StartupState struct {
	firstRound timekeeper.Instant
	rounds     int
	highest    uint64
}

// WithRound adds a round of asking peers: how many are known, how many answered, and
// the highest revision that any of them has or knows of. A round with too few answers
// doesn't count.
func (start StartupState) WithRound(known, answered int, highest uint64, now timekeeper.Instant) StartupState {
	if answered == 0 || answered < min(MinAnswers, known) {
		return start
	}
	if start.rounds == 0 {
		start.firstRound = now
	}
	start.rounds++
	start.highest = max(start.highest, highest)
	return start
}

// Ready returns the revision to start with, once peers have been asked for long enough.
//
// When all entries restart during an outage of the store, seconds after a change, the
// change would revert if they asked a peer that doesn't know of it yet. Two rounds, a
// poll apart, over several peers are enough, since within that time every reachable
// peer polls or receives the revision.
func (start StartupState) Ready(now timekeeper.Instant) (uint64, bool) {
	if start.rounds < 2 || now.Since(start.firstRound) < MinStartupTime {
		return 0, false
	}
	return start.highest, start.highest > 0
}
