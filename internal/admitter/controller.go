package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Ticket is one call that is offered to the controller.
type Ticket struct {
	ID   string
	Team string
	// Weight is the team's weight in fair queuing; zero means 1.
	Weight int
	Class  uint8
	// Work is the estimated work of the call, in tokens.
	Work int64
	// PrefixMiss is true if the replica caches no prefix of the call and the call
	// may still be offered to another one, so that it runs as well there.
	PrefixMiss bool
	// LastAttempt is true if the call isn't offered to another replica after a
	// refusal by this one.
	LastAttempt bool
	Arrived     timekeeper.Instant
	Deadline    timekeeper.Instant
}

// Outcome is what the controller decided.
type Outcome uint8

// The outcomes.
const (
	Granted Outcome = iota + 1
	Queued
	Refused
)

// String returns the outcome's name for logs.
func (outcome Outcome) String() string {
	return [...]string{"none", "granted", "queued", "refused"}[outcome]
}

// Decision is a controller's answer to an offer.
type Decision struct {
	Outcome Outcome
	// Failure is the reason of a refusal, with the time after which to retry.
	Failure classifier.Failure
	// EstimatedWait is the expected time in the queue.
	EstimatedWait timekeeper.Span
	// Displaced are tickets that were removed from the queue in favour of this
	// one. They have not run; the caller must refuse them at once.
	Displaced []Ticket
	// Load is the work held, the ticket included. Bound is the limit that the mean
	// set for the work held before the ticket; a Bound of zero means that there was
	// none.
	Load  int64
	Bound int64
}

// Load is what a controller holds.
type Load struct {
	Running int
	Waiting int
	// Work is the estimated work of all tickets that run or wait, in tokens.
	Work int64
}

// grant is a ticket that holds a slot.
type grant struct {
	ticket  Ticket
	started timekeeper.Instant
}

// Controller owns the slots and the queue of one replica.
type Controller struct {
	limits  Limits
	running map[string]grant
	waiting []Ticket
	// waitingByTeam counts the waiting tickets of each team.
	waitingByTeam map[string]int
	schedulers    [classCount]scheduler
	grants        uint64
	timing        timing
	work          int64
	// urgent counts the running tickets that are urgent.
	urgent int
}

// NewController returns an empty controller. It panics when a limit is out of its range.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits.validated(), running: map[string]grant{}, waitingByTeam: map[string]int{}}
}

const (
	invalidLimits   = "admitter: Slots must be positive and exceed UrgentSlots, and QueueLength must not be negative"
	duplicateTicket = "admitter: the controller already holds a ticket with this ID"
	detailBound     = "the replica is at its share of the service's load"
	detailQueue     = "the queue is full"
	detailWait      = "the wait would pass the deadline"
	detailDisplaced = "a team under its share took the place in the queue"
)

// Offer decides about a ticket at the instant of its arrival. It panics when the
// controller holds a ticket of the same ID.
//
// The checks are ordered by the severity of what they prevent: the bound keeps
// one engine from being overloaded while others idle, the deadline keeps the
// engine from work whose caller has given up, and the queue's limit bounds memory
// and waiting time in a burst that exceeds the slots.
func (controller *Controller) Offer(ticket Ticket, mean Mean) Decision {
	if controller.Holds(ticket.ID) {
		panic(duplicateTicket)
	}
	bound := controller.bound(ticket, mean)
	if controller.work >= bound {
		return controller.refuse(classifier.AtBound, detailBound, 0)
	}
	decision := controller.admit(ticket)
	if decision.Outcome != Refused {
		decision.Load = controller.work
	}
	if bound != unbounded {
		decision.Bound = bound
	}
	return decision
}

// bound returns the limit that the mean sets for the work held before the ticket.
func (controller *Controller) bound(ticket Ticket, mean Mean) int64 {
	bound := controller.limits.Bound(mean, controller.work, ticket)
	if controller.work >= bound && controller.exemptFromBound(ticket, mean) {
		return unbounded
	}
	return bound
}

// WorkBound returns the limit that the mean sets for the work held now; zero
// means that there is no bound.
func (controller *Controller) WorkBound(mean Mean) int64 {
	if bound := controller.bound(Ticket{}, mean); bound != unbounded {
		return bound
	}
	return 0
}

