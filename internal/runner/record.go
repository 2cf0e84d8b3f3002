package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// event returns an event about an offer, with what most kinds share.
func (agent *Agent) event(kind recorder.Kind, offer *encoder.Offer) recorder.Event {
	return recorder.Event{
		At:          agent.settings.Clock.Now(),
		Kind:        kind,
		Request:     offer.GetRequestId(),
		Service:     agent.settings.Service,
		Team:        offer.GetTeam(),
		Instance:    agent.settings.Name,
		Incarnation: agent.settings.Incarnation,
		Key:         recorder.KeyHash(offer.GetTeam(), agent.settings.Service, offer.GetKey()),
		Fingerprint: offer.GetFingerprint(),
		Idempotent:  offer.GetIdempotent(),
	}
}

// weighing is what the controller went by when it took an offer.
type weighing struct {
	at     timekeeper.Instant
	load   int64
	bound  int64
	factor float64
}

// noteLoad notes by which load and bound the controller took an offer; the lock must
// be held. The slot may be given later, from the queue, when both are others.
func (agent *Agent) noteLoad(offer *encoder.Offer, decision admitter.Decision) {
	agent.weighed[offer.GetRequestId()] = weighing{
		at:     agent.settings.Clock.Now(),
		load:   decision.Load,
		bound:  decision.Bound,
		factor: agent.service.LoadFactor,
	}
}

// weighingOf returns and forgets what was noted for an offer.
func (agent *Agent) weighingOf(offer *encoder.Offer) weighing {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	noted := agent.weighed[offer.GetRequestId()]
	delete(agent.weighed, offer.GetRequestId())
	return noted
}

// recordGrant records a slot that was given, with the load and the bound by
// which the offer was taken.
func (agent *Agent) recordGrant(offer *encoder.Offer) {
	noted := agent.weighingOf(offer)
	event := agent.event(recorder.Granted, offer)
	event.Work = offer.GetWork()
	event.Load, event.Bound, event.Factor = noted.load, noted.bound, noted.factor
	if noted.at < event.At {
		event.Taken = noted.at
	}
	agent.settings.Record(event)
}

// recordRefusal records what the agent told the entry.
func (agent *Agent) recordRefusal(offer *encoder.Offer, failure classifier.Failure) {
	agent.weighingOf(offer)
	event := agent.event(recorder.Refused, offer)
	event.Reason = failure.Kind.String()
	event.Ran = string(classifier.AnswerOf(failure.Kind).Ran)
	agent.settings.Record(event)
}

// recordEnd records how a run ended; the load is what stays when it is gone.
func (agent *Agent) recordEnd(offer *encoder.Offer, answer *replayer.Answer) {
	event := agent.event(recorder.Ended, offer)
	end := answer.End()
	event.Complete = end.GetComplete()
	event.Length = end.GetLength()
	event.Digest = end.GetDigest()
	event.Reason = end.GetKind()
	if event.Reason != "" {
		event.Ran = string(classifier.AnswerOf(classifier.KindOf(event.Reason)).Ran)
	}
	agent.mu.Lock()
	event.Load = agent.controller.Load().Work - offer.GetWork()
	agent.mu.Unlock()
	agent.settings.Record(event)
}

// recordLeaving records that the agent drains, or that it has drained.
func (agent *Agent) recordLeaving(kind recorder.Kind) {
	agent.settings.Record(agent.event(kind, nil))
}

// Sample returns the event that tells the agent's load beside the mean of its
// service.
func (agent *Agent) Sample() recorder.Event {
	event := agent.event(recorder.Sampled, nil)
	mean := agent.settings.Mean()
	agent.mu.Lock()
	load := agent.controller.Load()
	event.Bound = agent.controller.WorkBound(agent.demand.Raise(mean, event.At))
	agent.mu.Unlock()
	event.Load = load.Work
	event.Count = int64(load.Running + load.Waiting)
	event.Factor = agent.serviceNow().LoadFactor
	event.Revision = agent.settings.Config().Revision
	return event
}
