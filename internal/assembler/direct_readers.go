package assembler

import (
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// memberTimeout is how long after its last digest a peer counts as a member in the
	// reader election: digests come at most a second apart. A leaving replica may get
	// work for two more seconds, so an entry that is cut off from its peers must read
	// the store itself before that.
	memberTimeout = 1200 * timekeeper.Millisecond
	// electInterval is how long the result of an election is reused: it is needed more
	// often than views change.
	electInterval = 100 * timekeeper.Millisecond
	// primaryReaders is the number of primaries. With two, one may be dead or frozen until peers
	// notice, after memberTimeout, and changes are still read at once.
	primaryReaders = 2
	// discoveryTime is how long a new entry that found many others registered waits for
	// their digests, which come within a second, before it reads the store again. Otherwise
	// each of a hundred entries that start together would make calls that one of them can
	// make for all.
	discoveryTime = timekeeper.Second
)

// election holds the readers, the entries that read the store for all others, as this entry
// last computed them. The zero value is ready to use.
type election struct {
	mu        sync.Mutex
	electedAt timekeeper.Instant
	// members is the number of entries in the election.
	members int
	readers []elector.Member
	// primaries are the readers that read each change of the list of replicas at once.
	primaries []elector.Member
	// peerFailing is whether the store fails for a peer.
	peerFailing bool
	// discoveryEnds is until when the entry waits for digests of others. The wait ends earlier
	// once there are as many members as entries were registered at the start, expected.
	discoveryEnds timekeeper.Instant
	expected      int
	// lastReaderAddress is the address of the reader that sent a list summary last.
	lastReaderAddress string
}

// recordReader records a peer that has sent a list summary.
func (election *election) recordReader(address string) {
	election.mu.Lock()
	defer election.mu.Unlock()
	election.lastReaderAddress = address
}

// startDiscovery makes the entry wait for digests of others, if more entries than
// storeReaders are registered, this one included.
func (election *election) startDiscovery(entries int, now timekeeper.Instant) {
	election.mu.Lock()
	defer election.mu.Unlock()
	if entries > storeReaders {
		election.discoveryEnds, election.expected = now.Add(discoveryTime), entries
	}
}

// discovering reports whether the entry still waits for digests of others; the lock must be held.
func (election *election) discovering(now timekeeper.Instant) bool {
	return now < election.discoveryEnds && election.members < election.expected
}

// lastReader returns the peer that sent a list summary last, or "" if none has.
func (election *election) lastReader() string {
	election.mu.Lock()
	defer election.mu.Unlock()
	return election.lastReaderAddress
}

// elect repeats the election if its result is older than electInterval, then calls use with
// it. Lock order: the election's lock comes before those of the gossiper and the followers,
// which must not hold theirs when they call elect.
func (peers *peers) elect(use func(election *election)) {
	now := peers.direct.clock.Now()
	peers.election.mu.Lock()
	defer peers.election.mu.Unlock()
	if election := &peers.election; election.electedAt == 0 || now.Since(election.electedAt) >= electInterval {
		others := peers.gossiper.RecentMembers(memberTimeout)
		election.peerFailing = slices.ContainsFunc(others, func(other elector.Member) bool { return other.Failing })
		members := slices.Concat(others, []elector.Member{peers.selfMember()})
		election.electedAt, election.members = now, len(members)
		election.readers = elector.Readers(members, storeReaders)
		election.primaries = elector.Primaries(election.readers, primaryReaders)
	}
	use(&peers.election)
}

// selfMember returns this entry as a member of the election.
func (peers *peers) selfMember() elector.Member {
	direct := peers.direct
	return elector.Member{
		Address: addressOf(direct.listeners.peer), DataCentre: gossiper.DataCentreKey(direct.settings.DataCentre),
		Failing: direct.storeFailing(), Stopping: direct.readiness.stopping.Load(),
	}
}

// recentEntries returns the number of members of the election, including this entry.
func (peers *peers) recentEntries() (count int) {
	peers.elect(func(election *election) { count = election.members })
	return count
}

// activeReaders returns the number of readers that share the reads of the store. It is 1
// for up to storeReaders entries, since each of them then reads as often as a single one
// would.
func (peers *peers) activeReaders() (count int) {
	peers.elect(func(election *election) {
		count = 1
		if election.members > storeReaders {
			count = max(1, len(election.readers))
		}
	})
	return count
}

// isReader reports whether this entry reads the store for all.
func (peers *peers) isReader() (isReader bool) {
	own := addressOf(peers.direct.listeners.peer)
	now := peers.direct.clock.Now()
	peers.elect(func(election *election) {
		isReader = !election.discovering(now) && elector.Contains(election.readers, own)
	})
	return isReader
}

// isPrimary reports whether this entry reads each change of the list of replicas at once.
func (peers *peers) isPrimary() (isPrimary bool) {
	own := addressOf(peers.direct.listeners.peer)
	peers.elect(func(election *election) { isPrimary = elector.Contains(election.primaries, own) })
	return isPrimary
}

// failingElsewhere reports whether the store fails for another entry.
func (peers *peers) failingElsewhere() (peerFailing bool) {
	peers.elect(func(election *election) { peerFailing = election.peerFailing })
	return peerFailing
}

// readsConfiguration reports whether this entry reads the operator's table: as a reader,
// or because it could not fetch an offered version from a peer.
func (peers *peers) readsConfiguration() bool { return peers.isReader() || peers.offerOverdue() }
