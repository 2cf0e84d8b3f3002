package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configures a fleet.
type Settings struct {
	// DataCentre is the data centre of the entry.
	DataCentre string
	// Seed seeds the random choice among equal candidates.
	Seed uint64
	// LoadFactor is how many times the mean load of its service a replica may hold; zero means
	// 2. See dropOverBound.
	LoadFactor float64
	// ColdRateFactor and ColdSlack limit the requests of all entries together to a cold
	// replica in a second: ColdRateFactor times its tolerated rate, plus ColdSlack. Zero means
	// 1 and 0.
	ColdRateFactor, ColdSlack float64
	// TransferPrice is how many prefilled prompt tokens cost as much as the transfer of a gigabyte
	// between engines; zero means 2,300. See DefaultTransferPrice.
	TransferPrice float64
	// PrefillRate is how many prompt tokens an engine prefills in a millisecond; zero means 40.
	// See DefaultPrefillRate.
	PrefillRate float64
	// TeamShares shares a full service among teams, and ReturnTimes reserves times of return for
	// refused requests.
	TeamShares, ReturnTimes bool
	// KnownParts is how many prompt parts are remembered for all replicas together; zero means
	// 262,144. See DefaultKnownParts.
	KnownParts int
}

// Fleet is an entry's view of all replicas. It must be made by New.
type Fleet struct {
	settings Settings
	random   *rand.Rand
	replicas map[string]*replica
	keys     map[Key]*replica
	// leaveVersions holds the replicas that peers saw leave, with the version of the list at
	// which they left.
	leaveVersions map[string]sequencer.Version
	// unlisted holds the statements of incarnations that aren't in the list.
	unlisted archive
	// unlistedLoads holds what this entry has in flight at incarnations that aren't in the list any more.
	unlistedLoads map[string]*ownLoad
	services      map[string][]*replica
	engines       map[string]Engine
	warmUps       map[string]WarmUp
	entries       entries
	peers         map[string]peerDigest
	// peerDemands is what peers said of contended services.
	peerDemands map[string]peerDemands
	// peersInFlight is what all peers together have in flight, by replica.
	peersInFlight map[Key]InFlight
	// sentRunning is the number of requests in flight that this entry's last digest said, and
	// manySince from when on its digests have said at least minMost; zero means that they don't.
	sentRunning     int
	manySince       timekeeper.Instant
	excessLatencies map[string]*excessLatency
	queues          map[string]*serviceQueue
	teams           map[string]*decaying
	sequence        uint64
	// version is the version of the list that was applied last.
	version sequencer.Version
	// listConfirmed is when the list was last known to be up to date; zero means never.
	listConfirmed timekeeper.Instant
	// listExpired is when this process last went on after it had stood still.
	listExpired timekeeper.Instant
	// era is the newest era of the store that is known, and retained what is held against the
	// store since it began. departed are the replicas that were removed from the list.
	era         uint64
	retained    retained
	departed    departed
	evacuations Evacuations
	// evacuationsChanged is when the set of evacuated data centres last changed.
	evacuationsChanged timekeeper.Instant
	partRates          partRates
	// returns holds the times of return by service, and receivedReservations those of peers.
	returns              map[string]*serviceReturns
	receivedReservations *reserver.Book
}

// New returns a fleet without replicas.
func New(settings Settings) *Fleet {
	if settings.LoadFactor == 0 {
		settings.LoadFactor = 2
	}
	if settings.ColdRateFactor == 0 {
		settings.ColdRateFactor = 1
	}
	if settings.TransferPrice == 0 {
		settings.TransferPrice = DefaultTransferPrice
	}
	if settings.PrefillRate == 0 {
		settings.PrefillRate = DefaultPrefillRate
	}
	if settings.KnownParts == 0 {
		settings.KnownParts = DefaultKnownParts
	}
	return &Fleet{
		settings:        settings,
		random:          rand.New(rand.NewPCG(settings.Seed, 11)),
		replicas:        map[string]*replica{},
		keys:            map[Key]*replica{},
		leaveVersions:   map[string]sequencer.Version{},
		unlisted:        archive{},
		unlistedLoads:   map[string]*ownLoad{},
		services:        map[string][]*replica{},
		engines:         map[string]Engine{},
		warmUps:         map[string]WarmUp{},
		peers:           map[string]peerDigest{},
		peerDemands:     map[string]peerDemands{},
		peersInFlight:   map[Key]InFlight{},
		excessLatencies: map[string]*excessLatency{},
		queues:          map[string]*serviceQueue{},
		teams:           map[string]*decaying{},
		partRates:       partRates{},

		returns: map[string]*serviceReturns{}, receivedReservations: reserver.New(),
	}
}

