package gossiper

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// alive is how long a peer counts as up after its last digest.
	alive = 3 * timekeeper.Second
	// knock is how often a silent peer is still sent a digest: it may be behind a
	// cut, and it learns of us by it.
	knock = timekeeper.Second
	// forgotten is how long a silent peer is kept: longer than any cut should last.
	forgotten = 10 * timekeeper.Minute
	// mostPeers bounds the peers; digests at that number are a second apart.
	mostPeers = 1024
	// introduceEvery is how often a digest passes on the addresses of others: peers
	// that the store did not name are found within some seconds.
	introduceEvery = 16
	// mostIntroduced bounds the addresses that a digest passes on.
	mostIntroduced = 16
)

// peer is another entry, by its address.
type peer struct {
	address string
	// heard is when it was last heard of itself; zero means never.
	heard timekeeper.Instant
	sent  timekeeper.Instant
	known timekeeper.Instant
	// incarnation and sequence are those of its last digest.
	incarnation uint64
	sequence    uint64
	// member is what its last digest says of its reading of the store.
	member elector.Member
}

// peers are the entries that are known.
type peers struct {
	own   string
	known map[string]*peer
}

func newPeers(own string) *peers {
	return &peers{own: own, known: map[string]*peer{}}
}

// learn notes an address that someone named.
func (peers *peers) learn(address string, now timekeeper.Instant) *peer {
	if found, ok := peers.known[address]; ok {
		return found
	}
	if address == peers.own || len(peers.known) >= mostPeers {
		return nil
	}
	fresh := &peer{address: address, known: now}
	peers.known[address] = fresh
	return fresh
}

// hear notes a digest and reports whether it is newer than the last one.
func (peers *peers) hear(address string, incarnation, sequence uint64, now timekeeper.Instant) bool {
	known := peers.learn(address, now)
	if known == nil {
		return false
	}
	if known.incarnation == incarnation && sequence <= known.sequence {
		return false
	}
	known.heard, known.incarnation, known.sequence = now, incarnation, sequence
	return true
}

// describe notes what a peer that was heard says of itself.
func (peers *peers) describe(member elector.Member) {
	if known, found := peers.known[member.Address]; found {
		known.member = member
	}
}

// members returns the peers that were heard of within a span.
func (peers *peers) members(span timekeeper.Span, now timekeeper.Instant) []elector.Member {
	near := peers.heardWithin(span, now)
	members := make([]elector.Member, 0, len(near))
	for _, address := range near {
		members = append(members, peers.known[address].member)
	}
	return members
}

// due returns the addresses that get the next digest.
func (peers *peers) due(now timekeeper.Instant) []string {
	var due []string
	for address, known := range peers.known {
		if now.Since(max(known.heard, known.known)) > forgotten {
			delete(peers.known, address)
			continue
		}
		up := known.heard != 0 && now.Since(known.heard) <= alive
		if up || now.Since(known.sent) >= knock {
			known.sent = now
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}

// up returns the addresses of peers that count as up.
func (peers *peers) up(now timekeeper.Instant) []string {
	up := peers.heardWithin(alive, now)
	slices.Sort(up)
	return up
}

// knownWithin returns the addresses of peers that were heard or learnt of within a span.
func (peers *peers) knownWithin(span timekeeper.Span, now timekeeper.Instant) []string {
	var within []string
	for address, known := range peers.known {
		if now.Since(max(known.heard, known.known)) <= span {
			within = append(within, address)
		}
	}
	return within
}

// heardWithin returns the addresses of peers that were heard of within a span.
func (peers *peers) heardWithin(span timekeeper.Span, now timekeeper.Instant) []string {
	var heard []string
	for address, known := range peers.known {
		if known.heard != 0 && now.Since(known.heard) <= span {
			heard = append(heard, address)
		}
	}
	return heard
}
