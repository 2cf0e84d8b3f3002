package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Limits bound what a desk admits. All must be positive.
type Limits struct {
	// Slots is how many calls run at once.
	Slots int
	// QueueLength is how many calls wait at most.
	QueueLength int
}

// Ticket is one offer at the desk.
type Ticket struct {
	ID       string
	Team     string
	Weight   int
	Class    uint8
	Work     int64
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
	Outcome  Outcome
	Failure  classifier.Failure
	Estimate timekeeper.Span
}

// Load is what a desk holds.
type Load struct {
	Running int
	Waiting int
	// Work is the estimated work of all tickets that run or wait, in tokens.
	Work int64
}

// Desk owns the slots and the queue of one replica.
type Desk struct {
	limits  Limits
	running map[string]Ticket
	waiting []Ticket
}

// NewDesk returns an empty desk. It panics when a limit is not positive.
func NewDesk(limits Limits) *Desk {
	if limits.Slots <= 0 || limits.QueueLength < 0 {
		panic(badLimits)
	}
	return &Desk{limits: limits, running: map[string]Ticket{}}
}

const badLimits = "admitter: a desk needs at least one slot"

// Offer decides about a ticket.
func (desk *Desk) Offer(ticket Ticket) Decision {
	if len(desk.running) < desk.limits.Slots && len(desk.waiting) == 0 {
		desk.running[ticket.ID] = ticket
		return Decision{Outcome: Granted}
	}
	// The cap is for a burst that outruns the slots: without it the queue grows
	// until every caller in it has passed its deadline and all work is wasted.
	if len(desk.waiting) >= desk.limits.QueueLength {
		failure := classifier.New(classifier.Overloaded, "the queue is full")
		return Decision{Outcome: Refused, Failure: failure.WithRetryAfter(timekeeper.Second)}
	}
	desk.waiting = append(desk.waiting, ticket)
	return Decision{Outcome: Queued}
}

// Finish gives the ticket's slot back, or takes it out of the queue, and
// returns the tickets that got a slot by that.
func (desk *Desk) Finish(id string) []Ticket {
	delete(desk.running, id)
	desk.waiting = slices.DeleteFunc(desk.waiting, func(ticket Ticket) bool { return ticket.ID == id })
	return desk.promote()
}

// Resize changes the limits and returns the tickets that got a slot by that.
// What runs or waits over a lower limit stays, and new offers are held to it.
func (desk *Desk) Resize(limits Limits) []Ticket {
	if limits.Slots <= 0 || limits.QueueLength < 0 {
		panic(badLimits)
	}
	desk.limits = limits
	return desk.promote()
}

func (desk *Desk) promote() []Ticket {
	var granted []Ticket
	for len(desk.waiting) > 0 && len(desk.running) < desk.limits.Slots {
		next := desk.waiting[0]
		desk.waiting = desk.waiting[1:]
		desk.running[next.ID] = next
		granted = append(granted, next)
	}
	return granted
}

// Load returns what the desk holds.
func (desk *Desk) Load() Load {
	load := Load{Running: len(desk.running), Waiting: len(desk.waiting)}
	for _, ticket := range desk.running {
		load.Work += ticket.Work
	}
	for _, ticket := range desk.waiting {
		load.Work += ticket.Work
	}
	return load
}
