package assembler

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// fetchDelay leaves the store the time to bring a new version by itself, and a peer
	// of the same data centre the time to offer it: bytes between data centres are paid.
	fetchDelay = 150 * timekeeper.Millisecond
	// fetchSpread is within what time those who leave the reading to others fetch from
	// a peer of their data centre.
	fetchSpread = 80 * timekeeper.Millisecond
	// fetchPatience bounds the fetch of a configuration from a peer.
	fetchPatience = 800 * timekeeper.Millisecond
	// offerPatience is how long after a newer version was first offered an entry that
	// still lacks it reads the store. A change must be in force within two seconds on
	// the small sites.
	offerPatience = 700 * timekeeper.Millisecond
	// mostTransfers is how many peers an entry gives a copy at a time. The smallest
	// machines have 20 Mbit/s: a configuration of 300 KB to sixteen peers at once takes
	// two seconds for all of them, to three at a time a third of a second for the first,
	// who can pass it on.
	mostTransfers = 3
)

// offer is a peer that has a newer configuration.
type offer struct {
	address    string
	version    uint64
	sameCentre bool
}

// transfers counts the copies that are being given.
type transfers struct{ active atomic.Int64 }

// begin reports whether there is room for one more; if so it must be followed by end.
func (transfers *transfers) begin() bool {
	if transfers.active.Add(1) > mostTransfers {
		transfers.active.Add(-1)
		return false
	}
	return true
}

func (transfers *transfers) end() { transfers.active.Add(-1) }

// offer notes a peer that has a newer configuration, and fetches it: the store may turn
// this entry away, and in a large fleet most entries get each version so, from a peer of
// their data centre where one has it.
func (fellows *fellows) offer(from offer) {
	delay := fetchDelay
	if from.sameCentre && !fellows.reads() {
		delay = timekeeper.Span(rand.Int64N(int64(fetchSpread)))
	}
	version := fellows.direct.version()
	fellows.mu.Lock()
	defer fellows.mu.Unlock()
	if fellows.wanted <= version {
		fellows.wantedSince = fellows.direct.clock.Now()
	}
	fellows.wanted = max(fellows.wanted, from.version)
	if !fellows.fetching {
		fellows.fetching, fellows.offered = true, from
		go fellows.fetch(delay)
		return
	}
	if from.sameCentre && !fellows.offered.sameCentre {
		fellows.offered = from
	}
}

// fetch fetches a newer configuration after a delay, if it has not come by then.
func (fellows *fellows) fetch(delay timekeeper.Span) {
	ctx, cancel := context.WithTimeout(context.Background(), (delay + fetchPatience).Duration())
	defer cancel()
	before := fellows.direct.version()
	_ = fellows.direct.clock.Sleep(ctx, delay)
	fellows.mu.Lock()
	from := fellows.offered
	fellows.mu.Unlock()
	if fellows.direct.version() == before {
		document, err := fellows.get(ctx, from.address)
		if err == nil {
			fellows.direct.accept(document, "peer "+from.address)
		} else {
			fellows.direct.log.WithFields(logrus.Fields{
				"peer": from.address, labelCause: err.Error(),
			}).Warn("configuration not fetched")
		}
	}
	fellows.mu.Lock()
	defer fellows.mu.Unlock()
	fellows.fetching = false
}

// missing reports whether a newer configuration has been offered for so long that it
// has to be read from the store.
func (fellows *fellows) missing() bool {
	version := fellows.direct.version()
	fellows.mu.Lock()
	defer fellows.mu.Unlock()
	return version < fellows.wanted && fellows.direct.clock.Now().Since(fellows.wantedSince) > offerPatience
}
