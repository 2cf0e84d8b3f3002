package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Access says how much work a replica may get.
type Access uint8

const (
	// Open replicas get any work.
	Open Access = iota + 1
	// Limited replicas get work up to a rate.
	Limited
	// Closed replicas get none.
	Closed
)

// String returns the name of the access in logs.
func (access Access) String() string {
	return [...]string{"", "open", "limited", "closed"}[access]
}

// Cause is why a replica isn't open.
type Cause string

// The causes, those that outrank the others first. The zero value belongs to Open.
const (
	// Leaving: the list or a peer says that the replica leaves.
	Leaving Cause = "leaving"
	// LeaveAnnounced: the replica has said with an answer that it leaves.
	LeaveAnnounced Cause = "leave-announced"
	// Evacuated: operators have evacuated its data centre.
	Evacuated Cause = "evacuated"
	// BackingOff: it has refused a request and wants nothing from this entry for a time.
	BackingOff Cause = "backing-off"
	// NoConnection: it took no connection.
	NoConnection Cause = "unreachable"
	// Cold: it has started a moment ago, or may have.
	Cold Cause = "cold"
)

// Eligibility is what may be sent to a replica at an instant, and why.
type Eligibility struct {
	Access Access
	Cause  Cause
	// Version is that of the news that decided; zero where time decides.
	Version uint64
	// Since is when the news came; zero where it isn't kept.
	Since timekeeper.Instant
	// Until is when time changes it; zero where only news does.
	Until timekeeper.Instant
}

// eligibility returns what may be sent to a replica.
//
// Each input is kept with its version or its end, and nothing is derived from an earlier
// result: whatever the order in which news arrives, the newest decides.
func (fleet *Fleet) eligibility(known *replica, now timekeeper.Instant) Eligibility {
	if closed, found := fleet.closed(known); found {
		return closed
	}
	if now < known.said.backoff.ends() {
		return known.backingOff()
	}
	if !known.doubt.open(now) {
		return Eligibility{Access: Closed, Cause: NoConnection, Until: known.doubt.ends()}
	}
	if now < known.cold.until && fleet.warming[known.Service].Rate > 0 {
		return Eligibility{Access: Limited, Cause: Cold, Until: known.cold.until}
	}
	return Eligibility{Access: Open}
}

// closed returns why a replica gets no work until news says otherwise; false means that
// nothing keeps it closed.
func (fleet *Fleet) closed(known *replica) (Eligibility, bool) {
	switch {
	case fleet.leaves(known):
		return Eligibility{Access: Closed, Cause: Leaving, Version: max(fleet.version, known.left)}, true
	case known.said.leaving != 0:
		return Eligibility{Access: Closed, Cause: LeaveAnnounced, Since: known.said.leaving}, true
	case fleet.evacuations.Contains(known.DataCentre):
		return Eligibility{Access: Closed, Cause: Evacuated, Version: fleet.evacuations.Version, Since: fleet.evacuated}, true
	}
	return Eligibility{}, false
}

// backingOff is the eligibility of a replica that wants nothing from this entry for a time.
func (known *replica) backingOff() Eligibility {
	backoff := known.said.backoff
	return Eligibility{Access: Closed, Cause: BackingOff, Since: backoff.since, Until: backoff.ends()}
}

// leaves reports whether the list or a peer says that a replica is on its way out.
func (fleet *Fleet) leaves(known *replica) bool { return known.Leaving || known.left > fleet.version }

// Transition is a change of what may be sent to a replica.
type Transition struct {
	Replica  Replica
	From, To Eligibility
}

// Transitions returns what has changed since the last call, for logs. A replica that is
// new counts as open before.
func (fleet *Fleet) Transitions(now timekeeper.Instant) []Transition {
	var changes []Transition
	for _, known := range fleet.replicas {
		current := fleet.eligibility(known, now)
		before := known.shown
		if before.Access == 0 {
			before.Access = Open
		}
		known.shown = current
		if before.Access != current.Access || before.Cause != current.Cause {
			changes = append(changes, Transition{Replica: known.Replica, From: before, To: current})
		}
	}
	return changes
}
