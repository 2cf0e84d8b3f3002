package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// retainTime is how long leaves and evacuations from before the store's return are held
	// against its rows. By then the operators and the replicas that live have written theirs
	// again, and the rows of the others have lapsed.
	retainTime = 20 * timekeeper.Second
	// maxRetained limits the leaves that are retained, and the removed replicas that are
	// remembered for it.
	maxRetained = 4096
)

// incarnation identifies an incarnation of a replica. An empty name or address matches any.
type incarnation struct{ name, address string }

func incarnationOf(row Replica) incarnation {
	return incarnation{name: row.Incarnation(), address: row.Address}
}

func (known incarnation) matches(row Replica) bool {
	return (known.name == "" || known.name == row.Incarnation()) && (known.address == "" || known.address == row.Address)
}

// retained is what was in force before the store came back from a copy that may lack it. The zero
// value holds nothing.
type retained struct {
	// until is when it ends; zero means that nothing is retained.
	until timekeeper.Instant
	// leaves are the replicas that had left or were leaving, by ID.
	leaves map[string]incarnation
	// dataCentres are those that were evacuated, and evacuatedAt the version of that.
	dataCentres []string
	evacuatedAt sequencer.Version
}

// covers reports whether a row belongs to a replica whose leave is retained.
func (retained *retained) covers(row Replica) bool {
	known, found := retained.leaves[row.ID]
	return found && known.matches(row)
}

// add retains the leave of a replica, unless another incarnation of it is retained already.
func (retained *retained) add(id string, known incarnation) {
	if _, found := retained.leaves[id]; !found && len(retained.leaves) < maxRetained {
		retained.leaves[id] = known
	}
}

// addEvacuations retains evacuations of an earlier era that this entry had not heard of.
func (retained *retained) addEvacuations(earlier Evacuations) {
	if retained.until == 0 || !retained.evacuatedAt.Before(earlier.Version) {
		return
	}
	retained.evacuatedAt = earlier.Version
	retained.addDataCentres(earlier.DataCentres)
}

func (retained *retained) addDataCentres(names []string) {
	for _, name := range names {
		if !slices.Contains(retained.dataCentres, name) {
			retained.dataCentres = append(retained.dataCentres, name)
		}
	}
}

// dropEvacuations ends the retention of the data centres that the table has as evacuated: from
// then on it alone decides.
func (retained *retained) dropEvacuations(current Evacuations) {
	retained.dataCentres = slices.DeleteFunc(retained.dataCentres, current.Contains)
}

// EnterEra records that the store has come back from a copy, in a later era. From now on versions
// of the era are newer than all earlier ones. What the copy may lack is retained for a while:
// replicas that had left or were leaving get no new work, and evacuations stay in force.
func (fleet *Fleet) EnterEra(era uint64, now timekeeper.Instant) {
	if era <= fleet.era {
		return
	}
	fleet.era = era
	if fleet.version.IsZero() && fleet.evacuations.Version.IsZero() {
		return
	}
	fleet.beginRetention(now.Add(retainTime))
	for id, gone := range fleet.departed.latest {
		fleet.retained.add(id, gone.incarnation)
	}
	for id := range fleet.leaveVersions {
		if _, listed := fleet.replicas[id]; !listed {
			fleet.retained.add(id, incarnation{})
		}
	}
	for id, member := range fleet.replicas {
		if fleet.isLeaving(member) {
			fleet.retained.leaves[id] = incarnationOf(member.Replica)
		}
	}
	clear(fleet.leaveVersions)
	fleet.retained.evacuatedAt = fleet.evacuations.Version
	fleet.retained.addDataCentres(fleet.evacuations.DataCentres)
}

func (fleet *Fleet) beginRetention(until timekeeper.Instant) {
	fleet.retained.until = until
	if fleet.retained.leaves == nil {
		fleet.retained.leaves = map[string]incarnation{}
	}
}

// retainLeave retains a leave of an earlier era that a peer reports late, and reports whether a
// listed replica was not known to be leaving before.
func (fleet *Fleet) retainLeave(id string) bool {
	if fleet.retained.until == 0 {
		return false
	}
	member, listed := fleet.replicas[id]
	if !listed {
		fleet.retained.add(id, incarnation{})
		return false
	}
	changed := !fleet.hasLeft(member)
	fleet.retained.add(id, incarnationOf(member.Replica))
	return changed
}

// Retention is what an entry holds against the store since its return, for peers that have
// started later. The zero value holds nothing.
type Retention struct {
	// Left is how much longer it is held.
	Left timekeeper.Span
	// Incarnations are replicas that are listed, and had left or were leaving.
	Incarnations []string
	DataCentres  []string
}

// Retention returns what is held at an instant.
func (fleet *Fleet) Retention(now timekeeper.Instant) Retention {
	if now >= fleet.retained.until {
		return Retention{}
	}
	held := Retention{Left: fleet.retained.until.Since(now), DataCentres: slices.Sorted(slices.Values(fleet.retained.dataCentres))}
	for _, member := range fleet.replicas {
		if fleet.retained.covers(member.Replica) {
			held.Incarnations = append(held.Incarnations, member.Incarnation())
		}
	}
	slices.Sort(held.Incarnations)
	return held
}

// Retain adds what a peer holds, and reports whether any of it is new. An entry that knows of the
// return itself keeps the end that it has set.
func (fleet *Fleet) Retain(held Retention, now timekeeper.Instant) bool {
	if held.Left <= 0 {
		return false
	}
	if fleet.retained.until == 0 {
		fleet.beginRetention(now.Add(min(held.Left, retainTime)))
	}
	leaves, dataCentres := len(fleet.retained.leaves), len(fleet.retained.dataCentres)
	for _, name := range held.Incarnations {
		for _, id := range [...]string{IDOf(name), name} {
			fleet.retained.add(id, incarnation{name: name})
		}
	}
	fleet.retained.addDataCentres(slices.DeleteFunc(slices.Clone(held.DataCentres), fleet.evacuations.Contains))
	return len(fleet.retained.leaves) > leaves || len(fleet.retained.dataCentres) > dataCentres
}

// EndRetention ends what is retained when its time is over. It returns the listed replicas that
// get work again and the data centres that are no longer evacuated: nobody has written their
// leaves and evacuations again.
func (fleet *Fleet) EndRetention(now timekeeper.Instant) (replicas, dataCentres []string) {
	if fleet.retained.until == 0 || now < fleet.retained.until {
		return nil, nil
	}
	ended := fleet.retained
	fleet.retained = retained{}
	for id, member := range fleet.replicas {
		if ended.covers(member.Replica) && !fleet.hasLeft(member) {
			replicas = append(replicas, id)
		}
	}
	fleet.markReopened(ended.dataCentres, now)
	slices.Sort(replicas)
	return replicas, ended.dataCentres
}
