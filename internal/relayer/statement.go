package relayer

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// The values of the label "statement".
const (
	statementLeaving    = "leaving"
	statementBackoff    = "backoff"
	statementUnreadable = "unreadable"
	statementCold       = "cold"
)

// applyHead applies the statements that a replica makes in the answer to the task's request.
func (task *task) applyHead(replica balancer.Replica, status int, head Head) {
	task.entry.applyHead(task.call.ID, replica, status, head)
}

// applyHead applies the statements that a replica makes about itself in the head of an answer.
// Statements of another replica at its address are ignored. answerTo names the request.
func (entry *Entry) applyHead(answerTo string, replica balancer.Replica, status int, head Head) {
	if head.Misdirected || head.Replica != "" && head.Replica != replica.ID {
		return
	}
	now := entry.settings.Clock.Now()
	// The field is answer-to, not request-id, because the lines are about the replica:
	// "trefoilseam explain" shows them with each request that was at the replica around
	// that time.
	fields := logrus.Fields{
		"answer-to": answerTo, labelReplica: replica.ID, "incarnation": replica.Incarnation(),
		labelService: replica.Service, "status": status,
	}
	entry.recordLoad(replica, head, fields, now)
	if head.Leaving {
		entry.announceLeave(replica)
		entry.recordStatement(replica, fields, statementLeaving, "answer says that the replica leaves")
	}
	if head.Backoff > 0 {
		ends := now
		entry.settings.Fleet.With(func(fleet *balancer.Fleet) {
			ends = fleet.StartBackoff(replica.Incarnation(), head.Backoff, now)
		})
		fields["backoff-ms"], fields["kept-ms"] = int64(head.Backoff), int64(ends.Since(now))
		entry.recordStatement(replica, fields, statementBackoff, "answer asks for a backoff")
	}
	if head.BackoffFault != "" {
		fields["fault"] = head.BackoffFault
		entry.recordStatement(replica, fields, statementUnreadable, "backoff of an answer can't be used as it is")
	}
	if head.ColdFor > 0 {
		entry.reportCold(replica, head.ColdFor, now)
	}
}

// reportCold lowers the rate at which requests are sent to a replica that states that it is
// cold, and calls OnCold if that is new.
func (entry *Entry) reportCold(replica balancer.Replica, coldFor timekeeper.Span, now timekeeper.Instant) {
	until, changed := now, false
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { until, changed = fleet.ReportCold(replica.Key(), coldFor, now) })
	if changed {
		entry.meters.countStatement(replica.Service, statementCold)
		entry.settings.OnCold(replica, until)
	}
}

// recordStatement counts and logs a statement.
func (entry *Entry) recordStatement(replica balancer.Replica, fields logrus.Fields, statement, message string) {
	entry.meters.countStatement(replica.Service, statement)
	entry.settings.Log.WithFields(fields).Info(message)
}

// announceLeave stops sending requests to a replica that states that it leaves, and calls
// OnLeaveAnnounced the first time.
func (entry *Entry) announceLeave(replica balancer.Replica) {
	now, changed := entry.settings.Clock.Now(), false
	incarnation := replica.Incarnation()
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { changed = fleet.MarkLeaveAnnounced(incarnation, now) })
	if changed {
		entry.settings.OnLeaveAnnounced(incarnation)
	}
}
