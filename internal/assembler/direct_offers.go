package assembler

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// fetchDelay is the delay before an offered version is fetched. Meanwhile the store
	// may deliver it, or a peer in the same data centre offer it: traffic between data
	// centres costs money.
	fetchDelay = 150 * timekeeper.Millisecond
	// fetchJitter bounds the random delay after which entries that don't read the store
	// fetch from a peer in their data centre.
	fetchJitter = 80 * timekeeper.Millisecond
	// fetchTimeout bounds a fetch from a peer, of a configuration or of the list of
	// replicas.
	fetchTimeout = 800 * timekeeper.Millisecond
	// offerTimeout is how long after a newer version was first offered an entry that
	// still lacks it reads the store. A change must be in force within two seconds on
	// small sites.
	offerTimeout = 700 * timekeeper.Millisecond
	// maxTransfers is how many copies an entry sends to peers at a time. The smallest
	// machines have 20 Mbit/s: a configuration of 300 KB takes two seconds if sent to
	// sixteen peers at once; sent to three at a time, it reaches the first three, which
	// can pass it on, in a third of a second.
	maxTransfers = 3
	// transferTimeout bounds the sending of a page to a peer or an operator; a peer gives up a copy
	// after fetchTimeout.
	transferTimeout = 2 * fetchTimeout
)

// offer is a newer configuration that a peer has.
type offer struct {
	address        string
	version        uint64
	sameDataCentre bool
}

// transfers limits the copies that are sent to peers at a time.
type transfers struct{ active atomic.Int64 }

// begin reports whether another transfer may start. If it returns true, end must follow.
func (transfers *transfers) begin() bool {
	if transfers.active.Add(1) > maxTransfers {
		transfers.active.Add(-1)
		return false
	}
	return true
}

func (transfers *transfers) end() { transfers.active.Add(-1) }

// handleOffer records a newer configuration that a peer has, and starts to fetch it unless
// a fetch is running. In a large fleet most entries get each version this way, if possible
// from a peer in their data centre; it also works if the store rejects this entry.
func (peers *peers) handleOffer(received offer) {
	delay := fetchDelay
	if received.sameDataCentre && !peers.isReader() {
		delay = timekeeper.Span(rand.Int64N(int64(fetchJitter)))
	}
	version := peers.direct.version()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.newestOffered <= version {
		peers.behindSince = peers.direct.clock.Now()
	}
	peers.newestOffered = max(peers.newestOffered, received.version)
	if !peers.fetching {
		peers.fetching, peers.fetchFrom = true, received
		peers.direct.guard.start("fetch a configuration", func() { peers.fetchOffered(delay) })
		return
	}
	if received.sameDataCentre && !peers.fetchFrom.sameDataCentre {
		peers.fetchFrom = received
	}
}

// fetchOffered fetches the offered configuration after a delay, unless the version in
// force has changed by then.
func (peers *peers) fetchOffered(delay timekeeper.Span) {
	ctx, cancel := context.WithTimeout(context.Background(), (delay + fetchTimeout).Duration())
	defer cancel()
	before := peers.direct.version()
	_ = peers.direct.clock.Sleep(ctx, delay)
	peers.mu.Lock()
	from := peers.fetchFrom
	peers.mu.Unlock()
	if peers.direct.version() == before {
		document, err := peers.fetchConfiguration(ctx, from.address)
		if err == nil {
			peers.direct.applyConfiguration(document, "peer "+from.address)
		} else {
			peers.direct.log.WithFields(logrus.Fields{
				labelPeer: from.address, labelCause: err.Error(),
			}).Warn("configuration not fetched")
		}
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.fetching = false
}

// offerOverdue reports whether an offered configuration has been missing for so long that
// this entry must read the store.
func (peers *peers) offerOverdue() bool {
	version := peers.direct.version()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return version < peers.newestOffered && peers.direct.clock.Now().Since(peers.behindSince) > offerTimeout
}