// admit gives a ticket that is within the bound a slot or a place in the queue,
// or refuses it.
func (controller *Controller) admit(ticket Ticket) Decision {
	now := ticket.Arrived
	if len(controller.waiting) == 0 && controller.hasSlot(ticket) {
		controller.addWork(ticket)
		controller.start(ticket, now)
		return Decision{Outcome: Granted}
	}
	expectedWait := controller.expectedWait(ticket, now)
	if ticket.Deadline != 0 && ticket.Deadline.Before(now.Add(expectedWait+controller.timing.firstByteMargin())) {
		return controller.refuse(classifier.DeadlinePassed, detailWait, expectedWait)
	}
	displaced, ok := controller.enqueue(ticket, now)
	if !ok {
		return controller.refuse(classifier.Overloaded, detailQueue, expectedWait)
	}
	// An urgent ticket may get an urgent slot while others wait.
	if slices.ContainsFunc(controller.grantWaiting(now), func(granted Ticket) bool { return granted.ID == ticket.ID }) {
		return Decision{Outcome: Granted, Displaced: displaced}
	}
	return Decision{Outcome: Queued, EstimatedWait: expectedWait, Displaced: displaced}
}

// exemptFromBound reports whether the bound doesn't apply to the ticket. It doesn't
// apply below Limits.FreeCalls, nor, if the mean has an age and no ticket waits, to
// a last attempt that finds a free slot.
//
// When load has grown since the mean was computed, every candidate holds more
// than the outdated mean allows, and callers would be refused while slots are
// free. So a ticket on its last attempt takes a free slot here. It can't overload
// the engine, since it runs at once and doesn't queue.
func (controller *Controller) exemptFromBound(ticket Ticket, mean Mean) bool {
	if len(controller.running)+len(controller.waiting) < controller.limits.FreeCalls {
		return true
	}
	return ticket.LastAttempt && mean.Age > 0 && len(controller.waiting) == 0 && controller.hasSlot(ticket)
}

// DisplacedFailure returns the failure that a displaced ticket gets.
func (controller *Controller) DisplacedFailure() classifier.Failure {
	return controller.refuse(classifier.Overloaded, detailDisplaced, 0).Failure
}

// refuse returns a refusal whose retry delay grows with the expected wait.
func (controller *Controller) refuse(kind classifier.Kind, detail string, expectedWait timekeeper.Span) Decision {
	failure := classifier.New(kind, detail).WithRetryAfter(controller.limits.Backoff.RetryAfter(expectedWait))
	return Decision{Outcome: Refused, Failure: failure, EstimatedWait: expectedWait}
}

// enqueue puts the ticket into the queue. If the queue is full, the ticket
// displaces one of lower precedence; it returns false when there is none.
func (controller *Controller) enqueue(ticket Ticket, now timekeeper.Instant) ([]Ticket, bool) {
	var displaced []Ticket
	if len(controller.waiting) >= controller.limits.QueueLength {
		at := controller.findVictim(ticket, now)
		if at < 0 {
			return nil, false
		}
		displaced = []Ticket{controller.dequeue(at)}
		controller.work -= displaced[0].Work
	}
	controller.addWork(ticket)
	controller.waiting = append(controller.waiting, ticket)
	controller.waitingByTeam[ticket.Team]++
	return displaced, true
}

// findVictim returns the position of the waiting ticket that the newcomer may
// displace, or -1.
//
// Without displacement the surge of one team would fill the queue, and every
// other team would be refused. The team with the most waiting tickets relative to
// its weight loses its newest one of the least urgent class, but only while it
// holds more relative to its weight than the newcomer's team would. Within one
// team the more urgent ticket wins.
func (controller *Controller) findVictim(newcomer Ticket, now timekeeper.Instant) int {
	victim := controller.largestHolder()
	withNewcomer := controller.waitingOf(newcomer.Team) + 1
	if victim.Team != newcomer.Team && controller.waitingOf(victim.Team)*newcomer.weight() <= withNewcomer*victim.weight() {
		victim = newcomer
	}
	found := -1
	for i := range controller.waiting {
		if controller.waiting[i].Team != victim.Team {
			continue
		}
		if found < 0 || controller.effectiveClass(controller.waiting[i], now) >= controller.effectiveClass(controller.waiting[found], now) {
			found = i
		}
	}
	if victim.Team != newcomer.Team || found < 0 || newcomer.Class < controller.effectiveClass(controller.waiting[found], now) {
		return found
	}
	return -1
}

