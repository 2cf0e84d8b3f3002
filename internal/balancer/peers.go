package balancer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// InFlight is what one entry has under way at one replica.
type InFlight struct {
	// Running counts requests.
	Running int
	// PendingTokens are prompt tokens whose first event is due.
	PendingTokens int
}

// peerDigest is what a peer has under way everywhere.
type peerDigest struct {
	held map[Key]InFlight
	// until is when it no longer counts: the peer is down, and so are its requests.
	until timekeeper.Instant
	// heard is when it came, and gap how long after the one before; for the first
	// one of a peer it is taken from how long the digest counts.
	heard timekeeper.Instant
	gap   timekeeper.Span
}

// Key is a short name of a replica's incarnation, for messages between entries.
// Two replicas of a fleet have the same one once in a million; then each counts
// what the other holds as its own, and one of them what the other has cached.
type Key uint32

// KeyOf returns the key of an incarnation by its name.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// gapsOfLife is how many digests of a peer are due while one counts.
const gapsOfLife = 3

// SetPeerInFlight takes in what a peer has under way, by the keys of the replicas, and
// for how long that counts.
func (fleet *Fleet) SetPeerInFlight(peer string, held map[Key]InFlight, life timekeeper.Span, now timekeeper.Instant) {
	digest := peerDigest{held: held, until: now.Add(life), heard: now, gap: life / gapsOfLife}
	if before, found := fleet.peers[peer]; found {
		digest.gap = now.Since(before.heard)
		fleet.addPeer(before, -1)
	}
	fleet.peers[peer] = digest
	fleet.addPeer(digest, 1)
	fleet.dropSilent(now)
}

// addPeer adds what a peer has under way to the sums of all peers, or takes it out. A choice
// looks at each engine: a sum for each is one look-up, a digest of each peer hundreds.
func (fleet *Fleet) addPeer(digest peerDigest, sign int) {
	for key, held := range digest.held {
		sum := fleet.peerSums[key]
		sum.Running += sign * held.Running
		sum.PendingTokens += sign * held.PendingTokens
		if sum == (InFlight{}) {
			delete(fleet.peerSums, key)
			continue
		}
		fleet.peerSums[key] = sum
	}
}

// dropSilent takes out peers whose digests no longer count.
func (fleet *Fleet) dropSilent(now timekeeper.Instant) {
	for peer, digest := range fleet.peers {
		if now > digest.until {
			fleet.addPeer(digest, -1)
			delete(fleet.peers, peer)
		}
	}
}

// staleness returns the mean time between two digests of a peer: what an entry
// believes of the others' requests is half as old on average, and as old at most.
func (fleet *Fleet) staleness() timekeeper.Span {
	if len(fleet.peers) == 0 {
		return 0
	}
	sum := timekeeper.Span(0)
	for _, digest := range fleet.peers {
		sum += digest.gap
	}
	return sum / timekeeper.Span(len(fleet.peers))
}

// RecordCached notes prompt parts that a peer has sent to a replica.
func (fleet *Fleet) RecordCached(key Key, parts []Part, now timekeeper.Instant) {
	if known, found := fleet.keys[key]; found {
		fleet.cacheOf(known).touch(parts, now)
	}
}

// InFlight returns what this entry has under way, by the keys of the replicas.
func (fleet *Fleet) InFlight() map[Key]InFlight {
	held := make(map[Key]InFlight)
	for _, known := range fleet.replicas {
		unread := known.unreadBefore(Priorities - 1)
		if known.running > 0 || unread > 0 {
			held[known.key] = InFlight{Running: known.running, PendingTokens: unread}
		}
	}
	return held
}

// peersAt returns what peers have under way at a replica. Peers that no longer count
// must have been taken out.
func (fleet *Fleet) peersAt(key Key) InFlight { return fleet.peerSums[key] }
