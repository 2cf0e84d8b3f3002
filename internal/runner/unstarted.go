package runner

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// unstartedOffer is an offer whose run has not started.
type unstartedOffer struct {
	cancel context.CancelCauseFunc
	// ended is closed once the run has started, or the slot and the key of the offer are
	// free again and its refusal is recorded.
	ended chan struct{}
}

// replaceOffer registers an offer and ends an earlier one with the same request id whose
// run has not started. It returns the function that removes the offer, which must be
// called when the offer has ended.
//
// An entry repeats an offer when the connection breaks before the grant, and this agent
// may not have noticed the break: without the replacement, the first offer would hold the
// request's slot and key until RunTimeout passes. Since the entry sends the Run frame of an
// offer only after its grant, no Run frame of the first offer is in transit. An offer whose
// Run frame follows without a grant is never repeated. An offer whose id is known, as a run
// or by a tombstone, is refused at once and replaces nothing.
func (agent *Agent) replaceOffer(ctx context.Context, offer *encoder.Offer, cancel context.CancelCauseFunc) func() {
	if offer.GetRunFollows() {
		return func() {}
	}
	id := offer.GetRequestId()
	unstarted := &unstartedOffer{cancel: cancel, ended: make(chan struct{})}
	agent.mu.Lock()
	earlier := agent.unstarted[id]
	agent.unstarted[id] = unstarted
	known := agent.runs[id] != nil
	agent.mu.Unlock()
	if earlier != nil && !known {
		earlier.cancel(classifier.New(classifier.Unreachable, "the entry has repeated the offer"))
		select {
		case <-earlier.ended:
		case <-ctx.Done():
		}
	}
	return func() {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if agent.unstarted[id] == unstarted {
			delete(agent.unstarted, id)
		}
		close(unstarted.ended)
	}
}

// endedFailure returns the failure of an offer whose context has ended before its run
// started: the one that it was replaced with, else otherwise.
func endedFailure(ctx context.Context, otherwise classifier.Failure) classifier.Failure {
	var failure classifier.Failure
	if eris.As(context.Cause(ctx), &failure) {
		return failure
	}
	return otherwise
}
