package assembler

import (
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// near is within what time a peer must have been heard of to share the reading of
	// the store: digests come a second apart at the slowest. A replica that leaves may
	// get work for two seconds more, so an entry that is cut off from its peers has to
	// read for itself before that.
	near = 1200 * timekeeper.Millisecond
	// electEvery is for how long a choice of readers holds: it is asked for more often
	// than views change.
	electEvery = 100 * timekeeper.Millisecond
	// introduction is how long an entry that found others in the store waits to hear of
	// them before it reads a second time: their digests come within a second. A hundred
	// that start together would each make calls that one of them can make for all.
	introduction = timekeeper.Second
)

// turns are who reads the store, as this entry sees it. The zero value is ready to use.
type turns struct {
	mu      sync.Mutex
	chosen  timekeeper.Instant
	members int
	readers []elector.Member
	failing bool
	// introduced is until when the entry waits to hear of others.
	introduced timekeeper.Instant
	// last is the reader that told last.
	last string
}

// noteReader notes a peer that has told of its reading.
func (turns *turns) noteReader(address string) {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	turns.last = address
}

// introduce notes how many entries the store knows, this one among them.
func (turns *turns) introduce(entries int, now timekeeper.Instant) {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	if entries > storeReaders {
		turns.introduced = now.Add(introduction)
	}
}

// reader returns the peer that told of its reading last; "" means that none has.
func (turns *turns) reader() string {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	return turns.last
}

// elect brings the choice of readers up to date and calls look with it. Lock order: the
// lock of turns comes before the gossiper's and a follower's, which call here without
// theirs.
func (fellows *fellows) elect(look func(turns *turns)) {
	now := fellows.direct.clock.Now()
	fellows.turns.mu.Lock()
	defer fellows.turns.mu.Unlock()
	if turns := &fellows.turns; turns.chosen == 0 || now.Since(turns.chosen) >= electEvery {
		others := fellows.gossiper.RecentMembers(near)
		turns.failing = slices.ContainsFunc(others, func(other elector.Member) bool { return other.Failing })
		members := slices.Concat(others, []elector.Member{fellows.own()})
		turns.chosen, turns.members = now, len(members)
		turns.readers = elector.Readers(members, storeReaders)
	}
	look(&fellows.turns)
}

// own returns this entry as a member.
func (fellows *fellows) own() elector.Member {
	direct := fellows.direct
	return elector.Member{
		Address: addressOf(direct.listeners.peers), DataCentre: gossiper.DataCentreKey(direct.settings.DataCentre),
		Failing: direct.storeFailing(), Stopping: direct.readiness.leaving.Load(),
	}
}

// sharers returns how many entries share what is read of the store right now.
func (fellows *fellows) sharers() (count int) {
	fellows.elect(func(turns *turns) { count = turns.members })
	return count
}

// takingTurns returns how many readers take turns: few entries each read as if alone.
func (fellows *fellows) takingTurns() (count int) {
	fellows.elect(func(turns *turns) {
		count = 1
		if turns.members > storeReaders {
			count = max(1, len(turns.readers))
		}
	})
	return count
}

// reads reports whether this entry reads the store for all.
func (fellows *fellows) reads() (reads bool) {
	own := addressOf(fellows.direct.listeners.peers)
	now := fellows.direct.clock.Now()
	fellows.elect(func(turns *turns) { reads = now >= turns.introduced && elector.Contains(turns.readers, own) })
	return reads
}

// doubted reports whether another entry finds the store failing.
func (fellows *fellows) doubted() (failing bool) {
	fellows.elect(func(turns *turns) { failing = turns.failing })
	return failing
}

// readsConfiguration reports whether this entry reads the operator's table: for all, or
// because it could not get from a peer what is in force there.
func (fellows *fellows) readsConfiguration() bool { return fellows.reads() || fellows.missing() }
