package balancer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// InFlight is what one entry has in flight at one replica.
type InFlight struct {
	// Running is the number of requests.
	Running int
	// PendingTokens is the number of uncached prompt tokens of the requests whose answer has
	// not started.
	PendingTokens int
	// Rate is how many requests per second the entry sends there, in units of 1/RateScale; zero
	// if its peers need not know it.
	Rate int
}

// peerDigest is what a peer has in flight at all replicas.
type peerDigest struct {
	inFlight map[Key]InFlight
	// running is the number of requests at all replicas together.
	running int
	// until is when the digest expires: the peer is then down, and so are its requests.
	until timekeeper.Instant
	// receivedAt is when the digest arrived, and interval the time since the peer's previous
	// digest. For a peer's first digest, it is derived from the digest's lifetime.
	receivedAt timekeeper.Instant
	interval   timekeeper.Span
	// checksHealth reports whether the peer checks replicas if it is selected.
	checksHealth bool
}

// Key is a short hash of a replica's incarnation, for messages between entries. Two replicas of
// a fleet share a key once in a million. Then each counts the other's requests as its own, and
// one of them the other's cached parts.
type Key uint32

// KeyOf returns the key of an incarnation, given its name.
func KeyOf(incarnation string) Key { return Key(xxhash.Sum64String(incarnation)) }

// digestsPerLifetime is how many digests a peer sends in the lifetime of one.
const digestsPerLifetime = 3

// SetPeerInFlight applies a digest of what a peer has in flight, by replica key, with the
// digest's lifetime.
func (fleet *Fleet) SetPeerInFlight(peer string, inFlight map[Key]InFlight, lifetime timekeeper.Span, now timekeeper.Instant) {
	digest := peerDigest{inFlight: inFlight, running: runningOf(inFlight), until: now.Add(lifetime), receivedAt: now, interval: lifetime / digestsPerLifetime}
	if before, found := fleet.peers[peer]; found {
		digest.interval = now.Since(before.receivedAt)
		fleet.addDigest(before, -1)
	}
	fleet.peers[peer] = digest
	fleet.addDigest(digest, 1)
	fleet.dropExpired(now)
}

// SetPeerChecksHealth records, from a peer's last digest, whether the peer checks replicas if
// it is selected.
func (fleet *Fleet) SetPeerChecksHealth(peer string, checks bool) {
	if digest, found := fleet.peers[peer]; found {
		digest.checksHealth = checks
		fleet.peers[peer] = digest
	}
}

// addDigest adds a peer's digest to the totals of all peers, or subtracts it if sign is -1. A
// choice looks at each engine: the totals take one look-up for each, the digests of all peers
// hundreds.
func (fleet *Fleet) addDigest(digest peerDigest, sign int) {
	for key, inFlight := range digest.inFlight {
		sum := fleet.peersInFlight[key]
		sum.Running += sign * inFlight.Running
		sum.PendingTokens += sign * inFlight.PendingTokens
		sum.Rate += sign * inFlight.Rate
		if sum == (InFlight{}) {
			delete(fleet.peersInFlight, key)
			continue
		}
		fleet.peersInFlight[key] = sum
	}
}

// dropExpired removes expired digests.
func (fleet *Fleet) dropExpired(now timekeeper.Instant) {
	for peer, digest := range fleet.peers {
		if now > digest.until {
			fleet.addDigest(digest, -1)
			delete(fleet.peers, peer)
		}
	}
}

// digestInterval returns the mean time between two digests of a peer. An entry's information on
// its peers' requests is half as old on average, and that old at most.
func (fleet *Fleet) digestInterval() timekeeper.Span {
	if len(fleet.peers) == 0 {
		return 0
	}
	sum := timekeeper.Span(0)
	for _, digest := range fleet.peers {
		sum += digest.interval
	}
	return sum / timekeeper.Span(len(fleet.peers))
}

// RecordCached records prompt parts that a peer has sent to a replica.
func (fleet *Fleet) RecordCached(key Key, parts []Part, now timekeeper.Instant) {
	if member, found := fleet.keys[key]; found {
		fleet.cacheOf(member).touch(parts, now)
	}
}

// InFlight returns what this entry has in flight, by replica key, for a digest to its peers.
func (fleet *Fleet) InFlight(now timekeeper.Instant) map[Key]InFlight {
	inFlight := make(map[Key]InFlight)
	for _, member := range fleet.replicas {
		held := InFlight{Running: member.running, PendingTokens: member.pendingUpTo(Priorities - 1), Rate: fleet.reportedRate(member, now)}
		if held.Running > 0 || held.PendingTokens > 0 || held.Rate > 0 {
			inFlight[member.key] = held
		}
	}
	fleet.recordSent(runningOf(inFlight), now)
	return inFlight
}

// inFlightOfPeers returns what peers have in flight at a replica. Expired digests must have
// been removed.
func (fleet *Fleet) inFlightOfPeers(key Key) InFlight { return fleet.peersInFlight[key] }
