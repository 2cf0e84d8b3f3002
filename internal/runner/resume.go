package runner

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/marker"
)

// follow relays a run's answer until the answer ends or the reader leaves.
func (agent *Agent) follow(
	ctx context.Context, stream *encoder.Stream, run *run, offset uint64, frames <-chan incoming,
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	agent.attach(run, offset)
	defer agent.detach(run)
	go func() {
		defer cancel()
		agent.watchReader(ctx, run, frames)
	}()
	_ = run.answer.Follow(ctx, stream, offset)
}

// watchReader returns when the reader has left. A yamux stream whose remote side has
// closed still accepts writes for a while, so only a read detects it.
func (agent *Agent) watchReader(ctx context.Context, run *run, frames <-chan incoming) {
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

// detach records that a reader has left, for example because a caller's connection broke
// in the middle of a stream. Canceling the run at once would make a resume impossible;
// letting it run on would hold the slot for an answer that no one reads. So an idempotent
// run goes on for the service's resume grace and is canceled if no reader has come back by
// then. A run that is not idempotent is never canceled when its reader leaves, since half
// an order is worse than an order whose answer must be looked up. The agent drains its
// answer instead, so that the upstream can finish.
func (agent *Agent) detach(run *run) {
	agent.mu.Lock()
	run.readers--
	run.detaches++
	detaches := run.detaches
	noReaders := run.readers == 0 && run.endedAt == 0
	abandoned := noReaders && run.idempotent
	if noReaders && !run.idempotent {
		run.answer.Drain()
	}
	agent.mu.Unlock()
	if abandoned {
		go agent.cancelAbandoned(run, detaches)
	}
}

// cancelAbandoned cancels the run after the grace unless a reader has come since.
func (agent *Agent) cancelAbandoned(run *run, detaches int) {
	fired, release := agent.settings.Clock.After(agent.currentService().ResumeGrace)
	defer release()
	<-fired
	agent.mu.Lock()
	abandoned := run.readers == 0 && run.detaches == detaches && run.endedAt == 0
	agent.mu.Unlock()
	if abandoned {
		agent.cancelRun(run, "nobody resumed the stream")
	}
}

// cancelRun cancels an idempotent run; any other goes on to its end, or to CallTimeout.
func (agent *Agent) cancelRun(run *run, reason string) {
	if !run.idempotent {
		return
	}
	agent.settings.Log.WithFields(logrus.Fields{"request-id": run.id, "reason": reason}).Info("run canceled")
	run.cancel()
}

// resolveEventID sets the run and offset that the event id of a look-up names. It returns
// false when this incarnation doesn't know the run.
func (agent *Agent) resolveEventID(lookup *encoder.Lookup) (classifier.Failure, bool) {
	if lookup.GetEventId() == "" {
		return classifier.Failure{}, true
	}
	id, err := marker.ParseEventID(lookup.GetEventId())
	if err != nil {
		return classifier.New(classifier.BadRequest, err.Error()), false
	}
	target := agent.runByEvent(id)
	if target == nil {
		return classifier.New(classifier.ResumeLost, ""), false
	}
	lookup.RequestId = target.id
	lookup.Offset = id.Offset
	lookup.Incarnation = agent.settings.Incarnation
	return classifier.Failure{}, true
}

func (agent *Agent) runByEvent(id marker.EventID) *run {
	if id.Instance != agent.settings.Name || id.IncarnationHash != marker.HashIncarnation(agent.settings.Incarnation) {
		return nil
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.bySerial[id.Serial]
}

// serveCancel cancels a run at the request of its team.
func (agent *Agent) serveCancel(stream *encoder.Stream, cancel *encoder.Cancel) {
	found := &encoder.Found{State: encoder.RunState_RUN_STATE_FORGOTTEN, Incarnation: agent.settings.Incarnation}
	id, err := marker.ParseEventID(cancel.GetEventId())
	if err == nil {
		if target := agent.runByEvent(id); target != nil && target.team == cancel.GetTeam() {
			agent.cancelRun(target, "its caller canceled it")
			found.RequestId = target.id
			found.State = encoder.RunState_RUN_STATE_RUNNING
		}
	}
	_ = stream.Write(encoder.Of(found))
}
