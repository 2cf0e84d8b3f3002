package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up a fleet.
type Settings struct {
	// DataCentre is where the entry stands.
	DataCentre string
	// Seed seeds the choice among equals.
	Seed uint64
	// LoadFactor is how many times the mean of its service a replica may hold; zero
	// means 2. See bounded.
	LoadFactor float64
	// ColdRateFactor is how many times the rate that a cold replica tolerates all entries
	// together may send in a second, and ColdSlack how many requests more. Zero means once,
	// and none.
	ColdRateFactor, ColdSlack float64
	// MovePrice is how many prompt tokens that are read cost as much as a gigabyte
	// that engines hand on; zero means 2,300. See DefaultMovePrice.
	MovePrice float64
	// PrefillRate is how many prompt tokens an engine reads in a millisecond; zero means
	// 40. See DefaultReadRate.
	PrefillRate float64
	// KnownParts is how many prompt parts are remembered of all replicas together; zero
	// means 262,144. See DefaultKnownParts.
	KnownParts int
}

// Fleet is what an entry believes of all replicas. It must be made by New.
type Fleet struct {
	settings Settings
	draws    *rand.Rand
	replicas map[string]*replica
	keys     map[Key]*replica
	// left are replicas that peers saw leave, by the version of the list.
	left map[string]uint64
	// unlisted are what replicas have said of themselves that the list doesn't have.
	unlisted archive
	services map[string][]*replica
	engines  map[string]Engine
	warming  map[string]WarmUp
	sharers  sharers
	peers    map[string]peerDigest
	// peerSums are what all peers have under way, by replica.
	peerSums map[Key]InFlight
	paces    map[string]*pace
	queues   map[string]*serviceQueue
	teams    map[string]*decaying
	number   uint64
	// version is that of the list which was taken in last.
	version     uint64
	evacuations Evacuations
	// evacuated is when other data centres were evacuated than before.
	evacuated timekeeper.Instant
	heats     heats
}

// New returns a fleet without replicas.
func New(settings Settings) *Fleet {
	if settings.LoadFactor == 0 {
		settings.LoadFactor = 2
	}
	if settings.ColdRateFactor == 0 {
		settings.ColdRateFactor = 1
	}
	if settings.MovePrice == 0 {
		settings.MovePrice = DefaultMovePrice
	}
	if settings.PrefillRate == 0 {
		settings.PrefillRate = DefaultPrefillRate
	}
	if settings.KnownParts == 0 {
		settings.KnownParts = DefaultKnownParts
	}
	return &Fleet{
		settings: settings,
		draws:    rand.New(rand.NewPCG(settings.Seed, 11)),
		replicas: map[string]*replica{},
		keys:     map[Key]*replica{},
		left:     map[string]uint64{},
		unlisted: archive{},
		services: map[string][]*replica{},
		engines:  map[string]Engine{},
		warming:  map[string]WarmUp{},
		peers:    map[string]peerDigest{},
		peerSums: map[Key]InFlight{},
		paces:    map[string]*pace{},
		queues:   map[string]*serviceQueue{},
		teams:    map[string]*decaying{},
		heats:    heats{},
	}
}

// Change is a replica that has joined, started again, left or begun to leave.
type Change struct {
	Replica Replica
	// Restarted reports that the replica started again under its ID.
	Restarted bool
	Removed      bool
	// TurnedCold reports that nothing has changed but that the replica has turned cold, or
	// stays so for longer than was known.
	TurnedCold bool
}

