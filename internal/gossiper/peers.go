package gossiper

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// liveTimeout is how long a peer counts as live after its last digest.
	liveTimeout = 3 * timekeeper.Second
	// probeInterval is how often a silent peer is sent a digest: it may be cut off, and the
	// digest gives it this entry's address.
	probeInterval = timekeeper.Second
	// forgetAfter is how long a silent peer is kept, longer than any cut should last.
	forgetAfter = 10 * timekeeper.Minute
	// maxPeers bounds the peers; with that many, digests are a second apart.
	maxPeers = 1024
	// introduceEvery is how many digests are sent for each one that carries addresses of
	// live peers, so that peers which the store did not list are found within seconds.
	introduceEvery = 16
	// maxIntroduced bounds the addresses of peers in a digest.
	maxIntroduced = 16
)

// peer is another entry.
type peer struct {
	address string
	// lastReceived is when its last digest arrived; zero means never.
	lastReceived timekeeper.Instant
	lastSent     timekeeper.Instant
	// addedAt is when its address was added.
	addedAt timekeeper.Instant
	// incarnation and sequence are those of its last digest.
	incarnation uint64
	sequence    uint64
	// member is the state of the peer as a reader of the store, from its last digest.
	member elector.Member
}

// peers are the known entries, by address.
type peers struct {
	ownAddress string
	byAddress  map[string]*peer
}

func newPeers(ownAddress string) *peers {
	return &peers{ownAddress: ownAddress, byAddress: map[string]*peer{}}
}

// add adds an address, unless it is the entry's own or there are maxPeers already, and
// returns its peer.
func (peers *peers) add(address string, now timekeeper.Instant) *peer {
	if found, ok := peers.byAddress[address]; ok {
		return found
	}
	if address == peers.ownAddress || len(peers.byAddress) >= maxPeers {
		return nil
	}
	added := &peer{address: address, addedAt: now}
	peers.byAddress[address] = added
	return added
}

// receive records a digest and reports whether it is newer than the last one.
func (peers *peers) receive(address string, incarnation, sequence uint64, now timekeeper.Instant) bool {
	sender := peers.add(address, now)
	if sender == nil {
		return false
	}
	if sender.incarnation == incarnation && sequence <= sender.sequence {
		return false
	}
	sender.lastReceived, sender.incarnation, sender.sequence = now, incarnation, sequence
	return true
}

// setMember records the state of a peer that has sent a digest.
func (peers *peers) setMember(member elector.Member) {
	if peer, found := peers.byAddress[member.Address]; found {
		peer.member = member
	}
}

// members returns the peers that have sent a digest within a span.
func (peers *peers) members(span timekeeper.Span, now timekeeper.Instant) []elector.Member {
	recent := peers.receivedWithin(span, now)
	members := make([]elector.Member, 0, len(recent))
	for _, address := range recent {
		members = append(members, peers.byAddress[address].member)
	}
	return members
}

// recipients returns the addresses that receive the next digest, and removes peers that
// have been silent for too long.
func (peers *peers) recipients(now timekeeper.Instant) []string {
	var recipients []string
	for address, peer := range peers.byAddress {
		if now.Since(max(peer.lastReceived, peer.addedAt)) > forgetAfter {
			delete(peers.byAddress, address)
			continue
		}
		live := peer.lastReceived != 0 && now.Since(peer.lastReceived) <= liveTimeout
		if live || now.Since(peer.lastSent) >= probeInterval {
			peer.lastSent = now
			recipients = append(recipients, address)
		}
	}
	slices.Sort(recipients)
	return recipients
}

// live returns the addresses of the peers that count as live.
func (peers *peers) live(now timekeeper.Instant) []string {
	live := peers.receivedWithin(liveTimeout, now)
	slices.Sort(live)
	return live
}

// knownWithin returns the addresses of peers that sent a digest or were added within a
// span.
func (peers *peers) knownWithin(span timekeeper.Span, now timekeeper.Instant) []string {
	var within []string
	for address, peer := range peers.byAddress {
		if now.Since(max(peer.lastReceived, peer.addedAt)) <= span {
			within = append(within, address)
		}
	}
	return within
}

// receivedWithin returns the addresses of peers that have sent a digest within a span.
func (peers *peers) receivedWithin(span timekeeper.Span, now timekeeper.Instant) []string {
	var received []string
	for address, peer := range peers.byAddress {
		if peer.lastReceived != 0 && now.Since(peer.lastReceived) <= span {
			received = append(received, address)
		}
	}
	return received
}
