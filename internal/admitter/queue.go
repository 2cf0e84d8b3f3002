package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// class returns the class of a waiting ticket after ageing.
//
// Batch work under a steady stream of chats would never run, so each Ageing of
// waiting lifts a ticket by one class. It never reaches class 0: a live caption
// is not to wait behind batch work, however old that is.
func (controller *Controller) class(ticket Ticket, now timekeeper.Instant) uint8 {
	if ticket.Class <= agedClass {
		return ticket.Class
	}
	steps := int64(now.Since(ticket.Arrived) / controller.limits.Ageing)
	return uint8(max(agedClass, int64(ticket.Class)-steps))
}

// promote gives free slots to waiting tickets and returns who got one.
func (controller *Controller) promote(now timekeeper.Instant) []Ticket {
	var granted []Ticket
	for len(controller.running) < controller.limits.Slots {
		at := controller.next(now)
		if at < 0 {
			return granted
		}
		ticket := controller.leave(at)
		controller.charge(ticket, now)
		controller.run(ticket, now)
		controller.grants++
		granted = append(granted, ticket)
	}
	return granted
}

// charge counts a ticket against its team in the classes that it did not run
// in. Without it a team that sends a part of its work as urgent gets that part
// on top of a full share of the rest.
func (controller *Controller) charge(ticket Ticket, now timekeeper.Instant) {
	class := controller.class(ticket, now)
	for i := range controller.rotas {
		if i != int(class) {
			controller.rotas[i].charge(ticket.Team, ticket.Work)
		}
	}
}

// next returns the position of the waiting ticket that runs next, or -1. It
// looks at each waiting ticket, of which there are at most QueueLength.
func (controller *Controller) next(now timekeeper.Instant) int {
	var present [classes]bool
	for i := range controller.waiting {
		if controller.ready(controller.waiting[i], now) {
			present[controller.class(controller.waiting[i], now)] = true
		}
	}
	best := slices.Index(present[:], true)
	if best < 0 {
		return -1
	}
	// A flood of calls that all claim to be live would starve the rest, which
	// never age into class 0. One grant in agedShare goes to aged work, so a
	// caption finds at most that one ahead of it.
	if best <= urgentClass && present[agedClass] && controller.grants%agedShare == agedShare-1 {
		best = agedClass
	}
	var heads []head
	for i := range controller.waiting {
		ticket := controller.waiting[i]
		if !controller.ready(ticket, now) || int(controller.class(ticket, now)) != best {
			continue
		}
		if !slices.ContainsFunc(heads, func(head head) bool { return head.team == ticket.Team }) {
			heads = append(heads, head{team: ticket.Team, weight: ticket.weight(), work: ticket.Work, at: i})
		}
	}
	return controller.rotas[best].pick(heads).at
}

// ready reports whether a waiting ticket may run now: a slot is free for it
// and its caller will still be there for the first byte. At saturation every
// ticket is granted near its deadline, so without the margin for the upstream's
// own time to the first byte most grants would be too late for their callers.
func (controller *Controller) ready(ticket Ticket, now timekeeper.Instant) bool {
	return controller.fits(ticket) && (ticket.Deadline == 0 || !ticket.Deadline.Before(now.Add(controller.pace.margin())))
}

// head is the first waiting ticket of a team in one class.
type head struct {
	team   string
	weight int
	work   int64
	at     int
}

// turn is a team's place in a rota.
type turn struct {
	team    string
	deficit int64
}

// rota is deficit round robin (Shreedhar and Varghese, 1996) between the teams
// that wait in one class. A team's turn adds to its deficit in proportion to
// its weight, and a ticket runs when the deficit covers its work. So a team of
// many or of long calls gets no more than its share.
type rota struct {
	turns []turn
}

// pick chooses among the heads, of which there must be at least one.
func (rota *rota) pick(heads []head) head {
	rota.meet(heads)
	// With the largest work as the quantum, each turn pays for one ticket at
	// least, so the loop ends within two rounds and those that pay a debt.
	quantum := int64(1)
	for _, head := range heads {
		quantum = max(quantum, head.work)
	}
	for {
		front := &rota.turns[0]
		head := headOf(heads, front.team)
		if front.deficit >= head.work {
			front.deficit -= head.work
			return head
		}
		front.deficit += quantum * int64(head.weight)
		rota.turns = append(rota.turns[1:], rota.turns[0])
	}
}

