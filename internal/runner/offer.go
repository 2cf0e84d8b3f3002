package runner

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// incoming is a frame, or the error that ended the stream.
type incoming struct {
	frame *encoder.Frame
	err   error
}

// inbox holds what a caller sends on its stream. A Run frame that arrives while the offer
// is still queued is kept in earlyRun.
type inbox struct {
	frames   <-chan incoming
	earlyRun *encoder.Run
	// grantedAt is when the slot was granted; the Run frame must follow within
	// Settings.RunTimeout.
	grantedAt timekeeper.Instant
}

// callerLeft reports whether a frame or error means that the caller has left. It keeps an
// early Run frame.
func (inbox *inbox) callerLeft(in incoming) bool {
	if commit := in.frame.GetRun(); commit != nil && in.err == nil {
		inbox.earlyRun = commit
		return false
	}
	return in.err != nil || in.frame.GetCancel() != nil
}

// serveOffer handles one call from its offer to the end of its answer.
func (agent *Agent) serveOffer(ctx context.Context, stream *encoder.Stream, offer *encoder.Offer) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	inbox := &inbox{frames: readFrames(ctx, stream)}
	run, refused := agent.admitAndStart(ctx, cancel, stream, offer, inbox)
	if refused != nil {
		_ = stream.Write(encoder.Of(refused))
		return
	}
	agent.follow(ctx, stream, run, 0, inbox.frames)
}

// admitAndStart admits an offer and starts its run, or returns its refusal. A repeat of the
// offer waits until this function has returned.
func (agent *Agent) admitAndStart(
	ctx context.Context, cancel context.CancelCauseFunc, stream *encoder.Stream, offer *encoder.Offer, inbox *inbox,
) (*run, *encoder.Refused) {
	defer agent.replaceOffer(ctx, offer, cancel)()
	failure, ok := agent.admit(ctx, stream, offer, inbox)
	if !ok {
		return nil, agent.refusal(offer, failure)
	}
	run, failure, ok := agent.awaitRun(ctx, offer, inbox)
	if !ok {
		agent.release(offer.GetRequestId())
		return nil, agent.refusal(offer, failure)
	}
	return run, nil
}

