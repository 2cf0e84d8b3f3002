package runner

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// run is the agent's state of a committed request or, with tombstone set, of one that was
// declared not run.
type run struct {
	id         string
	team       string
	chat       uint64
	serial     uint64
	idempotent bool
	tombstone  bool
	answer     *replayer.Answer
	cancel     context.CancelFunc
	endedAt    timekeeper.Instant
	// readers is how many streams follow the answer now; detaches counts the readers that
	// have left.
	readers  int
	detaches int
}

// duplicateFailure returns the failure of an offer whose request id is already known. Only
// a tombstone proves that the request did not run.
func (existing *run) duplicateFailure() classifier.Failure {
	if existing != nil && existing.tombstone {
		return classifier.New(classifier.Tombstoned, "")
	}
	return classifier.New(classifier.OutcomeUnknown, "the request id is in use here already")
}

// startRun registers the run and calls the upstream in the background.
func (agent *Agent) startRun(offer *encoder.Offer, commit *encoder.Run) (*run, classifier.Failure, bool) {
	// The run outlives its stream: a caller whose connection broke finds it by look-up.
	// CallTimeout bounds it.
	ctx, cancel := context.WithTimeout(context.Background(), agent.currentService().CallTimeout.Duration())
	started := &run{
		id:         offer.GetRequestId(),
		team:       offer.GetTeam(),
		chat:       offer.GetChat(),
		idempotent: offer.GetIdempotent(),
		cancel:     cancel,
	}
	started.answer = replayer.New(replayer.Settings{
		OnHead: func() { agent.recordFirstByte(started.id) },
		Now:    func() *encoder.Digest { return agent.endDigest(offer) },
	})
	agent.mu.Lock()
	if existing := agent.runs[started.id]; existing != nil {
		agent.mu.Unlock()
		cancel()
		return nil, existing.duplicateFailure(), false
	}
	if !agent.mayStart(offer) {
		agent.mu.Unlock()
		cancel()
		return nil, classifier.New(classifier.Tombstoned, "the claim was given up"), false
	}
	agent.serial++
	started.serial = agent.serial
	agent.runs[started.id] = started
	agent.bySerial[started.serial] = started
	agent.recordStart(offer)
	agent.mu.Unlock()
	agent.settings.Record(agent.event(recorder.Committed, offer))
	agent.recordChat(offer.GetChat(), offer.GetWork())
	go func() {
		defer cancel()
		complete, failure := agent.upstream.call(ctx, agent.settings, offer, commit, started)
		agent.recordOutcome(started, ctx.Err() != nil, complete, failure)
		started.answer.Close(started.id, complete, failure)
		agent.recordEnd(offer, started.answer)
		agent.holdSlot(ctx)
		agent.finish(started)
	}()
	return started, classifier.Failure{}, true
}

// finish releases the slot and keeps the ended run for look-ups.
func (agent *Agent) finish(ended *run) {
	agent.release(ended.id)
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.endKey(ended)
	agent.retain(ended, now)
}

// serveLookup answers with a request's state, and follows its answer if requested.
func (agent *Agent) serveLookup(ctx context.Context, stream *encoder.Stream, lookup *encoder.Lookup) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if failure, ok := agent.resolveEventID(lookup); !ok {
		_ = stream.Write(encoder.Of(&encoder.Found{State: encoder.RunState_RUN_STATE_FORGOTTEN, Kind: failure.Kind.String()}))
		return
	}
	found, existing := agent.findRun(lookup)
	if err := stream.Write(encoder.Of(found)); err != nil {
		return
	}
	if lookup.GetFollow() && existing != nil {
		agent.follow(ctx, stream, existing, lookup.GetOffset(), readFrames(ctx, stream))
	}
}

func (agent *Agent) findRun(lookup *encoder.Lookup) (*encoder.Found, *run) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	found := &encoder.Found{RequestId: lookup.GetRequestId(), Incarnation: agent.settings.Incarnation}
	if lookup.GetIncarnation() != 0 && lookup.GetIncarnation() != agent.settings.Incarnation {
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	}
	existing := agent.runs[lookup.GetRequestId()]
	switch {
	case existing == nil || existing.tombstone:
		found.State = encoder.RunState_RUN_STATE_NEVER_SEEN
		agent.leaveTombstone(lookup)
		return found, nil
	case existing.team != lookup.GetTeam():
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	case existing.endedAt != 0:
		found.State = encoder.RunState_RUN_STATE_DONE
	default:
		found.State = encoder.RunState_RUN_STATE_RUNNING
	}
	if !existing.answer.Resumable(lookup.GetOffset()) {
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	}
	found.Offset = lookup.GetOffset()
	return found, existing
}

// leaveTombstone writes a tombstone if the look-up asks for one. It guards against a Run
// frame that is still in transit when the connection breaks: without it, the caller gets
// "not run" and the request runs afterwards. A Run frame that arrives after the tombstone
// is refused under the same lock, so exactly one of the two takes effect. Agent.mu must be
// held.
func (agent *Agent) leaveTombstone(lookup *encoder.Lookup) {
	if lookup.GetTombstone() {
		now := agent.settings.Clock.Now()
		tombstone := &run{id: lookup.GetRequestId(), tombstone: true}
		agent.runs[tombstone.id] = tombstone
		agent.retain(tombstone, now)
		// This frees the key for the resend at once, instead of when the agent detects
		// that the first request's connection is gone.
		agent.keys.book.Abandon(tombstone.id)
		agent.settings.Record(recorder.Event{
			At: now, Kind: recorder.Buried, Request: lookup.GetRequestId(), Service: agent.settings.Service,
			Team: lookup.GetTeam(), Instance: agent.settings.Name, Incarnation: agent.settings.Incarnation,
		})
	}
}
