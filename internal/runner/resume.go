package runner

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/marker"
)

// follow relays a run's answer until its end or until the reader is gone.
func (agent *Agent) follow(
	ctx context.Context, stream *encoder.Stream, run *run, offset uint64, frames <-chan incoming,
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	agent.attach(run, offset)
	defer agent.detach(run)
	go func() {
		defer cancel()
		agent.watch(ctx, run, frames)
	}()
	_ = run.answer.Follow(ctx, stream, offset)
}

// watch returns when the reader is gone. A yamux stream whose far side was
// closed still takes writes for a while, so only reading tells.
func (agent *Agent) watch(ctx context.Context, run *run, frames <-chan incoming) {
	for {
		select {
		case in := <-frames:
			if in.frame.GetCancel() != nil {
				agent.cancelRun(run, in.frame.GetCancel().GetReason())
			}
			if in.err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (agent *Agent) attach(run *run, offset uint64) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	run.readers++
	if run.readers == 1 {
		run.answer.Rewind(offset)
	}
}

// detach notes that a reader has gone. The failure: a caller's connection
// breaks in the middle of a stream. Two symptoms pull apart: ending the run at
// once makes a resume impossible, and running on works for nobody while the
// slot stays taken. So an idempotent run goes on for the service's resume
// grace and ends when nobody has come back by then. A run that is not
// idempotent is never ended by its reader's leaving: half an order is worse
// than an order whose answer waits to be looked up. Its answer is drained.
func (agent *Agent) detach(run *run) {
	agent.mu.Lock()
	run.readers--
	run.left++
	left := run.left
	alone := run.readers == 0 && run.ended == 0
	abandoned := alone && run.idempotent
	if alone && !run.idempotent {
		run.answer.Drain()
	}
	agent.mu.Unlock()
	if abandoned {
		go agent.endAbandoned(run, left)
	}
}

// endAbandoned ends the run after the grace unless a reader has come since.
func (agent *Agent) endAbandoned(run *run, left int) {
	fired, release := agent.settings.Clock.After(agent.serviceNow().ResumeGrace)
	defer release()
	<-fired
	agent.mu.Lock()
	abandoned := run.readers == 0 && run.left == left && run.ended == 0
	agent.mu.Unlock()
	if abandoned {
		agent.cancelRun(run, "nobody resumed the stream")
	}
}

func (agent *Agent) cancelRun(run *run, reason string) {
	if !run.idempotent {
		return
	}
	agent.settings.Log.WithFields(logrus.Fields{"request-id": run.id, "reason": reason}).Info("run canceled")
	run.cancel()
}

// resolveEventID replaces an event id in a look-up by the run and offset that
// it names. It returns false when this incarnation knows no such run.
func (agent *Agent) resolveEventID(lookup *encoder.Lookup) (classifier.Failure, bool) {
	if lookup.GetEventId() == "" {
		return classifier.Failure{}, true
	}
	id, err := marker.ParseEventID(lookup.GetEventId())
	if err != nil {
		return classifier.New(classifier.BadRequest, err.Error()), false
	}
	known := agent.runOf(id)
	if known == nil {
		return classifier.New(classifier.ResumeLost, ""), false
	}
	lookup.RequestId = known.id
	lookup.Offset = id.Offset
	lookup.Incarnation = agent.settings.Incarnation
	return classifier.Failure{}, true
}

func (agent *Agent) runOf(id marker.EventID) *run {
	if id.Instance != agent.settings.Name || id.IncarnationHash != marker.HashIncarnation(agent.settings.Incarnation) {
		return nil
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.bySerial[id.Serial]
}

// serveCancel ends a run at the word of its team.
func (agent *Agent) serveCancel(stream *encoder.Stream, cancel *encoder.Cancel) {
	found := &encoder.Found{State: encoder.RunState_RUN_STATE_FORGOTTEN, Incarnation: agent.settings.Incarnation}
	id, err := marker.ParseEventID(cancel.GetEventId())
	if err == nil {
		if known := agent.runOf(id); known != nil && known.team == cancel.GetTeam() {
			agent.cancelRun(known, "its caller canceled it")
			found.RequestId = known.id
			found.State = encoder.RunState_RUN_STATE_RUNNING
		}
	}
	_ = stream.Write(encoder.Of(found))
}
