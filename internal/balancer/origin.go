package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Origin is where a stream began: the service, and the software version of the replica that wrote
// its first event. Only a replica of that version may continue it, since events of two versions
// don't fit together.
type Origin struct{ Service, SoftwareVersion string }

// Origin returns the origin of streams that begin at the replica.
func (row Replica) Origin() Origin {
	return Origin{Service: row.Service, SoftwareVersion: row.SoftwareVersion}
}

// Known reports whether the software version is known. A stream whose origin isn't known can't be
// continued.
func (origin Origin) Known() bool { return origin.SoftwareVersion != "" }

// mayContinue reports whether a replica may get the request by the software version that is known
// of it.
func (fleet *Fleet) mayContinue(request Request, member *replica) bool {
	if request.SoftwareVersion == "" {
		return true
	}
	return request.SoftwareVersion == member.SoftwareVersion && !fleet.mayHaveRestarted(member)
}

// restartNotice is how long after a replica was unreachable its row shows whether it has restarted:
// the row of one that crashed is removed within that time, or replaced by that of the next
// incarnation.
const restartNotice = 2 * timekeeper.Second

// mayHaveRestarted reports whether a replica may have come back, under its ID, with other software than
// its row says: since it was unreachable, or since this process stood still.
func (fleet *Fleet) mayHaveRestarted(member *replica) bool {
	return fleet.listConfirmed < fleet.listExpired || member.unreachableAt != 0 && fleet.listConfirmed < member.unreachableAt.Add(restartNotice)
}

// knownRow returns the row of a replica, without the software version if that may be another one.
func (fleet *Fleet) knownRow(member *replica) Replica {
	row := member.Replica
	if fleet.mayHaveRestarted(member) {
		row.SoftwareVersion = ""
	}
	return row
}

// ConfirmList records that the list was up to date at an instant.
func (fleet *Fleet) ConfirmList(at timekeeper.Instant) {
	fleet.listConfirmed = max(fleet.listConfirmed, at)
}

// ExpireList records that this process stood still until an instant: rows may be outdated until the
// list is confirmed.
func (fleet *Fleet) ExpireList(at timekeeper.Instant) { fleet.listExpired = at }

// markUnreachable records that the replica accepted no connection.
func (member *replica) markUnreachable(now timekeeper.Instant) {
	member.health.markUnreachable(now)
	member.unreachableAt = now
}