// readFrames reads frames in the background, so that a call can wait for its caller and
// for its slot at the same time.
func readFrames(ctx context.Context, stream *encoder.Stream) <-chan incoming {
	out := make(chan incoming)
	go func() {
		for {
			frame, err := stream.Read()
			select {
			case out <- incoming{frame, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// admit decides about the offer, waits for a slot, fetches the chat's prefix, passes the
// gate, claims the key and, unless the Run frame follows without it, sends Granted. When it
// returns true, the offer holds a slot.
func (agent *Agent) admit(
	ctx context.Context, stream *encoder.Stream, offer *encoder.Offer, inbox *inbox,
) (classifier.Failure, bool) {
	arrived := agent.settings.Clock.Now()
	decision, slot := agent.decide(offer, arrived)
	agent.logDecision(offer, decision)
	switch decision.Outcome {
	case admitter.Refused:
		return decision.Failure, false
	case admitter.Queued:
		if err := stream.Write(encoder.Of(&encoder.Queued{RequestId: offer.GetRequestId(), Estimate: int64(decision.EstimatedWait)})); err != nil {
			agent.release(offer.GetRequestId())
			return classifier.New(classifier.CallerGone, ""), false
		}
	}
	fetched := agent.fetch(ctx, offer, arrived)
	if failure, ok := agent.waitForSlot(ctx, offer, slot, inbox); !ok {
		agent.release(offer.GetRequestId())
		return failure, false
	}
	<-fetched
	if failure, ok := agent.enterGate(ctx, offer); !ok {
		agent.release(offer.GetRequestId())
		return failure, false
	}
	if failure, ok := agent.claim(ctx, offer); !ok {
		agent.release(offer.GetRequestId())
		return failure, false
	}
	agent.recordGrant(offer)
	inbox.grantedAt = agent.settings.Clock.Now()
	if offer.GetRunFollows() {
		return classifier.Failure{}, true
	}
	waited := inbox.grantedAt.Since(arrived)
	err := stream.Write(encoder.Of(&encoder.Granted{
		RequestId:   offer.GetRequestId(),
		Incarnation: agent.settings.Incarnation,
		Waited:      int64(waited),
	}))
	if err != nil {
		agent.release(offer.GetRequestId())
		return classifier.New(classifier.CallerGone, ""), false
	}
	return classifier.Failure{}, true
}

// ineligible returns a failure when this replica can't take the offer at all.
func (agent *Agent) ineligible(offer *encoder.Offer) (classifier.Failure, bool) {
	switch {
	// First, since the other failures say that the request did not run here.
	case agent.runs[offer.GetRequestId()] != nil || agent.controller.Holds(offer.GetRequestId()):
		return agent.runs[offer.GetRequestId()].duplicateFailure(), true
	case offer.GetService() != agent.settings.Service:
		return classifier.New(classifier.WrongService, ""), true
	case offer.GetIncarnation() != 0 && offer.GetIncarnation() != agent.settings.Incarnation:
		return classifier.New(classifier.WrongInstance, ""), true
	case agent.draining:
		return classifier.New(classifier.Draining, "").WithRetryAfter(timekeeper.Second), true
	case agent.strikes.ledger.Down():
		return agent.engineDown(), true
	case agent.adapters.isMissing(offer.GetAdapter()):
		return adapterUnloaded(), true
	}
	return classifier.Failure{}, false
}

// awaitRun waits for the Run frame of a granted offer and starts the run.
func (agent *Agent) awaitRun(ctx context.Context, offer *encoder.Offer, inbox *inbox) (*run, classifier.Failure, bool) {
	if inbox.earlyRun != nil {
		return agent.beginRun(offer, inbox.earlyRun)
	}
	expired, stop := agent.settings.Clock.After(agent.settings.RunTimeout)
	defer stop()
	select {
	case in := <-inbox.frames:
		if in.err != nil {
			return nil, classifier.New(classifier.CallerGone, "no run frame came"), false
		}
		// After a pause of the agent, the frame and the expired timer may both be ready.
		// Late frames are refused here, so that tombstones, which are kept far longer than
		// RunTimeout, outlive every frame that they must stop.
		if agent.settings.Clock.Now().Since(inbox.grantedAt) > agent.settings.RunTimeout {
			return nil, classifier.New(classifier.DeadlinePassed, "the run frame did not come in time"), false
		}
		return agent.beginRun(offer, in.frame.GetRun())
	case <-expired:
		return nil, classifier.New(classifier.DeadlinePassed, "the run frame did not come in time"), false
	case <-ctx.Done():
		return nil, endedFailure(ctx, classifier.New(classifier.Draining, "the agent stops")), false
	}
}

// beginRun starts the run when the frame belongs to the offer.
func (agent *Agent) beginRun(offer *encoder.Offer, commit *encoder.Run) (*run, classifier.Failure, bool) {
	if commit == nil || commit.GetRequestId() != offer.GetRequestId() {
		return nil, classifier.New(classifier.Protocol, "no run frame for this offer"), false
	}
	return agent.startRun(offer, commit)
}

func (agent *Agent) refusal(offer *encoder.Offer, failure classifier.Failure) *encoder.Refused {
	lastReplica, alternative := agent.hints(offer, failure)
	// A redirected offer may come back and run here, so it isn't recorded as refused.
	if failure.Kind != classifier.Moved {
		agent.recordRefusal(offer, failure)
	}
	agent.mu.Lock()
	digest := agent.digest()
	digest.Strikes = agent.strikesFor(offer.GetFingerprint())
	agent.mu.Unlock()
	return agent.addOwner(&encoder.Refused{
		Where:       lastReplica,
		Room:        alternative,
		RequestId:   offer.GetRequestId(),
		Kind:        failure.Kind.String(),
		Detail:      failure.Detail,
		RetryAfter:  int64(failure.RetryAfter),
		Incarnation: agent.settings.Incarnation,
		Digest:      digest,
	})
}

func (agent *Agent) logDecision(offer *encoder.Offer, decision admitter.Decision) {
	fields := logrus.Fields{
		"request-id": offer.GetRequestId(),
		"service":    offer.GetService(),
		"team":       offer.GetTeam(),
		"chat":       offer.GetChat(),
		"outcome":    decision.Outcome.String(),
		"attempt":    offer.GetAttempt(),
	}
	if decision.Outcome == admitter.Refused {
		fields["reason"] = decision.Failure.Kind.String()
		fields["detail"] = decision.Failure.Detail
		fields["retry-after"] = decision.Failure.RetryAfter.String()
	}
	if decision.Outcome == admitter.Queued {
		fields["estimate"] = decision.EstimatedWait.String()
	}
	agent.settings.Scope.Tagged(map[string]string{"outcome": decision.Outcome.String()}).Counter("offers").Inc(1)
	agent.settings.Log.WithFields(fields).Info("admission")
}
