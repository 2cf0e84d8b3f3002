package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Ticket is one offer at the desk.
type Ticket struct {
	ID   string
	Team string
	// Weight is the team's share; zero means 1.
	Weight int
	Class  uint8
	Work   int64
	// Cold says that no prefix of the call is cached here, so that it runs as
	// well elsewhere.
	Cold bool
	// Last says that the offer goes nowhere else if it is refused here.
	Last     bool
	Arrived  timekeeper.Instant
	Deadline timekeeper.Instant
}

// Outcome is what the desk decided.
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

// Decision is a desk's answer to an offer.
type Decision struct {
	Outcome Outcome
	// Failure is the reason of a refusal, with the span after which a retry is welcome.
	Failure classifier.Failure
	// Estimate is the wait that the desk expects for the ticket.
	Estimate timekeeper.Span
	// Displaced are waiting tickets that lost their place to this one. They
	// have not run and must be told so at once.
	Displaced []Ticket
	// Load is the work held with the ticket, and Bound what the mean allowed
	// without it; a bound of zero means that none applied.
	Load  int64
	Bound int64
}

// Load is what a desk holds.
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

// Desk owns the slots and the queue of one replica.
type Desk struct {
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

// NewDesk returns an empty desk. It panics when a limit is out of its range.
func NewDesk(limits Limits) *Desk {
	return &Desk{limits: limits.checked(), running: map[string]grant{}, places: map[string]int{}}
}

const (
	badLimits    = "admitter: a desk needs a slot for each class of work"
	knownTicket  = "admitter: the ticket is at the desk already"
	detailBound  = "the replica is at its share of the service's load"
	detailQueue  = "the queue is full"
	detailWait   = "the wait would pass the deadline"
	detailPushed = "a team under its share took the place in the queue"
)

// Offer decides about a ticket at the instant of its arrival. It panics when a
// ticket of the same ID is at the desk.
//
// The order of the checks is the order of the harm they prevent: the bound
// keeps one engine from being crushed while others idle, the deadline keeps
// work from being done that nobody waits for any more, and the queue's cap
// bounds the memory and the wait of a burst that outruns the slots.
func (desk *Desk) Offer(ticket Ticket, mean Mean) Decision {
	if desk.Holds(ticket.ID) {
		panic(knownTicket)
	}
	bound := desk.bound(ticket, mean)
	if desk.work >= bound {
		return desk.refuse(classifier.AtBound, detailBound, 0)
	}
	decision := desk.seat(ticket)
	if decision.Outcome != Refused {
		decision.Load = desk.work
	}
	if bound != unbounded {
		decision.Bound = bound
	}
	return decision
}

// bound returns what the mean allows the desk to hold before the ticket.
func (desk *Desk) bound(ticket Ticket, mean Mean) int64 {
	bound := desk.limits.Bound(mean, desk.work, ticket)
	if desk.work >= bound && desk.spared(ticket, mean) {
		return unbounded
	}
	return bound
}

// Allowed returns what the mean allows the desk to hold now, and zero when the
// mean sets no bound.
func (desk *Desk) Allowed(mean Mean) int64 {
	if bound := desk.bound(Ticket{}, mean); bound != unbounded {
		return bound
	}
	return 0
}

// seat gives a ticket that is within the bound a slot or a place in the queue.
func (desk *Desk) seat(ticket Ticket) Decision {
	now := ticket.Arrived
	if len(desk.waiting) == 0 && desk.fits(ticket) {
		desk.take(ticket)
		desk.run(ticket, now)
		return Decision{Outcome: Granted}
	}
	estimate := desk.estimate(ticket, now)
	if ticket.Deadline != 0 && ticket.Deadline.Before(now.Add(estimate+desk.pace.margin())) {
		return desk.refuse(classifier.DeadlinePassed, detailWait, estimate)
	}
	displaced, ok := desk.place(ticket, now)
	if !ok {
		return desk.refuse(classifier.Overloaded, detailQueue, estimate)
	}
	// An urgent ticket may find the urgent slot free while others wait.
	if slices.ContainsFunc(desk.promote(now), func(granted Ticket) bool { return granted.ID == ticket.ID }) {
		return Decision{Outcome: Granted, Displaced: displaced}
	}
	return Decision{Outcome: Queued, Estimate: estimate, Displaced: displaced}
}

// spared reports whether the bound doesn't apply to the ticket.
//
// The failure: the mean is some time old and load has grown since. The
// symptom: every candidate holds more than it allows, and a caller is refused
// while slots are free. So an offer that goes nowhere else takes a free slot
// here; it crushes no engine, since it runs at once and joins no queue.
func (desk *Desk) spared(ticket Ticket, mean Mean) bool {
	if len(desk.running)+len(desk.waiting) < desk.limits.FreeCalls {
		return true
	}
	return ticket.Last && mean.Age > 0 && len(desk.waiting) == 0 && desk.fits(ticket)
}

// PushedOut returns the failure that a displaced ticket gets.
func (desk *Desk) PushedOut() classifier.Failure {
	return desk.refuse(classifier.Overloaded, detailPushed, 0).Failure
}

// refuse returns a refusal whose retry span grows with the expected wait.
func (desk *Desk) refuse(kind classifier.Kind, detail string, estimate timekeeper.Span) Decision {
	failure := classifier.New(kind, detail).WithRetryAfter(desk.limits.Backoff.RetryAfter(estimate))
	return Decision{Outcome: Refused, Failure: failure, Estimate: estimate}
}

// place puts the ticket into the queue. With a full queue the ticket takes the
// place of one that has less right to it, if there is one.
func (desk *Desk) place(ticket Ticket, now timekeeper.Instant) ([]Ticket, bool) {
	var displaced []Ticket
	if len(desk.waiting) >= desk.limits.QueueLength {
		at := desk.weakest(ticket, now)
		if at < 0 {
			return nil, false
		}
		displaced = []Ticket{desk.leave(at)}
		desk.work -= displaced[0].Work
	}
	desk.take(ticket)
	desk.waiting = append(desk.waiting, ticket)
	desk.places[ticket.Team]++
	return displaced, true
}

// weakest returns the position of the waiting ticket that the newcomer may
// displace, or -1.
//
// The failure: one team's surge fills the queue. The symptom: every other
// team is refused for it. So the newest ticket of the team that holds most of
// the queue for its weight gives way, but only while that team holds more than
// the newcomer's would. Inside one team the more urgent ticket wins.
func (desk *Desk) weakest(newcomer Ticket, now timekeeper.Instant) int {
	victim := desk.heaviest()
	mine := desk.held(newcomer.Team) + 1
	if victim.Team != newcomer.Team && desk.held(victim.Team)*newcomer.weight() <= mine*victim.weight() {
		victim = newcomer
	}
	found := -1
	for i := range desk.waiting {
		if desk.waiting[i].Team != victim.Team {
			continue
		}
		if found < 0 || desk.class(desk.waiting[i], now) >= desk.class(desk.waiting[found], now) {
			found = i
		}
	}
	if victim.Team != newcomer.Team || found < 0 || newcomer.Class < desk.class(desk.waiting[found], now) {
		return found
	}
	return -1
}

// heaviest returns a ticket of the team that holds most of the queue for its weight.
func (desk *Desk) heaviest() Ticket {
	var heaviest Ticket
	for i := range desk.waiting {
		ticket := desk.waiting[i]
		if desk.held(ticket.Team)*heaviest.weight() > desk.held(heaviest.Team)*ticket.weight() {
			heaviest = ticket
		}
	}
	return heaviest
}

// held returns how many places of the queue a team holds.
func (desk *Desk) held(team string) int {
	return desk.places[team]
}

// leave takes the ticket at a position out of the queue.
func (desk *Desk) leave(at int) Ticket {
	ticket := desk.waiting[at]
	desk.waiting = slices.Delete(desk.waiting, at, at+1)
	desk.places[ticket.Team]--
	if desk.places[ticket.Team] == 0 {
		delete(desk.places, ticket.Team)
	}
	return ticket
}

// Finish gives the ticket's slot back, or takes it out of the queue, and
// returns the tickets that got a slot by that. An unknown ID changes nothing.
func (desk *Desk) Finish(id string, now timekeeper.Instant) []Ticket {
	if held, ok := desk.running[id]; ok {
		delete(desk.running, id)
		desk.work -= held.ticket.Work
		if held.ticket.urgent() {
			desk.urgent--
		}
		desk.pace.note(held.ticket.Work, now.Since(held.started))
	}
	at := slices.IndexFunc(desk.waiting, func(ticket Ticket) bool { return ticket.ID == id })
	if at >= 0 {
		desk.work -= desk.leave(at).Work
	}
	return desk.promote(now)
}

// Opened notes the first byte of a running ticket's answer.
func (desk *Desk) Opened(id string, now timekeeper.Instant) {
	if held, ok := desk.running[id]; ok {
		desk.pace.open(now.Since(held.started))
	}
}

// Resize changes the limits and returns the tickets that got a slot by that.
// What runs or waits over a lower limit stays, and new offers are held to it.
func (desk *Desk) Resize(limits Limits, now timekeeper.Instant) []Ticket {
	desk.limits = limits.checked()
	return desk.promote(now)
}

// Load returns what the desk holds.
func (desk *Desk) Load() Load {
	return Load{Running: len(desk.running), Waiting: len(desk.waiting), Work: desk.work}
}

// Holds reports whether a ticket of the ID runs or waits.
func (desk *Desk) Holds(id string) bool {
	if _, ok := desk.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(desk.waiting, func(ticket Ticket) bool { return ticket.ID == id })
}

func (desk *Desk) take(ticket Ticket) {
	desk.work += ticket.Work
}

func (desk *Desk) run(ticket Ticket, now timekeeper.Instant) {
	desk.running[ticket.ID] = grant{ticket: ticket, started: now}
	if ticket.urgent() {
		desk.urgent++
	}
}

// fits reports whether a slot is free for the ticket. Some slots are kept for
// urgent work: a call can't be preempted, so without them a live caption that
// finds every slot under long batch work waits for the shortest of it.
func (desk *Desk) fits(ticket Ticket) bool {
	if ticket.urgent() {
		return len(desk.running) < desk.limits.Slots
	}
	others := len(desk.running) - desk.urgent
	return len(desk.running) < desk.limits.Slots && others < desk.limits.Slots-desk.limits.UrgentSlots
}

// weight returns the team's weight, at least 1.
func (ticket Ticket) weight() int {
	return max(1, ticket.Weight)
}

// urgent reports whether the ticket may use the slots kept for urgent work.
func (ticket Ticket) urgent() bool {
	return ticket.Class <= urgentClass
}
