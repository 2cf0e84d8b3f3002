package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Ticket is one offer at the controller.
type Ticket struct {
	ID   string
	Team string
	// Weight is the team's share; zero means 1.
	Weight int
	Class  uint8
	Work   int64
	// PrefixMiss says that no prefix of the call is cached here, so that it runs as
	// well elsewhere.
	PrefixMiss bool
	// LastAttempt says that the offer goes nowhere else if it is refused here.
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

// String returns the outcome's name as it stands in logs.
func (outcome Outcome) String() string {
	return [...]string{"none", "granted", "queued", "refused"}[outcome]
}

// Decision is a controller's answer to an offer.
type Decision struct {
	Outcome Outcome
	// Failure is the reason of a refusal, with the span after which a retry is welcome.
	Failure classifier.Failure
	// EstimatedWait is the wait that the controller expects for the ticket.
	EstimatedWait timekeeper.Span
	// Displaced are waiting tickets that lost their place to this one. They
	// have not run and must be told so at once.
	Displaced []Ticket
	// Load is the work held with the ticket, and Bound what the mean allowed
	// without it; a bound of zero means that none applied.
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
	// places counts the waiting tickets of each team.
	places map[string]int
	rotas  [classes]rota
	grants uint64
	pace   pace
	work   int64
	urgent int
}

// NewController returns an empty controller. It panics when a limit is out of its range.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits.checked(), running: map[string]grant{}, places: map[string]int{}}
}

const (
	badLimits    = "admitter: a controller needs a slot for each class of work"
	knownTicket  = "admitter: the ticket is at the controller already"
	detailBound  = "the replica is at its share of the service's load"
	detailQueue  = "the queue is full"
	detailWait   = "the wait would pass the deadline"
	detailPushed = "a team under its share took the place in the queue"
)

// Offer decides about a ticket at the instant of its arrival. It panics when a
// ticket of the same ID is at the controller.
//
// The order of the checks is the order of the harm they prevent: the bound
// keeps one engine from being crushed while others idle, the deadline keeps
// work from being done that nobody waits for any more, and the queue's cap
// bounds the memory and the wait of a burst that outruns the slots.
func (controller *Controller) Offer(ticket Ticket, mean Mean) Decision {
	if controller.Holds(ticket.ID) {
		panic(knownTicket)
	}
	bound := controller.bound(ticket, mean)
	if controller.work >= bound {
		return controller.refuse(classifier.AtBound, detailBound, 0)
	}
	decision := controller.seat(ticket)
	if decision.Outcome != Refused {
		decision.Load = controller.work
	}
	if bound != unbounded {
		decision.Bound = bound
	}
	return decision
}

// bound returns what the mean allows the controller to hold before the ticket.
func (controller *Controller) bound(ticket Ticket, mean Mean) int64 {
	bound := controller.limits.Bound(mean, controller.work, ticket)
	if controller.work >= bound && controller.spared(ticket, mean) {
		return unbounded
	}
	return bound
}

// WorkBound returns what the mean allows the controller to hold now, and zero when the
// mean sets no bound.
func (controller *Controller) WorkBound(mean Mean) int64 {
	if bound := controller.bound(Ticket{}, mean); bound != unbounded {
		return bound
	}
	return 0
}

// seat gives a ticket that is within the bound a slot or a place in the queue.
func (controller *Controller) seat(ticket Ticket) Decision {
	now := ticket.Arrived
	if len(controller.waiting) == 0 && controller.fits(ticket) {
		controller.take(ticket)
		controller.run(ticket, now)
		return Decision{Outcome: Granted}
	}
	estimate := controller.estimate(ticket, now)
	if ticket.Deadline != 0 && ticket.Deadline.Before(now.Add(estimate+controller.pace.margin())) {
		return controller.refuse(classifier.DeadlinePassed, detailWait, estimate)
	}
	displaced, ok := controller.place(ticket, now)
	if !ok {
		return controller.refuse(classifier.Overloaded, detailQueue, estimate)
	}
	// An urgent ticket may find the urgent slot free while others wait.
	if slices.ContainsFunc(controller.promote(now), func(granted Ticket) bool { return granted.ID == ticket.ID }) {
		return Decision{Outcome: Granted, Displaced: displaced}
	}
	return Decision{Outcome: Queued, EstimatedWait: estimate, Displaced: displaced}
}

// spared reports whether the bound doesn't apply to the ticket.
//
// The failure: the mean is some time old and load has grown since. The
// symptom: every candidate holds more than it allows, and a caller is refused
// while slots are free. So an offer that goes nowhere else takes a free slot
// here; it crushes no engine, since it runs at once and joins no queue.
func (controller *Controller) spared(ticket Ticket, mean Mean) bool {
	if len(controller.running)+len(controller.waiting) < controller.limits.FreeCalls {
		return true
	}
	return ticket.LastAttempt && mean.Age > 0 && len(controller.waiting) == 0 && controller.fits(ticket)
}

// DisplacedFailure returns the failure that a displaced ticket gets.
func (controller *Controller) DisplacedFailure() classifier.Failure {
	return controller.refuse(classifier.Overloaded, detailPushed, 0).Failure
}

