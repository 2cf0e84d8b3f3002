package admitter

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// effectiveClass returns the class of a waiting ticket after ageing.
//
// Batch calls would never run under a steady stream of chats, so each Ageing of
// waiting raises a ticket by one class. No ticket ages into class 0: a live
// caption must not wait behind batch calls, however old these are.
func (controller *Controller) effectiveClass(ticket Ticket, now timekeeper.Instant) uint8 {
	if ticket.Class <= bestAgedClass {
		return ticket.Class
	}
	steps := int64(now.Since(ticket.Arrived) / controller.limits.Ageing)
	return uint8(max(bestAgedClass, int64(ticket.Class)-steps))
}

// grantWaiting gives free slots to waiting tickets and returns these tickets.
func (controller *Controller) grantWaiting(now timekeeper.Instant) []Ticket {
	var granted []Ticket
	for len(controller.running) < controller.limits.Slots {
		at := controller.nextWaiting(now)
		if at < 0 {
			return granted
		}
		ticket := controller.dequeue(at)
		controller.charge(ticket, now)
		controller.start(ticket, now)
		controller.grants++
		granted = append(granted, ticket)
	}
	return granted
}

// charge charges a granted ticket to its team in the classes that it did not run
// in. Otherwise a team that sends some of its calls as urgent would get these on
// top of a full share for the rest.
func (controller *Controller) charge(ticket Ticket, now timekeeper.Instant) {
	effectiveClass := controller.effectiveClass(ticket, now)
	for i := range controller.schedulers {
		if i != int(effectiveClass) {
			controller.schedulers[i].charge(ticket.Team, ticket.Work)
		}
	}
}

// nextWaiting returns the position of the waiting ticket that runs next, or -1.
// It scans all waiting tickets, of which there are at most QueueLength.
func (controller *Controller) nextWaiting(now timekeeper.Instant) int {
	var present [classCount]bool
	for i := range controller.waiting {
		if controller.runnable(controller.waiting[i], now) {
			present[controller.effectiveClass(controller.waiting[i], now)] = true
		}
	}
	class := slices.Index(present[:], true)
	if class < 0 {
		return -1
	}
	// A flood of calls that all claim to be urgent would starve the others, as no
	// ticket ages into class 0. One grant in agedGrantInterval goes to an aged
	// ticket instead, so that an urgent one finds at most one aged ticket ahead.
	if class <= urgentClass && present[bestAgedClass] && controller.grants%agedGrantInterval == agedGrantInterval-1 {
		class = bestAgedClass
	}
	var heads []head
	for i := range controller.waiting {
		ticket := controller.waiting[i]
		if !controller.runnable(ticket, now) || int(controller.effectiveClass(ticket, now)) != class {
			continue
		}
		if !slices.ContainsFunc(heads, func(head head) bool { return head.team == ticket.Team }) {
			heads = append(heads, head{team: ticket.Team, weight: ticket.weight(), work: ticket.Work, at: i})
		}
	}
	return controller.schedulers[class].next(heads).at
}

// runnable reports whether a slot is free for a waiting ticket and its deadline
// leaves time for the first byte. At saturation every ticket is granted near its
// deadline, so without the margin for the upstream's time to the first byte most
// grants would come too late for their callers.
func (controller *Controller) runnable(ticket Ticket, now timekeeper.Instant) bool {
	return controller.hasSlot(ticket) && (ticket.Deadline == 0 || !ticket.Deadline.Before(now.Add(controller.timing.firstByteMargin())))
}

// head is the first waiting ticket of a team in one class.
type head struct {
	team   string
	weight int
	work   int64
	at     int
}

// account holds the deficit of a team.
type account struct {
	team    string
	deficit int64
}

// scheduler is a deficit round robin (Shreedhar and Varghese, 1996) over the
// teams that wait in one class. Each round adds to a team's deficit in proportion
// to its weight, and a ticket runs when the deficit covers its work. So a team
// with many or long calls gets no more than its share.
type scheduler struct {
	accounts []account
}

// next selects the head that runs next. There must be at least one head.
func (scheduler *scheduler) next(heads []head) head {
	scheduler.syncAccounts(heads)
	// The largest work is the quantum, so that a team without debt can run a
	// ticket after one addition, and the loop ends within two rounds plus those
	// in which teams pay off debt.
	quantum := int64(1)
	for _, head := range heads {
		quantum = max(quantum, head.work)
	}
	for {
		front := &scheduler.accounts[0]
		head := headOf(heads, front.team)
		if front.deficit >= head.work {
			front.deficit -= head.work
			return head
		}
		front.deficit += quantum * int64(head.weight)
		scheduler.accounts = append(scheduler.accounts[1:], scheduler.accounts[0])
	}
}