// SetReplicas takes in the platform's list of a version and returns what changed
// by it. What is known of an incarnation stays while it is listed. A later life of a
// replica begins with nothing that was believed of the one before, and a listing of an
// earlier life changes nothing.
func (fleet *Fleet) SetReplicas(list []Replica, version uint64) []Change {
	fleet.version = version
	maps.DeleteFunc(fleet.left, func(_ string, seen uint64) bool { return seen <= version })
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, listing := range list {
		listed[listing.ID] = true
		known, found := fleet.replicas[listing.ID]
		if found && listing.precedes(known.Replica) {
			continue
		}
		if found && listing.same(known.Replica) {
			if known.chill(listing.WarmAt) {
				changes = append(changes, Change{Replica: listing, TurnedCold: true})
			}
			continue
		}
		restarted := found && listing.succeeds(known.Replica)
		changes = append(changes, Change{Replica: listing, Restarted: restarted})
		if found && !restarted {
			known.relist(listing)
			continue
		}
		fresh := newReplica(listing, fleet.left[listing.ID])
		fresh.said = fleet.unlisted.take(listing.Incarnation())
		fleet.replicas[listing.ID] = fresh
	}
	for id, known := range fleet.replicas {
		if !listed[id] {
			changes = append(changes, Change{Replica: known.Replica, Removed: true})
			fleet.unlisted.put(known.Incarnation(), known.said)
			delete(fleet.replicas, id)
		}
	}
	if len(changes) > 0 {
		fleet.group()
	}
	return changes
}

// relist takes in a listing of the same incarnation. Of one whose start isn't known another
// address tells of a later life.
func (known *replica) relist(listing Replica) {
	if listing.StartedAt == 0 && listing.Address != known.Address {
		known.said = statements{}
	}
	known.Replica, known.key = listing, listing.Key()
	known.chill(listing.WarmAt)
}

// placed returns the replica that has a placement, if that incarnation is listed.
func (fleet *Fleet) placed(placement *Placement) (*replica, bool) {
	known, found := fleet.replicas[placement.Replica.ID]
	if !found || known.StartedAt > placement.Replica.StartedAt && placement.Replica.StartedAt != 0 {
		return nil, false
	}
	return known, true
}