// refuse returns a refusal whose retry span grows with the expected wait.
func (controller *Controller) refuse(kind classifier.Kind, detail string, estimate timekeeper.Span) Decision {
	failure := classifier.New(kind, detail).WithRetryAfter(controller.limits.Backoff.RetryAfter(estimate))
	return Decision{Outcome: Refused, Failure: failure, EstimatedWait: estimate}
}

// place puts the ticket into the queue. With a full queue the ticket takes the
// place of one that has less right to it, if there is one.
func (controller *Controller) place(ticket Ticket, now timekeeper.Instant) ([]Ticket, bool) {
	var displaced []Ticket
	if len(controller.waiting) >= controller.limits.QueueLength {
		at := controller.weakest(ticket, now)
		if at < 0 {
			return nil, false
		}
		displaced = []Ticket{controller.leave(at)}
		controller.work -= displaced[0].Work
	}
	controller.take(ticket)
	controller.waiting = append(controller.waiting, ticket)
	controller.places[ticket.Team]++
	return displaced, true
}

// weakest returns the position of the waiting ticket that the newcomer may
// displace, or -1.
//
// The failure: one team's surge fills the queue. The symptom: every other
// team is refused for it. So the newest ticket of the team that holds most of
// the queue for its weight gives way, but only while that team holds more than
// the newcomer's would. Inside one team the more urgent ticket wins.
func (controller *Controller) weakest(newcomer Ticket, now timekeeper.Instant) int {
	victim := controller.heaviest()
	mine := controller.held(newcomer.Team) + 1
	if victim.Team != newcomer.Team && controller.held(victim.Team)*newcomer.weight() <= mine*victim.weight() {
		victim = newcomer
	}
	found := -1
	for i := range controller.waiting {
		if controller.waiting[i].Team != victim.Team {
			continue
		}
		if found < 0 || controller.class(controller.waiting[i], now) >= controller.class(controller.waiting[found], now) {
			found = i
		}
	}
	if victim.Team != newcomer.Team || found < 0 || newcomer.Class < controller.class(controller.waiting[found], now) {
		return found
	}
	return -1
}

// heaviest returns a ticket of the team that holds most of the queue for its weight.
func (controller *Controller) heaviest() Ticket {
	var heaviest Ticket
	for i := range controller.waiting {
		ticket := controller.waiting[i]
		if controller.held(ticket.Team)*heaviest.weight() > controller.held(heaviest.Team)*ticket.weight() {
			heaviest = ticket
		}
	}
	return heaviest
}

// held returns how many places of the queue a team holds.
func (controller *Controller) held(team string) int {
	return controller.places[team]
}

// leave takes the ticket at a position out of the queue.
func (controller *Controller) leave(at int) Ticket {
	ticket := controller.waiting[at]
	controller.waiting = slices.Delete(controller.waiting, at, at+1)
	controller.places[ticket.Team]--
	if controller.places[ticket.Team] == 0 {
		delete(controller.places, ticket.Team)
	}
	return ticket
}

// Finish gives the ticket's slot back, or takes it out of the queue, and
// returns the tickets that got a slot by that. An unknown ID changes nothing.
func (controller *Controller) Finish(id string, now timekeeper.Instant) []Ticket {
	if held, ok := controller.running[id]; ok {
		delete(controller.running, id)
		controller.work -= held.ticket.Work
		if held.ticket.urgent() {
			controller.urgent--
		}
		controller.pace.note(held.ticket.Work, now.Since(held.started))
	}
	at := slices.IndexFunc(controller.waiting, func(ticket Ticket) bool { return ticket.ID == id })
	if at >= 0 {
		controller.work -= controller.leave(at).Work
	}
	return controller.promote(now)
}

// RecordFirstByte notes the first byte of a running ticket's answer.
func (controller *Controller) RecordFirstByte(id string, now timekeeper.Instant) {
	if held, ok := controller.running[id]; ok {
		controller.pace.open(now.Since(held.started))
	}
}

// Resize changes the limits and returns the tickets that got a slot by that.
// What runs or waits over a lower limit stays, and new offers are held to it.
func (controller *Controller) Resize(limits Limits, now timekeeper.Instant) []Ticket {
	controller.limits = limits.checked()
	return controller.promote(now)
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

func (controller *Controller) take(ticket Ticket) {
	controller.work += ticket.Work
}

func (controller *Controller) run(ticket Ticket, now timekeeper.Instant) {
	controller.running[ticket.ID] = grant{ticket: ticket, started: now}
	if ticket.urgent() {
		controller.urgent++
	}
}

// fits reports whether a slot is free for the ticket. Some slots are kept for
// urgent work: a call can't be preempted, so without them a live caption that
// finds every slot under long batch work waits for the shortest of it.
func (controller *Controller) fits(ticket Ticket) bool {
	if ticket.urgent() {
		return len(controller.running) < controller.limits.Slots
	}
	others := len(controller.running) - controller.urgent
	return len(controller.running) < controller.limits.Slots && others < controller.limits.Slots-controller.limits.UrgentSlots
}

// weight returns the team's weight, at least 1.
func (ticket Ticket) weight() int {
	return max(1, ticket.Weight)
}

// urgent reports whether the ticket may use the slots kept for urgent work.
func (ticket Ticket) urgent() bool {
	return ticket.Class <= urgentClass
}
