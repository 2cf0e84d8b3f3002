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

// hear takes in what the head of an answer says of the replica that gave it. What another
// replica at its address says is not about it.
func (task *task) hear(replica balancer.Replica, status int, head Head) {
	if head.Misdirected {
		return
	}
	now := task.entry.settings.Clock.Now()
	if head.Load != nil {
		task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.RecordReport(replica.ID, *head.Load, now) })
	}
	// The lines are about the replica: the story of each request that met it has them.
	fields := logrus.Fields{
		"answer-to": task.call.ID, labelReplica: replica.ID, "incarnation": replica.Incarnation(),
		labelService: replica.Service, "status": status,
	}
	if head.Leaving {
		task.entry.announceLeave(replica)
		task.state(fields, statementLeaving, "answer says that the replica leaves")
	}
	if head.Backoff > 0 {
		ends := now
		task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) {
			ends = fleet.StartBackoff(replica.Incarnation(), head.Backoff, now)
		})
		fields["backoff-ms"], fields["kept-ms"] = int64(head.Backoff), int64(ends.Since(now))
		task.state(fields, statementBackoff, "answer asks for a backoff")
	}
	if head.BackoffFault != "" {
		fields["fault"] = head.BackoffFault
		task.state(fields, statementUnreadable, "backoff of an answer can't be used as it is")
	}
}

// state logs and counts a statement.
func (task *task) state(fields logrus.Fields, statement, message string) {
	task.entry.meters.stated(task.service, statement)
	task.entry.settings.Log.WithFields(fields).Info(message)
}

// announceLeave closes a replica that has said that it leaves, and tells peers once.
func (entry *Entry) announceLeave(replica balancer.Replica) {
	now, news := entry.settings.Clock.Now(), false
	incarnation := replica.Incarnation()
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { news = fleet.AnnounceLeave(incarnation, now) })
	if news {
		entry.settings.OnLeaveAnnounced(incarnation)
	}
}