// mostDebt is how many quanta of debt a team may have. It bounds the rounds of
// a pick, and how long a surge is held against a team.
const mostDebt = 8

// charge lowers the deficit of a team that ran elsewhere.
func (rota *rota) charge(team string, work int64) {
	for i := range rota.turns {
		if rota.turns[i].team == team {
			rota.turns[i].deficit = max(rota.turns[i].deficit-work, -mostDebt*work)
		}
	}
}

// meet drops teams that no longer wait and adds those that newly do. A team
// that leaves loses its deficit, so nobody saves up for a burst.
func (rota *rota) meet(heads []head) {
	rota.turns = slices.DeleteFunc(rota.turns, func(turn turn) bool {
		return !slices.ContainsFunc(heads, func(head head) bool { return head.team == turn.team })
	})
	for _, head := range heads {
		if !slices.ContainsFunc(rota.turns, func(turn turn) bool { return turn.team == head.team }) {
			rota.turns = append(rota.turns, turn{team: head.team})
		}
	}
}

func headOf(heads []head, team string) head {
	at := slices.IndexFunc(heads, func(head head) bool { return head.team == team })
	return heads[at]
}

// estimate returns the wait that a ticket must expect if it joins the queue.
//
// In its own class a ticket waits for at most all the work before it, and by
// the rota for at most the work of its own team times the others' weights. The
// lesser of the two counts, so that a surge elsewhere doesn't get a small team
// refused. By ageing the ticket moves up while it waits; the class that it
// reaches halfway to its deadline stands for all of the wait.
func (controller *Controller) estimate(ticket Ticket, now timekeeper.Instant) timekeeper.Span {
	var before, same, own int64
	reached := ticket.Class
	if ticket.Deadline != 0 {
		reached = controller.class(ticket, now.Add(ticket.Deadline.Since(now)/2))
	}
	weights := map[string]int{ticket.Team: ticket.weight()}
	for i := range controller.waiting {
		other := controller.waiting[i]
		switch class := controller.class(other, now); {
		case class < reached:
			before += other.Work
		case class <= ticket.Class:
			same += other.Work
			weights[other.Team] = other.weight()
			if other.Team == ticket.Team {
				own += other.Work
			}
		}
	}
	total := 0
	for _, weight := range weights {
		total += weight
	}
	fair := (own + ticket.Work) * int64(total) / int64(ticket.weight())
	return controller.pace.span(before+min(same, fair), controller.limits.Slots) + controller.pace.first(len(controller.running))
}

// pace is the measured speed of the replica.
type pace struct {
	// perToken is the milliseconds that a slot takes for one token of work.
	perToken float64
	// length is the milliseconds that a call holds its slot.
	length float64
	// lead is the milliseconds from a grant to the first byte.
	lead float64
}

// paceShare is one in how many: what a finished call counts for in the pace. The
// estimate follows an engine that turns slow within about a dozen calls.
const paceShare = 8

// open takes in the time from a grant to the first byte.
func (pace *pace) open(took timekeeper.Span) {
	pace.lead += (float64(took) - pace.lead) / paceShare
}

// margin is twice the usual time to the first byte, since half of the calls
// take longer than usual.
func (pace *pace) margin() timekeeper.Span {
	const safety = 2
	return timekeeper.Span(safety * pace.lead)
}

// note takes in a finished call.
func (pace *pace) note(work int64, took timekeeper.Span) {
	speed := float64(took) / float64(max(1, work))
	if pace.length == 0 {
		pace.perToken, pace.length = speed, float64(took)
		return
	}
	pace.perToken += (speed - pace.perToken) / paceShare
	pace.length += (float64(took) - pace.length) / paceShare
}

// span returns how long the slots take for the work together.
func (pace *pace) span(work int64, slots int) timekeeper.Span {
	return timekeeper.Span(pace.perToken * float64(work) / float64(slots))
}

// first returns how long it takes until the first of the running calls ends:
// of n calls under way, each at a random point, the first ends after 1/(n+1).
func (pace *pace) first(running int) timekeeper.Span {
	return timekeeper.Span(pace.length / float64(running+1))
}