// Change describes a replica that was added, restarted, removed or started to leave.
type Change struct {
	Replica Replica
	// Restarted reports that the replica has a new incarnation under the same ID.
	Restarted bool
	Removed   bool
	// TurnedCold reports that the only change is that the replica turned cold, or stays cold
	// for longer than was known.
	TurnedCold bool
}

// SetReplicas applies a version of the platform's list and returns the changes. The state of an
// incarnation is kept while it is listed. A later incarnation of a replica starts without the
// state of the earlier one, and a row of an earlier incarnation is ignored.
func (fleet *Fleet) SetReplicas(list []Replica, version sequencer.Version) []Change {
	fleet.version = version
	maps.DeleteFunc(fleet.leaveVersions, func(_ string, seen sequencer.Version) bool { return !version.Before(seen) })
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, row := range list {
		listed[row.ID] = true
		member, found := fleet.replicas[row.ID]
		if found && row.precedes(member.Replica) {
			continue
		}
		if found {
			row = row.withVersionOf(member.Replica)
		}
		if found && row.equalsExceptWarmAt(member.Replica) {
			if member.markCold(row.WarmAt) {
				changes = append(changes, Change{Replica: row, TurnedCold: true})
			}
			continue
		}
		restarted := found && row.succeeds(member.Replica)
		changes = append(changes, Change{Replica: row, Restarted: restarted})
		if found && !restarted {
			member.updateRow(row)
			continue
		}
		fleet.add(row)
	}
	for id, member := range fleet.replicas {
		if !listed[id] {
			changes = append(changes, Change{Replica: member.Replica, Removed: true})
			fleet.remove(member)
		}
	}
	if len(changes) > 0 {
		fleet.rebuildIndexes()
	}
	return changes
}

// add adds a replica that was not listed, with what is kept of its incarnation.
func (fleet *Fleet) add(row Replica) {
	added, incarnation := newReplica(row, fleet.leaveVersions[row.ID]), row.Incarnation()
	added.statements = fleet.unlisted.take(incarnation)
	if load, found := fleet.unlistedLoads[incarnation]; found {
		added.ownLoad = load
		delete(fleet.unlistedLoads, incarnation)
	}
	fleet.replicas[row.ID] = added
	fleet.departed.remove(row.ID)
}

// remove removes a replica that isn't listed any more, and keeps what may be needed if its incarnation is
// listed again.
func (fleet *Fleet) remove(member *replica) {
	fleet.unlisted.put(member.Incarnation(), member.statements)
	if member.running > 0 {
		fleet.unlistedLoads[member.Incarnation()] = member.ownLoad
	}
	fleet.departed.add(member.Replica)
	delete(fleet.replicas, member.ID)
}

// updateRow applies a changed row of the same incarnation. If the start of the incarnation
// isn't known, a changed address means a later incarnation.
func (member *replica) updateRow(row Replica) {
	if row.StartedAt == 0 && row.Address != member.Address {
		member.statements = replicaStatements{}
	}
	member.checked = member.checked && member.key == row.Key()
	member.Replica, member.key = row, row.Key()
	member.markCold(row.WarmAt)
}

// replicaOf returns the replica of a placement, if that incarnation is listed.
func (fleet *Fleet) replicaOf(placement *Placement) (*replica, bool) {
	member, found := fleet.replicas[placement.Replica.ID]
	if !found || member.StartedAt > placement.Replica.StartedAt && placement.Replica.StartedAt != 0 {
		return nil, false
	}
	return member, true
}

