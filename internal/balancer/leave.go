package balancer

import "github.com/trefoilseam/trefoilseam/internal/sequencer"

// maxLeaves limits the replicas that peers saw leave and that this entry's list still has.
const maxLeaves = 4096

// MarkLeaving records that a peer saw a replica leave at a version of the list, and reports
// whether a listed replica was not known to be leaving before. The record is in force until
// this entry's list reaches that version. A leave that the store has lost since is retained.
func (fleet *Fleet) MarkLeaving(id string, version sequencer.Version) bool {
	if version.Era < fleet.era {
		return fleet.retainLeave(id)
	}
	if !fleet.version.Before(version) {
		return false
	}
	if len(fleet.leaveVersions) < maxLeaves {
		fleet.leaveVersions[id] = sequencer.Max(fleet.leaveVersions[id], version)
	}
	member, found := fleet.replicas[id]
	if !found {
		return false
	}
	changed := !fleet.isLeaving(member)
	member.leaveVersion = sequencer.Max(member.leaveVersion, version)
	return changed
}

// ConfirmVersion records that the list that was applied last is also the list of a later
// version. It returns the replicas that get work again: a peer saw them leave at that version
// or an earlier one, and the list has them ready.
func (fleet *Fleet) ConfirmVersion(version sequencer.Version) (ready []string) {
	fleet.version = version
	for id, seen := range fleet.leaveVersions {
		if version.Before(seen) {
			continue
		}
		delete(fleet.leaveVersions, id)
		if member, found := fleet.replicas[id]; found && !fleet.hasLeft(member) {
			ready = append(ready, id)
		}
	}
	return ready
}

// hasLeft reports whether a replica leaves by any source.
func (fleet *Fleet) hasLeft(member *replica) bool {
	return fleet.isLeaving(member) || fleet.retained.covers(member.Replica) || member.statements.leaving != 0
}
