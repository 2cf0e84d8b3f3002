package relayer

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
)

// The values of the label "statement".
const (
	statementLeaving    = "leaving"
	statementBackoff    = "backoff"
	statementUnreadable = "unreadable"
)

// applyHead applies the statements that a replica makes about itself in the head of an answer.
// Statements of another replica at its address are ignored.
func (task *task) applyHead(replica balancer.Replica, status int, head Head) {
	if head.Misdirected {
		return
	}
	now := task.entry.settings.Clock.Now()
	if head.Load != nil {
		task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.RecordReport(replica.ID, *head.Load, now) })
	}
	// The field is answer-to, not request-id, because the lines are about the replica:
	// "trefoilseam explain" shows them with each request that was at the replica around
	// that time.
	fields := logrus.Fields{
		"answer-to": task.call.ID, labelReplica: replica.ID, "incarnation": replica.Incarnation(),
		labelService: replica.Service, "status": status,
	}
	if head.Leaving {
		task.entry.announceLeave(replica)
		task.recordStatement(fields, statementLeaving, "answer says that the replica leaves")
	}
	if head.Backoff > 0 {
		ends := now
		task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) {
			ends = fleet.StartBackoff(replica.Incarnation(), head.Backoff, now)
		})
		fields["backoff-ms"], fields["kept-ms"] = int64(head.Backoff), int64(ends.Since(now))
		task.recordStatement(fields, statementBackoff, "answer asks for a backoff")
	}
	if head.BackoffFault != "" {
		fields["fault"] = head.BackoffFault
		task.recordStatement(fields, statementUnreadable, "backoff of an answer can't be used as it is")
	}
}

// recordStatement counts and logs a statement.
func (task *task) recordStatement(fields logrus.Fields, statement, message string) {
	task.entry.meters.countStatement(task.service, statement)
	task.entry.settings.Log.WithFields(fields).Info(message)
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