// rebuildIndexes groups the replicas by service, in an order that is the same for all entries.
func (fleet *Fleet) rebuildIndexes() {
	clear(fleet.services)
	clear(fleet.keys)
	share := partsPerReplica(fleet.settings.KnownParts, len(fleet.replicas))
	for _, member := range fleet.replicas {
		if member.cache != nil {
			member.cache.maxParts = share
		}
		fleet.keys[member.key] = member
		fleet.services[member.Service] = append(fleet.services[member.Service], member)
	}
	for _, members := range fleet.services {
		slices.SortFunc(members, func(a, b *replica) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Replica returns the listed row of a replica.
func (fleet *Fleet) Replica(id string) (Replica, bool) {
	member, found := fleet.replicas[id]
	if !found {
		return Replica{}, false
	}
	return member.Replica, true
}

// CountAvailable returns how many replicas of a service are neither leaving nor evacuated,
// including those that back off or are unreachable.
func (fleet *Fleet) CountAvailable(service string) int {
	count := 0
	for _, member := range fleet.services[service] {
		if _, closed := fleet.closedUntilUpdate(member); !closed {
			count++
		}
	}
	return count
}

// cacheOf returns the estimate of what a replica has cached.
func (fleet *Fleet) cacheOf(member *replica) *prefixCache {
	if member.cache == nil {
		share := partsPerReplica(fleet.settings.KnownParts, len(fleet.replicas))
		member.cache = newPrefixCache(fleet.engines[member.Service].Memory, share)
	}
	return member.cache
}

// Placement is a request that was placed at a replica. It must be ended exactly once.
type Placement struct {
	Replica Replica
	// Uncached is how many tokens the replica is expected to prefill.
	Uncached int
	// Source is the address of a replica to fetch missing parts of the prompt from, or "", and
	// Fetched how many tokens are expected to come from there. If Fetched is zero, the source
	// is a guess.
	Source  string
	Fetched int
	// Expected is the expected time until the first part of the answer, without penalties for
	// the replica's health.
	Expected timekeeper.Span
	// Load is the estimated load of the replica before the placement, and Candidates the number
	// of replicas that were compared.
	Load, Candidates int
	// Access is the replica's access level at the time of the choice, and ListVersion the
	// version of the list that the choice was based on.
	Access      Access
	ListVersion sequencer.Version
	// FirstPrefill reports whether the replica is expected to prefill a shared part for the
	// first time.
	FirstPrefill bool
	chosenAt     timekeeper.Instant
	priority     int
	// rank is the rank of the waiter that was placed; see holdingTimes.
	rank int
	// class is that of the waiter that was placed.
	class Class
	// prefillEnded reports whether the placement was removed from the pending tokens of its
	// replica: its answer started or the request ended.
	prefillEnded bool
	// source is the replica that Fetched tokens are fetched from.
	source *replica
	// load is where the placement is counted.
	load *ownLoad
}

// AnswerStarted records the first part of an answer: the prefill is complete.
func (fleet *Fleet) AnswerStarted(placement *Placement, now timekeeper.Instant) {
	if !fleet.endPrefill(placement) {
		return
	}
	if member, found := fleet.replicaOf(placement); found {
		excess := float64(now.Since(placement.chosenAt) - placement.Expected)
		fleet.excessLatencyOf(member.Service).observe(excess, now)
		member.excessLatency.observe(excess, now)
		member.health.recordServed()
		member.statements.backoff.recordServed(placement.chosenAt)
		placement.recordSourceExcess(excess, now)
	}
}

// endPrefill removes the placement from the pending tokens of its replica. It reports false if
// that was done before.
func (fleet *Fleet) endPrefill(placement *Placement) bool {
	if placement.prefillEnded {
		return false
	}
	placement.prefillEnded = true
	placement.load.pendingTokens[placement.priority] -= placement.Uncached
	delete(placement.load.unanswered, placement)
	return true
}

func (fleet *Fleet) excessLatencyOf(service string) *excessLatency {
	return getOrCreate(fleet.excessLatencies, service)
}

// getOrCreate returns the value of a key, and adds a new one if there is none.
func getOrCreate[Key comparable, T any](table map[Key]*T, key Key) *T {
	found, ok := table[key]
	if !ok {
		found = new(T)
		table[key] = found
	}
	return found
}

// Outcome is how a request at a replica ended.
type Outcome uint8

const (
	// Served means that the replica gave a complete answer.
	Served Outcome = iota + 1
	// Failed means that the answer broke off or was an error.
	Failed
	// Refused means that the replica reported that it did not run the request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller left or the deadline passed.
	Abandoned
)

// End records how a request ended.
func (fleet *Fleet) End(placement *Placement, outcome Outcome, now timekeeper.Instant) {
	wasOverdue := !placement.prefillEnded && placement.isOverdue(now)
	fleet.endPrefill(placement)
	placement.load.running--
	if placement.load.running == 0 {
		delete(fleet.unlistedLoads, placement.Replica.Incarnation())
	}
	member, found := fleet.replicaOf(placement)
	if !found {
		return
	}
	fleet.queue(member.Service).completions.add(1, rateHalfLife, now)
	if wasOverdue {
		placement.recordSourceExcess(maxExcess, now)
	}
	switch outcome {
	case Served:
		member.health.recordServed()
		member.statements.backoff.recordServed(placement.chosenAt)
		fleet.observeHolding(placement, member, now)
	case Failed:
		member.health.recordFailure(1, now)
	case Unreachable:
		member.markUnreachable(now)
		member.health.recordFailure(1, now)
	case Refused:
		member.health.recordFailure(refusalWeight, now)
		fleet.recordRefused(placement, now)
	case Abandoned:
		if wasOverdue {
			member.health.recordFailure(1, now)
		}
	}
}

// MarkUnreachable records that this entry or a peer couldn't reach a replica.
func (fleet *Fleet) MarkUnreachable(id string, now timekeeper.Instant) {
	if member, found := fleet.replicas[id]; found {
		member.markUnreachable(now)
	}
}

// RecordReport records the load and the slowdown that a replica reported with an answer.
func (fleet *Fleet) RecordReport(id string, report LoadReport, now timekeeper.Instant) {
	if member, found := fleet.replicas[id]; found {
		member.report, member.reportedAt = report, now
		member.reportedSlowdown.record(report, now)
	}
}
