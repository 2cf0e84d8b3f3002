package forwarder

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// ranYes is the recorded value of Ran for a call that was answered from its run.
const ranYes = "yes"

// event returns an event about a call and a replica.
func (entry *Entry) event(kind recorder.Kind, call call, instance string) recorder.Event {
	return recorder.Event{
		At:         entry.settings.Clock.Now(),
		Kind:       kind,
		Request:    call.id,
		Service:    call.service,
		Team:       call.team,
		Instance:   instance,
		Key:        recorder.KeyHash(call.team, call.service, call.key),
		Idempotent: call.idempotent,
	}
}

// recordOffer records that a call is offered, before any of its frames is sent.
func (entry *Entry) recordOffer(call call, dest destination) {
	event := entry.event(recorder.Offered, call, dest.replica.Name)
	event.Incarnation = dest.incarnation
	entry.settings.Record(event)
}

// recordFailedAttempt records that an attempt at a replica failed, or that the
// replica refused the call.
func (entry *Entry) recordFailedAttempt(call call, replica placer.Replica, failure classifier.Failure) {
	event := entry.event(recorder.Refused, call, replica.Name)
	event.Reason = failure.Kind.String()
	event.Ran = string(classifier.AnswerOf(failure.Kind).Ran)
	entry.settings.Record(event)
}

// recordRefusal records a problem that is sent to the caller.
func (entry *Entry) recordRefusal(id string, failure classifier.Failure) {
	entry.settings.Record(recorder.Event{
		At:      entry.settings.Clock.Now(),
		Kind:    recorder.Answered,
		Request: id,
		Reason:  failure.Kind.String(),
		Ran:     string(classifier.AnswerOf(failure.Kind).Ran),
	})
}

// record records an answer that was relayed to the caller, whole or cut.
func (answer *relayedAnswer) record(failure classifier.Failure, complete bool) {
	entry := answer.entry
	event := entry.event(recorder.Answered, answer.call, entry.upstreamOf(answer.head).Name)
	event.Incarnation = answer.head.GetIncarnation()
	event.Complete = complete
	event.Length = answer.length
	event.Digest = answer.digest.Sum64()
	event.Ran = ranYes
	if answer.replay {
		event.Detail = recorder.Replayed
	}
	if answer.resumed {
		event.Detail, event.Digest = recorder.Resumed, 0
	}
	if !complete {
		event.Ran = string(classifier.RanUnknown)
		event.Reason = failure.Kind.String()
	}
	entry.settings.Record(event)
}