// largestHolder returns a ticket of the team with the most waiting tickets
// relative to its weight.
func (controller *Controller) largestHolder() Ticket {
	var largestHolder Ticket
	for i := range controller.waiting {
		ticket := controller.waiting[i]
		if controller.waitingOf(ticket.Team)*largestHolder.weight() > controller.waitingOf(largestHolder.Team)*ticket.weight() {
			largestHolder = ticket
		}
	}
	return largestHolder
}

// waitingOf returns the number of the team's waiting tickets.
func (controller *Controller) waitingOf(team string) int {
	return controller.waitingByTeam[team]
}

// dequeue removes the ticket at a position from the queue.
func (controller *Controller) dequeue(at int) Ticket {
	ticket := controller.waiting[at]
	controller.waiting = slices.Delete(controller.waiting, at, at+1)
	controller.waitingByTeam[ticket.Team]--
	if controller.waitingByTeam[ticket.Team] == 0 {
		delete(controller.waitingByTeam, ticket.Team)
	}
	return ticket
}

// Finish releases the ticket's slot, or removes the ticket from the queue, and
// returns the waiting tickets that then got a slot. An unknown ID changes nothing.
func (controller *Controller) Finish(id string, now timekeeper.Instant) []Ticket {
	if finished, ok := controller.running[id]; ok {
		delete(controller.running, id)
		controller.work -= finished.ticket.Work
		if finished.ticket.urgent() {
			controller.urgent--
		}
		controller.timing.recordCall(finished.ticket.Work, now.Since(finished.started))
	}
	at := slices.IndexFunc(controller.waiting, func(ticket Ticket) bool { return ticket.ID == id })
	if at >= 0 {
		controller.work -= controller.dequeue(at).Work
	}
	return controller.grantWaiting(now)
}

// RecordFirstByte records that a running ticket's answer has begun.
func (controller *Controller) RecordFirstByte(id string, now timekeeper.Instant) {
	if granted, ok := controller.running[id]; ok {
		controller.timing.recordFirstByte(now.Since(granted.started))
	}
}

// Resize changes the limits and returns the waiting tickets that then got a
// slot. Tickets that run or wait in excess of a lower limit stay; the new limits
// apply to new offers.
func (controller *Controller) Resize(limits Limits, now timekeeper.Instant) []Ticket {
	controller.limits = limits.validated()
	return controller.grantWaiting(now)
}

// Load returns what the controller holds.
func (controller *Controller) Load() Load {
	return Load{Running: len(controller.running), Waiting: len(controller.waiting), Work: controller.work}
}

// Holds reports whether a ticket of the ID runs or waits.
func (controller *Controller) Holds(id string) bool {
	if _, ok := controller.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(controller.waiting, func(ticket Ticket) bool { return ticket.ID == id })
}

func (controller *Controller) addWork(ticket Ticket) {
	controller.work += ticket.Work
}

func (controller *Controller) start(ticket Ticket, now timekeeper.Instant) {
	controller.running[ticket.ID] = grant{ticket: ticket, started: now}
	if ticket.urgent() {
		controller.urgent++
	}
}

// hasSlot reports whether a slot is free for the ticket. Some slots are reserved
// for urgent tickets: calls can't be preempted, so without them a live caption
// that finds all slots held by long batch calls waits until the first of these
// ends.
func (controller *Controller) hasSlot(ticket Ticket) bool {
	if ticket.urgent() {
		return len(controller.running) < controller.limits.Slots
	}
	notUrgent := len(controller.running) - controller.urgent
	return len(controller.running) < controller.limits.Slots && notUrgent < controller.limits.Slots-controller.limits.UrgentSlots
}

// weight returns the team's weight, at least 1.
func (ticket Ticket) weight() int {
	return max(1, ticket.Weight)
}

// urgent reports whether the ticket may use the slots reserved for urgent tickets.
func (ticket Ticket) urgent() bool {
	return ticket.Class <= urgentClass
}
