package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// event returns an event about an offer, with the fields that most kinds share.
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

// admission is the load and bound by which the controller decided about an offer.
type admission struct {
	at     timekeeper.Instant
	load   int64
	bound  int64
	factor float64
}

// recordAdmission records the load and bound by which the controller decided about an
// offer; Agent.mu must be held. The slot may be granted later, from the queue, when both have
// changed.
func (agent *Agent) recordAdmission(offer *encoder.Offer, decision admitter.Decision) {
	agent.admissions[offer.GetRequestId()] = admission{
		at:     agent.settings.Clock.Now(),
		load:   decision.Load,
		bound:  decision.Bound,
		factor: agent.service.LoadFactor,
	}
}

// takeAdmission returns and deletes the recorded admission of an offer.
func (agent *Agent) takeAdmission(offer *encoder.Offer) admission {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	recorded := agent.admissions[offer.GetRequestId()]
	delete(agent.admissions, offer.GetRequestId())
	return recorded
}

// recordGrant records a granted slot, with the load and the bound by which the offer was
// accepted.
func (agent *Agent) recordGrant(offer *encoder.Offer) {
	recorded := agent.takeAdmission(offer)
	event := agent.event(recorder.Granted, offer)
	event.Work = offer.GetWork()
	event.Load, event.Bound, event.Factor = recorded.load, recorded.bound, recorded.factor
	if recorded.at < event.At {
		event.Taken = recorded.at
	}
	agent.settings.Record(event)
}

// recordRefusal records the refusal that the agent sends to the entry.
func (agent *Agent) recordRefusal(offer *encoder.Offer, failure classifier.Failure) {
	agent.takeAdmission(offer)
	event := agent.event(recorder.Refused, offer)
	event.Reason = failure.Kind.String()
	event.Ran = string(classifier.AnswerOf(failure.Kind).Ran)
	agent.settings.Record(event)
}

// recordEnd records how a run ended; the recorded load excludes the run.
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

// recordDrain records that the agent drains, or that it has drained.
func (agent *Agent) recordDrain(kind recorder.Kind) {
	agent.settings.Record(agent.event(kind, nil))
}

// Sample returns an event with the agent's load and the bound from the service's mean.
func (agent *Agent) Sample() recorder.Event {
	event := agent.event(recorder.Sampled, nil)
	mean := agent.settings.Mean()
	agent.mu.Lock()
	load := agent.controller.Load()
	event.Bound = agent.controller.WorkBound(agent.demand.Raise(mean, event.At))
	agent.mu.Unlock()
	event.Load = load.Work
	event.Count = int64(load.Running + load.Waiting)
	event.Factor = agent.currentService().LoadFactor
	event.Revision = agent.settings.Config().Revision
	return event
}
