package runner

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// drainLook is the time between two looks at what is still in flight.
const drainLook = 20 * timekeeper.Millisecond

// Refuse refuses new work from now on.
func (agent *Agent) Refuse() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.draining = true
}

// Drain refuses new work at once and returns when nothing is in flight, or
// with an error when ctx ends first. In flight is every call that runs or
// waits, and every answer that a reader still takes: an upstream that is done
// is not enough, since a slow reader may have most of the answer before it.
func (agent *Agent) Drain(ctx context.Context) error {
	agent.Refuse()
	agent.recordLeaving(recorder.Draining)
	given := agent.handOver(ctx)
	for {
		left := agent.inFlight()
		if left == 0 {
			given()
			agent.recordLeaving(recorder.Drained)
			return nil
		}
		if err := agent.settings.Clock.Sleep(ctx, drainLook); err != nil {
			return eris.Errorf("the longest drain has passed with %d calls in flight", left)
		}
	}
}

// HandOver tells the store what a drained agent knows of its keys: which ran,
// so that their callers hear so, and which did not, so that others may run them.
func (agent *Agent) HandOver(ctx context.Context) {
	if agent.settings.Table.Commit == nil {
		return
	}
	agent.mu.Lock()
	done := agent.keys.book.TakeCompleted(mostMarks)
	unused := agent.keys.book.TakeUnused()
	agent.mu.Unlock()
	if err := agent.keys.committer.Release(ctx, unused); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(unused)).Info("unused claims not given back")
	}
	if err := agent.keys.committer.Mark(ctx, done); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(done)).Info("runs not marked as done")
	}
}

// inFlight returns how many calls run, wait, or are still read.
func (agent *Agent) inFlight() int {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	load := agent.controller.Load()
	left := load.Running + load.Waiting
	for _, run := range agent.runs {
		if run.ended != 0 && run.readers > 0 {
			left++
		}
	}
	return left
}