// maxDebt is the largest debt of a team, as a multiple of the work charged last.
// It bounds the rounds of next, and how long a surge counts against a team.
const maxDebt = 8

// charge lowers the deficit of a team by the work that it ran in another class.
func (scheduler *scheduler) charge(team string, work int64) {
	for i := range scheduler.accounts {
		if scheduler.accounts[i].team == team {
			scheduler.accounts[i].deficit = max(scheduler.accounts[i].deficit-work, -maxDebt*work)
		}
	}
}

// syncAccounts removes the accounts of teams that no longer wait and adds those of
// teams that newly do. A team that is removed loses its deficit, so no team can
// save up for a burst.
func (scheduler *scheduler) syncAccounts(heads []head) {
	scheduler.accounts = slices.DeleteFunc(scheduler.accounts, func(account account) bool {
		return !slices.ContainsFunc(heads, func(head head) bool { return head.team == account.team })
	})
	for _, head := range heads {
		if !slices.ContainsFunc(scheduler.accounts, func(account account) bool { return account.team == head.team }) {
			scheduler.accounts = append(scheduler.accounts, account{team: head.team})
		}
	}
}

func headOf(heads []head, team string) head {
	at := slices.IndexFunc(heads, func(head head) bool { return head.team == team })
	return heads[at]
}

// expectedWait returns the expected time in the queue of a ticket that joins it.
//
// A ticket waits for all work of more urgent classes. Within its class it waits
// for at most all the work ahead of it, and by the round robin for at most its
// own team's work divided by the team's share of the weights. The lesser of the
// two counts, so that another team's surge doesn't get a small team refused.
// Ageing raises the ticket's class while it waits; the class that it has halfway
// to its deadline is used for the whole wait.
func (controller *Controller) expectedWait(ticket Ticket, now timekeeper.Instant) timekeeper.Span {
	var before, same, own int64
	reached := ticket.Class
	if ticket.Deadline != 0 {
		reached = controller.effectiveClass(ticket, now.Add(ticket.Deadline.Since(now)/2))
	}
	weights := map[string]int{ticket.Team: ticket.weight()}
	for i := range controller.waiting {
		other := controller.waiting[i]
		switch effectiveClass := controller.effectiveClass(other, now); {
		case effectiveClass < reached:
			before += other.Work
		case effectiveClass <= ticket.Class:
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
	return controller.timing.timeFor(before+min(same, fair), controller.limits.Slots) + controller.timing.untilFreeSlot(len(controller.running))
}

// timing holds exponentially weighted moving averages of the replica's times, in
// milliseconds.
type timing struct {
	// perToken is the time that a slot takes for one token of work.
	perToken float64
	// callTime is the time that a call holds its slot.
	callTime float64
	// firstByte is the time from a grant to the first byte of the answer.
	firstByte float64
}

// smoothing is the reciprocal of the weight of a new sample in the moving
// averages. Within about a dozen calls the averages follow an engine that has
// become slower.
const smoothing = 8

// recordFirstByte adds the time from a grant to the first byte.
func (timing *timing) recordFirstByte(took timekeeper.Span) {
	timing.firstByte += (float64(took) - timing.firstByte) / smoothing
}

// firstByteMargin returns twice the average time to the first byte, since about
// half of the calls take longer than the average.
func (timing *timing) firstByteMargin() timekeeper.Span {
	const safety = 2
	return timekeeper.Span(safety * timing.firstByte)
}

// recordCall adds the time of a finished call.
func (timing *timing) recordCall(work int64, took timekeeper.Span) {
	sample := float64(took) / float64(max(1, work))
	if timing.callTime == 0 {
		timing.perToken, timing.callTime = sample, float64(took)
		return
	}
	timing.perToken += (sample - timing.perToken) / smoothing
	timing.callTime += (float64(took) - timing.callTime) / smoothing
}

// timeFor returns how long the slots together take for the work.
func (timing *timing) timeFor(work int64, slots int) timekeeper.Span {
	return timekeeper.Span(timing.perToken * float64(work) / float64(slots))
}

// untilFreeSlot returns the expected time until one of the n running calls ends:
// each is at a random point, so the earliest ends after 1/(n+1) of the average
// call time.
func (timing *timing) untilFreeSlot(running int) timekeeper.Span {
	return timekeeper.Span(timing.callTime / float64(running+1))
}
