package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// peerLife is how long a peer's digest counts. Peers send ten a second; one that
// has been silent for this long is down, and so are its requests.
const peerLife = 800 * timekeeper.Millisecond

// Held is what one entry has under way at one replica.
type Held struct {
	// Running counts requests.
	Running int
	// Unread are prompt tokens whose first event is due.
	Unread int
}

// peerDigest is what a peer has under way everywhere.
type peerDigest struct {
	held map[string]Held
	at   timekeeper.Instant
}

// SetPeer takes in what a peer has under way, by incarnation.
func (fleet *Fleet) SetPeer(peer string, held map[string]Held, now timekeeper.Instant) {
	fleet.peers[peer] = peerDigest{held: held, at: now}
	for name, digest := range fleet.peers {
		if now.Since(digest.at) > timekeeper.Minute {
			delete(fleet.peers, name)
		}
	}
}

// Peers returns how many peers have sent a digest within the span.
func (fleet *Fleet) Peers(span timekeeper.Span, now timekeeper.Instant) int {
	count := 0
	for _, digest := range fleet.peers {
		if now.Since(digest.at) <= span {
			count++
		}
	}
	return count
}

// Cached notes prompt parts that a peer has sent to a replica.
func (fleet *Fleet) Cached(id string, parts []Part, now timekeeper.Instant) {
	if known, found := fleet.replicas[id]; found {
		fleet.cacheOf(known).touch(parts, now)
	}
}

// Held returns what this entry has under way, by incarnation.
func (fleet *Fleet) Held() map[string]Held {
	held := make(map[string]Held)
	for id, known := range fleet.replicas {
		if known.running > 0 || known.unread > 0 {
			held[id] = Held{Running: known.running, Unread: known.unread}
		}
	}
	return held
}

// peersAt sums what peers have under way at a replica.
func (fleet *Fleet) peersAt(id string, now timekeeper.Instant) Held {
	var sum Held
	for _, digest := range fleet.peers {
		if now.Since(digest.at) > peerLife {
			continue
		}
		held := digest.held[id]
		sum.Running += held.Running
		sum.Unread += held.Unread
	}
	return sum
}
