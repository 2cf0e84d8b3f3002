package runner

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// slotResult is the outcome of an offer that waited for a slot.
type slotResult struct {
	granted bool
	failure classifier.Failure
}

// controllerLimits returns the controller's limits for a service.
func controllerLimits(service resolver.Service, draw func() float64) admitter.Limits {
	return admitter.Limits{
		Slots:       service.Slots,
		QueueLength: service.QueueLength,
		UrgentSlots: *service.UrgentSlots,
		LoadFactor:  service.LoadFactor,
		FreeCalls:   service.FreeCalls,
		MaxMeanAge:  service.MaxMeanAge,
		Ageing:      service.Ageing,
		Backoff:     admitter.Backoff{Draw: draw},
	}
}

// decide makes the admission decision about an offer under the agent's lock.
func (agent *Agent) decide(offer *encoder.Offer, arrived timekeeper.Instant) (admitter.Decision, <-chan slotResult) {
	mean := agent.settings.Mean()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.applyConfig()
	agent.demand.Record(offer.GetEntry(), offer.GetUnderWay(), arrived)
	mean = agent.demand.Raise(mean, arrived)
	if failure, ok := agent.checkKey(offer); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	if failure, ok := agent.ineligible(offer); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	if failure, ok := agent.redirect(offer, arrived); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	decision := agent.controller.Offer(agent.ticket(offer, arrived), mean)
	agent.recordAdmission(offer, decision)
	agent.trackAdapter(offer, decision)
	for _, ticket := range decision.Displaced {
		agent.sendResult(ticket.ID, slotResult{failure: agent.controller.DisplacedFailure()})
	}
	slot := make(chan slotResult, 1)
	switch decision.Outcome {
	case admitter.Granted:
		slot <- slotResult{granted: true}
	case admitter.Queued:
		agent.queue[offer.GetRequestId()] = slot
	}
	return decision, slot
}

func (agent *Agent) ticket(offer *encoder.Offer, arrived timekeeper.Instant) admitter.Ticket {
	const lastClass = 7
	ticket := admitter.Ticket{
		ID:          offer.GetRequestId(),
		Team:        offer.GetTeam(),
		Weight:      agent.settings.Config().Teams[offer.GetTeam()].Weight,
		Class:       uint8(min(offer.GetClass(), lastClass)),
		Work:        offer.GetWork(),
		LastAttempt: offer.GetAttempt() >= placer.MaxOffers-1,
		PrefixMiss:  agent.directory.PrefixMiss(offer.GetChat(), int(offer.GetAttempt())),
		Arrived:     arrived,
	}
	if offer.GetDeadline() > 0 {
		ticket.Deadline = arrived.Add(timekeeper.Span(offer.GetDeadline()))
	}
	return ticket
}

// sendResult sends a waiting offer its result; Agent.mu must be held.
func (agent *Agent) sendResult(id string, result slotResult) {
	if slot := agent.queue[id]; slot != nil {
		delete(agent.queue, id)
		slot <- result
	}
}

// release frees a slot or a place in the queue and grants the slots that become free.
func (agent *Agent) release(id string) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.queue, id)
	delete(agent.adapters.calls, id)
	agent.keys.book.Abandon(id)
	agent.leaveGate(id)
	agent.grantSlots(agent.controller.Finish(id, now))
}

// grantSlots notifies the waiting offers that got a slot; Agent.mu must be held.
func (agent *Agent) grantSlots(tickets []admitter.Ticket) {
	for _, ticket := range tickets {
		agent.sendResult(ticket.ID, slotResult{granted: true})
	}
}

// waitForSlot waits for the offer's result. It returns false when the offer is displaced
// from the queue, the caller leaves, the deadline passes or the agent stops first. An
// offer is refused as soon as its deadline passes: nobody waits for it any more, and
// others can use its place in the queue.
func (agent *Agent) waitForSlot(
	ctx context.Context, offer *encoder.Offer, slot <-chan slotResult, inbox *inbox,
) (classifier.Failure, bool) {
	var expired <-chan timekeeper.Instant
	if deadline := timekeeper.Span(offer.GetDeadline()); deadline > 0 {
		fired, stop := agent.settings.Clock.After(deadline)
		defer stop()
		expired = fired
	}
	for {
		select {
		case result := <-slot:
			return result.failure, result.granted
		case in := <-inbox.frames:
			if inbox.callerLeft(in) {
				return classifier.New(classifier.CallerGone, "the caller left the queue"), false
			}
		case <-expired:
			failure := classifier.New(classifier.DeadlinePassed, "no slot came free in time")
			return failure.WithRetryAfter(timekeeper.Second), false
		case <-ctx.Done():
			return endedFailure(ctx, classifier.New(classifier.Draining, "the agent stops")), false
		}
	}
}

// recordFirstByte reports the first byte of a run's answer to the controller.
func (agent *Agent) recordFirstByte(id string) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.controller.RecordFirstByte(id, now)
}

// holdSlot keeps the slot of a canceled or timed-out run of a model service for UnknownHold.
//
// An engine may go on with a sequence after its client has left. If the slot were freed,
// the next call would be granted and then wait inside the engine, where priority class,
// the team's share and deadlines don't count. The agent can't see whether the engine has
// stopped, so the slot counts as taken for a bounded time, as in "Why the Next Model
// Request Still Queues After HTTP 200" (unknown occupancy is quarantined, and not
// released). The bound keeps an engine that cancels at once from losing slots for long.
func (agent *Agent) holdSlot(ctx context.Context) {
	service := agent.currentService()
	if ctx.Err() != nil && service.Kind == resolver.KindModel {
		_ = agent.settings.Clock.Sleep(context.Background(), *service.UnknownHold)
	}
}
