package balancer

import (
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Access is how much work a replica may get.
type Access uint8

const (
	// Open replicas get any work.
	Open Access = iota + 1
	// Limited replicas get work up to a rate.
	Limited
	// Closed replicas get no work.
	Closed
)

// String returns the name of the access level for logs.
func (access Access) String() string {
	return [...]string{"", "open", "limited", "closed"}[access]
}

// Cause is why a replica isn't open.
type Cause string

// The causes, highest precedence first. The zero value belongs to Open.
const (
	// Leaving means that the list or a peer reports that the replica leaves.
	Leaving Cause = "leaving"
	// LeaveRetained means that the replica left, or said that it leaves, before the store came
	// back from a copy.
	LeaveRetained Cause = "leave-retained"
	// LeaveAnnounced means that the replica announced its leave in an answer.
	LeaveAnnounced Cause = "leave-announced"
	// Evacuated means that operators have evacuated the replica's data centre.
	Evacuated Cause = "evacuated"
	// BackingOff means that the replica refused a request and asked this entry to back off.
	BackingOff Cause = "backing-off"
	// NoConnection means that the replica accepted no connection and gets no requests for a
	// pause, or only the trial request that is running.
	NoConnection Cause = "unreachable"
	// Cold means that the replica has just started, or may have.
	Cold Cause = "cold"
)

// Eligibility is how much work a replica may get at a given time, and why.
type Eligibility struct {
	Access Access
	Cause  Cause
	// Version is the version of the update that decided; zero if that update has none, or time
	// decided.
	Version sequencer.Version
	// Since is when that update arrived; zero if that isn't recorded.
	Since timekeeper.Instant
	// Until is when the eligibility changes by itself; zero if only an update changes it.
	Until timekeeper.Instant
}

// eligibility returns how much work a replica may get.
//
// Each input is kept with its version or its end, and nothing is derived from an earlier
// result. So the newest update decides, in whatever order updates arrive.
func (fleet *Fleet) eligibility(member *replica, now timekeeper.Instant) Eligibility {
	if closed, found := fleet.closedUntilUpdate(member); found {
		return closed
	}
	if now < member.statements.backoff.retryAt() {
		return member.backoffEligibility()
	}
	if !member.health.admits(now) {
		return Eligibility{Access: Closed, Cause: NoConnection, Until: member.health.retryAt()}
	}
	if fleet.isCold(member, now) {
		return Eligibility{Access: Limited, Cause: Cold, Until: member.cold.until}
	}
	return Eligibility{Access: Open}
}

// closedUntilUpdate returns the eligibility of a replica that gets no work until an update
// changes that; false if it isn't leaving or evacuated.
func (fleet *Fleet) closedUntilUpdate(member *replica) (Eligibility, bool) {
	switch {
	case fleet.isLeaving(member):
		return Eligibility{Access: Closed, Cause: Leaving, Version: sequencer.Max(fleet.version, member.leaveVersion)}, true
	case fleet.retained.covers(member.Replica):
		return Eligibility{Access: Closed, Cause: LeaveRetained, Until: fleet.retained.until}, true
	case member.statements.leaving != 0:
		return Eligibility{Access: Closed, Cause: LeaveAnnounced, Since: member.statements.leaving}, true
	case fleet.isEvacuated(member):
		return Eligibility{Access: Closed, Cause: Evacuated, Version: fleet.evacuations.Version, Since: fleet.evacuationsChanged}, true
	}
	return Eligibility{}, false
}

// backoffEligibility returns the eligibility of a replica that asked this entry to back off.
func (member *replica) backoffEligibility() Eligibility {
	backoff := member.statements.backoff
	return Eligibility{Access: Closed, Cause: BackingOff, Since: backoff.since, Until: backoff.retryAt()}
}

// isLeaving reports whether the list or a peer reports that a replica leaves.
func (fleet *Fleet) isLeaving(member *replica) bool {
	return member.Leaving || fleet.version.Before(member.leaveVersion)
}

// Leaves reports whether an incarnation of a replica is known to leave, or is not listed any more.
func (fleet *Fleet) Leaves(row Replica) bool {
	member, found := fleet.replicas[row.ID]
	if !found || member.Incarnation() != row.Incarnation() {
		return !found
	}
	return fleet.isLeaving(member) || fleet.retained.covers(member.Replica) || member.statements.leaving != 0
}

// Transition is a change in the eligibility of a replica.
type Transition struct {
	Replica  Replica
	From, To Eligibility
}

// Transitions returns the changes since the last call, for logs. A new replica counts as
// previously open.
func (fleet *Fleet) Transitions(now timekeeper.Instant) []Transition {
	var changes []Transition
	for _, member := range fleet.replicas {
		current := fleet.eligibility(member, now)
		before := member.logged
		if before.Access == 0 {
			before.Access = Open
		}
		member.logged = current
		if before.Access != current.Access || before.Cause != current.Cause {
			changes = append(changes, Transition{Replica: member.Replica, From: before, To: current})
		}
	}
	return changes
}
