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

// verdict is what became of an offer that waited for a slot.
type verdict struct {
	granted bool
	failure classifier.Failure
}

// limitsOf returns the limits of a service's controllers.
func limitsOf(service resolver.Service, draw func() float64) admitter.Limits {
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

// decide asks the controller about an offer under the agent's lock.
func (agent *Agent) decide(offer *encoder.Offer, arrived timekeeper.Instant) (admitter.Decision, <-chan verdict) {
	mean := agent.settings.Mean()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.adopt()
	agent.demand.Record(offer.GetEntry(), offer.GetUnderWay(), arrived)
	mean = agent.demand.Raise(mean, arrived)
	if failure, ok := agent.bound(offer); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	if failure, ok := agent.unfit(offer); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	if failure, ok := agent.elsewhere(offer, arrived); ok {
		return admitter.Decision{Outcome: admitter.Refused, Failure: failure}, nil
	}
	decision := agent.controller.Offer(agent.ticket(offer, arrived), mean)
	agent.noteLoad(offer, decision)
	agent.noteAdapter(offer, decision)
	for _, ticket := range decision.Displaced {
		agent.tell(ticket.ID, verdict{failure: agent.controller.DisplacedFailure()})
	}
	slot := make(chan verdict, 1)
	switch decision.Outcome {
	case admitter.Granted:
		slot <- verdict{granted: true}
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
		PrefixMiss:  agent.places.PrefixMiss(offer.GetChat(), int(offer.GetAttempt())),
		Arrived:     arrived,
	}
	if offer.GetDeadline() > 0 {
		ticket.Deadline = arrived.Add(timekeeper.Span(offer.GetDeadline()))
	}
	return ticket
}

// tell gives a waiting offer its verdict; the lock must be held.
func (agent *Agent) tell(id string, verdict verdict) {
	if slot := agent.queue[id]; slot != nil {
		delete(agent.queue, id)
		slot <- verdict
	}
}

// release gives a slot or a place in the queue back and wakes who gets it.
func (agent *Agent) release(id string) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.queue, id)
	delete(agent.adapters.calls, id)
	agent.keys.book.Abandon(id)
	agent.leaveGate(id)
	agent.wake(agent.controller.Finish(id, now))
}

// wake tells the tickets that got a slot; the lock must be held.
func (agent *Agent) wake(tickets []admitter.Ticket) {
	for _, ticket := range tickets {
		agent.tell(ticket.ID, verdict{granted: true})
	}
}

// waitForSlot waits until the offer has its verdict. It returns false when
// the caller leaves, its deadline passes, or the agent stops before. An offer
// past its deadline is refused at that instant: nobody waits for it any more,
// and its place is worth something to others.
func (agent *Agent) waitForSlot(
	ctx context.Context, offer *encoder.Offer, slot <-chan verdict, inbox *inbox,
) (classifier.Failure, bool) {
	var late <-chan timekeeper.Instant
	if deadline := timekeeper.Span(offer.GetDeadline()); deadline > 0 {
		fired, stop := agent.settings.Clock.After(deadline)
		defer stop()
		late = fired
	}
	for {
		select {
		case verdict := <-slot:
			return verdict.failure, verdict.granted
		case in := <-inbox.frames:
			if inbox.gone(in) {
				return classifier.New(classifier.CallerGone, "the caller left the queue"), false
			}
		case <-late:
			failure := classifier.New(classifier.DeadlinePassed, "no slot came free in time")
			return failure.WithRetryAfter(timekeeper.Second), false
		case <-ctx.Done():
			return classifier.New(classifier.Draining, "the agent stops"), false
		}
	}
}

// opened tells the controller that a run's first byte is there.
func (agent *Agent) opened(id string) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.controller.RecordFirstByte(id, now)
}

// hold keeps the slot of a cancelled run for a while.
//
// The failure: an engine goes on with a sequence after its client has left, so
// the slot looks free while the engine is full. The symptom: the next call is
// granted and then waits inside the engine, where no class, no team's share and
// no deadline counts. Whether the engine has ended can't be seen, so the slot
// counts as taken for a bounded time, as in "Why the Next Model Request Still
// Queues After HTTP 200" (unknown occupancy is quarantined, and not released).
// The bound keeps an engine that cancels at once from losing slots for long.
func (agent *Agent) hold(ctx context.Context) {
	service := agent.serviceNow()
	if ctx.Err() != nil && service.Kind == resolver.KindModel {
		_ = agent.settings.Clock.Sleep(context.Background(), *service.UnknownHold)
	}
}
