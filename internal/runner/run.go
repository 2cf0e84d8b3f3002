package runner

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// run is what the agent knows about one committed request, or, with tomb set,
// about one that was declared not run.
type run struct {
	id         string
	team       string
	chat       uint64
	serial     uint64
	idempotent bool
	tomb       bool
	answer     *replayer.Answer
	cancel     context.CancelFunc
	ended      timekeeper.Instant
	// readers is how many streams follow the answer now, and left counts how
	// often the last of them has gone.
	readers int
	left    int
}

// again returns the failure of an offer whose request id is known already.
// Only a tombstone proves that the request did not run.
func (known *run) again() classifier.Failure {
	if known != nil && known.tomb {
		return classifier.New(classifier.Tombstoned, "")
	}
	return classifier.New(classifier.OutcomeUnknown, "the request id is in use here already")
}

// start registers the run and calls the upstream in the background.
func (agent *Agent) start(offer *encoder.Offer, commit *encoder.Run) (*run, classifier.Failure, bool) {
	// The run outlives the stream it came on: a caller whose connection broke
	// finds it by look-up. The longest call bounds it.
	ctx, cancel := context.WithTimeout(context.Background(), agent.serviceNow().CallTimeout.Duration())
	started := &run{
		id:         offer.GetRequestId(),
		team:       offer.GetTeam(),
		chat:       offer.GetChat(),
		idempotent: offer.GetIdempotent(),
		cancel:     cancel,
	}
	started.answer = replayer.New(replayer.Settings{
		Opened: func() { agent.opened(started.id) },
		Now:    func() *encoder.Digest { return agent.atEnd(offer) },
	})
	agent.mu.Lock()
	if known := agent.runs[started.id]; known != nil {
		agent.mu.Unlock()
		cancel()
		return nil, known.again(), false
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
	agent.takeOff(offer)
	agent.mu.Unlock()
	agent.settings.Record(agent.event(recorder.Committed, offer))
	agent.noteChat(offer.GetChat(), offer.GetWork())
	go func() {
		defer cancel()
		whole, failure := agent.upstream.call(ctx, agent.settings, offer, commit, started)
		agent.landed(started, ctx.Err() != nil, whole, failure)
		started.answer.Close(started.id, whole, failure)
		agent.recordEnd(offer, started.answer)
		agent.hold(ctx)
		agent.finish(started)
	}()
	return started, classifier.Failure{}, true
}

// finish gives the slot back and forgets runs that ended long ago.
func (agent *Agent) finish(ended *run) {
	agent.release(ended.id)
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.endKey(ended)
	agent.keep(ended, now)
}

// serveLookup tells what became of a request, and follows its answer if asked.
func (agent *Agent) serveLookup(ctx context.Context, stream *encoder.Stream, lookup *encoder.Lookup) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if failure, ok := agent.resolveEventID(lookup); !ok {
		_ = stream.Write(encoder.Of(&encoder.Found{State: encoder.RunState_RUN_STATE_FORGOTTEN, Kind: failure.Kind.String()}))
		return
	}
	found, known := agent.find(lookup)
	if err := stream.Write(encoder.Of(found)); err != nil {
		return
	}
	if lookup.GetFollow() && known != nil {
		agent.follow(ctx, stream, known, lookup.GetOffset(), pump(ctx, stream))
	}
}

func (agent *Agent) find(lookup *encoder.Lookup) (*encoder.Found, *run) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	found := &encoder.Found{RequestId: lookup.GetRequestId(), Incarnation: agent.settings.Incarnation}
	if lookup.GetIncarnation() != 0 && lookup.GetIncarnation() != agent.settings.Incarnation {
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	}
	known := agent.runs[lookup.GetRequestId()]
	switch {
	case known == nil || known.tomb:
		found.State = encoder.RunState_RUN_STATE_NEVER_SEEN
		agent.bury(lookup)
		return found, nil
	case known.team != lookup.GetTeam():
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	case known.ended != 0:
		found.State = encoder.RunState_RUN_STATE_DONE
	default:
		found.State = encoder.RunState_RUN_STATE_RUNNING
	}
	if !known.answer.Resumable(lookup.GetOffset()) {
		found.State = encoder.RunState_RUN_STATE_FORGOTTEN
		return found, nil
	}
	found.Offset = lookup.GetOffset()
	return found, known
}

// bury leaves a tombstone. The failure: the connection broke after the Run
// frame was sent, and the frame is still on its way. The symptom: the caller
// was told "not run", and then it ran. A run frame that comes after the
// tombstone is refused under the same lock, so one of the two always wins.
func (agent *Agent) bury(lookup *encoder.Lookup) {
	if lookup.GetTombstone() {
		now := agent.settings.Clock.Now()
		tomb := &run{id: lookup.GetRequestId(), tomb: true}
		agent.runs[tomb.id] = tomb
		agent.keep(tomb, now)
		// The key is free for the resend at once, not only when the agent has
		// noticed that the first request's connection is gone.
		agent.keys.book.Abandon(tomb.id)
		agent.settings.Record(recorder.Event{
			At: now, Kind: recorder.Buried, Request: lookup.GetRequestId(), Service: agent.settings.Service,
			Team: lookup.GetTeam(), Instance: agent.settings.Name, Incarnation: agent.settings.Incarnation,
		})
	}
}