// group sorts the replicas by service, in an order that all entries share.
func (fleet *Fleet) group() {
	clear(fleet.services)
	clear(fleet.keys)
	share := shareOfParts(fleet.settings.KnownParts, len(fleet.replicas))
	for _, known := range fleet.replicas {
		if known.cache != nil {
			known.cache.most = share
		}
		fleet.keys[known.key] = known
		fleet.services[known.Service] = append(fleet.services[known.Service], known)
	}
	for _, members := range fleet.services {
		slices.SortFunc(members, func(a, b *replica) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Replica returns what the platform lists about an incarnation.
func (fleet *Fleet) Replica(id string) (Replica, bool) {
	known, found := fleet.replicas[id]
	if !found {
		return Replica{}, false
	}
	return known.Replica, true
}

// CountAvailable returns how many replicas of a service may get work.
func (fleet *Fleet) CountAvailable(service string) int {
	count := 0
	for _, known := range fleet.services[service] {
		if _, closed := fleet.closed(known); !closed {
			count++
		}
	}
	return count
}

// cacheOf returns the guess of what a replica has cached.
func (fleet *Fleet) cacheOf(known *replica) *prefixCache {
	if known.cache == nil {
		share := shareOfParts(fleet.settings.KnownParts, len(fleet.replicas))
		known.cache = newPrefixCache(fleet.engines[known.Service].Memory, share)
	}
	return known.cache
}

// Placement is a request that was given to a replica. It must be ended once.
type Placement struct {
	Replica Replica
	// Uncached is how many tokens the replica is expected to read.
	Uncached int
	// Source is the address of the replica that has parts of the prompt which this
	// one lacks, or "", and Fetched how many tokens it is believed to hand on. Zero
	// beside a source means that it is a guess.
	Source  string
	Fetched int
	// Expected is the expected time until the first part of the answer, without
	// what is doubted of the replica.
	Expected timekeeper.Span
	// Held is how many requests the replica was believed to hold before, and
	// Candidates how many replicas the choice was among.
	Held, Candidates int
	// Access is what the replica could be sent as of the choice, and ListVersion the
	// version of the list that the choice went by.
	Access      Access
	ListVersion uint64
	// FirstPrefill reports whether the replica is believed to read a part there for
	// the first time that other requests share.
	FirstPrefill bool
	at        timekeeper.Instant
	priority  int
	began     bool
	// source is the replica that hands on Fetched tokens.
	source *replica
}

// AnswerStarted notes the first part of an answer: the prompt has been read.
func (fleet *Fleet) AnswerStarted(placement *Placement, now timekeeper.Instant) {
	if !fleet.read(placement) {
		return
	}
	if known, found := fleet.placed(placement); found {
		excess := float64(now.Since(placement.at) - placement.Expected)
		fleet.paceOf(known.Service).learn(excess, now)
		known.pace.learn(excess, now)
		known.doubt.served()
		known.said.backoff.served(placement.at)
		placement.judgeSource(excess, now)
	}
}

// read takes the prompt out of what the replica has to read, once.
func (fleet *Fleet) read(placement *Placement) bool {
	if placement.began {
		return false
	}
	placement.began = true
	if known, found := fleet.placed(placement); found {
		known.unread[placement.priority] -= placement.Uncached
		delete(known.awaited, placement)
	}
	return true
}

func (fleet *Fleet) paceOf(service string) *pace {
	return entryOf(fleet.paces, service)
}

// entryOf returns the entry of a table, a new one where there was none.
func entryOf[Key comparable, T any](table map[Key]*T, key Key) *T {
	found, ok := table[key]
	if !ok {
		found = new(T)
		table[key] = found
	}
	return found
}

// Outcome says how a request at a replica ended.
type Outcome uint8

const (
	// Served means that the replica gave a whole answer.
	Served Outcome = iota + 1
	// Failed means that it broke off or gave an error.
	Failed
	// Refused means that the replica said that it did not run the request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller left, or the time was up.
	Abandoned
)

// End notes how a request ended.
func (fleet *Fleet) End(placement *Placement, ending Outcome, now timekeeper.Instant) {
	silent := !placement.began && placement.late(now)
	fleet.read(placement)
	known, found := fleet.placed(placement)
	if !found {
		return
	}
	known.running--
	fleet.queue(known.Service).ends.add(1, rateMemory, now)
	if silent {
		placement.judgeSource(mostExcess, now)
	}
	switch ending {
	case Served:
		known.doubt.served()
		known.said.backoff.served(placement.at)
	case Failed:
		known.doubt.failed(1, now)
	case Unreachable:
		known.doubt.unreachable(now)
		known.doubt.failed(1, now)
	case Refused:
		known.doubt.failed(refusalWeight, now)
	case Abandoned:
		if silent {
			known.doubt.failed(1, now)
		}
	}
}

// MarkUnreachable notes that a replica can't be reached, as this entry or a peer saw.
func (fleet *Fleet) MarkUnreachable(id string, now timekeeper.Instant) {
	if known, found := fleet.replicas[id]; found {
		known.doubt.unreachable(now)
	}
}

// mostLeaves bounds the replicas that peers saw leave and the own list still has.
const mostLeaves = 4096

// MarkLeaving notes that a peer has seen a replica leave at a version of the list, and reports
// whether that is news. It holds until the own list is as new.
func (fleet *Fleet) MarkLeaving(id string, version uint64) bool {
	if version <= fleet.version {
		return false
	}
	if len(fleet.left) < mostLeaves {
		fleet.left[id] = max(fleet.left[id], version)
	}
	known, found := fleet.replicas[id]
	if !found {
		return false
	}
	news := !fleet.leaves(known)
	known.left = max(known.left, version)
	return news
}

// ConfirmVersion notes that the list which was taken in last is also that of a version. It
// returns the replicas that get work again: a peer saw them leave at that version or
// before it, and the list has them ready.
func (fleet *Fleet) ConfirmVersion(version uint64) (back []string) {
	fleet.version = version
	for id, seen := range fleet.left {
		if seen > version {
			continue
		}
		delete(fleet.left, id)
		if known, found := fleet.replicas[id]; found && !known.Leaving && known.said.leaving == 0 {
			back = append(back, id)
		}
	}
	return back
}

// RecordReport takes in what a replica said of itself with an answer.
func (fleet *Fleet) RecordReport(id string, report LoadReport, now timekeeper.Instant) {
	if known, found := fleet.replicas[id]; found {
		known.report, known.reported = report, now
	}
}
