package runner

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// drainInterval is the time between two checks of what is still in flight.
const drainInterval = 20 * timekeeper.Millisecond

// StopAdmitting refuses new work from now on.
func (agent *Agent) StopAdmitting() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.draining = true
}

// Drain refuses new work at once and returns when nothing is in flight, or with an error
// when ctx ends first. In flight are running and waiting calls, and answers that a reader
// is still receiving: when the upstream has finished, a slow reader may still have most of
// the answer to come.
func (agent *Agent) Drain(ctx context.Context) error {
	agent.StopAdmitting()
	agent.recordDrain(recorder.Draining)
	finishHandOver := agent.handOver(ctx)
	for {
		remaining := agent.inFlight()
		if remaining == 0 {
			finishHandOver()
			agent.recordDrain(recorder.Drained)
			return nil
		}
		if err := agent.settings.Clock.Sleep(ctx, drainInterval); err != nil {
			return eris.Errorf("the longest drain has passed with %d calls in flight", remaining)
		}
	}
}

// FlushKeys writes the state of a drained agent's keys to the store: it marks the keys
// that ran, so that a resend is refused as already run, and releases unused claims, so that
// other agents may run them.
func (agent *Agent) FlushKeys(ctx context.Context) {
	if agent.settings.Table.Commit == nil {
		return
	}
	agent.mu.Lock()
	done := agent.keys.book.TakeCompleted(maxMarks)
	unused := agent.keys.book.TakeUnused()
	agent.mu.Unlock()
	if err := agent.keys.committer.Release(ctx, unused); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(unused)).Info("unused claims not released")
	}
	if err := agent.keys.committer.Mark(ctx, done); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(done)).Info("runs not marked as done")
	}
}

// inFlight returns how many calls run or wait, or have answers with readers.
func (agent *Agent) inFlight() int {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	load := agent.controller.Load()
	remaining := load.Running + load.Waiting
	for _, run := range agent.runs {
		if run.endedAt != 0 && run.readers > 0 {
			remaining++
		}
	}
	return remaining
}
