package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// lentShare is the share of a replica's connections that the entry with most requests may use
	// beyond its own. The entries' own shares are half of the connections together, so two entries
	// may use it at a time while one takes over from the other.
	lentShare = 0.25
	// mostFactor is how many times the requests of any peer an entry must have to have most, and
	// minMost how many at least.
	mostFactor = 2
	minMost    = 2
)

// ConnectionLimit returns how many of the connections that a replica accepts from all entries
// together this one may use, if they are divided into a number of shares. The entry that has most
// requests may use more: peers leave most of their shares unused.
func (fleet *Fleet) ConnectionLimit(connections, shares int, now timekeeper.Instant) int {
	limit := max(1, connections/shares)
	if fleet.HasMostRequests(now) {
		limit += int(lentShare * float64(connections))
	}
	return limit
}

// HasMostRequests reports whether this entry has far more requests in flight than any other, by the
// digests that entries sent last. All peers must have sent one since this entry has as many as
// minMost: in a rush to all entries alike, older digests would make each believe that it has most. An
// entry without peers can't know.
func (fleet *Fleet) HasMostRequests(now timekeeper.Instant) bool {
	if fleet.manySince == 0 {
		return false
	}
	live, most := false, 0
	for _, digest := range fleet.peers {
		if now > digest.until {
			continue
		}
		if digest.receivedAt <= fleet.manySince {
			return false
		}
		live, most = true, max(most, digest.running)
	}
	return live && fleet.sentRunning >= mostFactor*most
}

// recordSent records how many requests in flight a digest says that this entry has.
func (fleet *Fleet) recordSent(running int, now timekeeper.Instant) {
	fleet.sentRunning = running
	switch {
	case running < minMost:
		fleet.manySince = 0
	case fleet.manySince == 0:
		fleet.manySince = now
	}
}

// runningOf returns the number of requests at all replicas.
func runningOf(inFlight map[Key]InFlight) (running int) {
	for _, held := range inFlight {
		running += held.Running
	}
	return running
}
