package relayer

import (
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// answerGrace extends the deadline of a request, so that an answer that the
	// replica itself gives at the deadline still arrives. Callers must be answered
	// half a second after the deadline at the latest.
	answerGrace = 150 * timekeeper.Millisecond
	// answerMargin is how long before the time that its caller waits a request ends at
	// replicas, and maxMarginShare bounds it by a share of that time. The final answer
	// follows within half of it: a caller that leaves first gets none.
	answerMargin   = 100 * timekeeper.Millisecond
	maxMarginShare = 0.1
	// defaultTimeout bounds a request when neither caller nor route sets a timeout.
	defaultTimeout = timekeeper.Minute
)

// timeout returns the time in which replicas may answer the request.
func (task *task) timeout() timekeeper.Span {
	span := defaultTimeout
	if task.route.Timeout > 0 {
		span = min(span, task.route.Timeout)
	}
	if task.call.Deadline > 0 {
		span = min(span, task.call.Deadline-task.answerMargin())
	}
	return span
}

// answerMargin returns answerMargin, or less if the caller's deadline is short.
func (task *task) answerMargin() timekeeper.Span {
	return min(answerMargin, timekeeper.Span(maxMarginShare*float64(task.call.Deadline)))
}

// setDeadlines sets until and endsAt. The time starts at the request's head, so a slow body uses up
// part of it.
func (task *task) setDeadlines() {
	task.until = task.arrived.Add(task.timeout())
	task.endsAt = task.until.Add(answerGrace)
	if task.call.Deadline > 0 {
		task.endsAt = min(task.endsAt, task.arrived.Add(task.call.Deadline-task.answerMargin()/2))
	}
}

// remaining returns the time left until the final answer.
func (task *task) remaining(now timekeeper.Instant) timekeeper.Span { return task.endsAt.Since(now) }

// errTooLate is returned for a request whose answer the entry would hardly pass on in time.
var errTooLate = eris.New("the entry is too far behind to pass on an answer in time")

// isTooLate reports whether the entry lags so far behind that the answer would reach the caller after
// its time is over. What the entry reads has waited for as long as its timers are late: the request may
// have before it arrived, and the answer will.
func (task *task) isTooLate(placement *balancer.Placement) bool {
	late := task.entry.shedder.lateness()
	if late < minShedLateness || task.headCopied {
		return false
	}
	return task.until.Since(task.entry.settings.Clock.Now()) <= 2*late+placement.Expected
}
