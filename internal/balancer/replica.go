package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Replica is what the platform lists about one incarnation of a replica.
type Replica struct {
	// ID names the incarnation: a restart has another.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving replicas get no new work.
	Leaving bool
}

// Part is one part of a prompt. Requests share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// standing is what a fleet believes of one replica.
type replica struct {
	Replica
	cache *prefixCache
	// running counts this entry's requests at the replica.
	running int
	// unread are tokens of this entry's requests whose first event is due.
	unread int
	doubt  doubt
	pace   pace
	report loadReport
}

// loadReport is what a replica said of itself with an answer.
type loadReport struct {
	running, waiting, slots int
	at                      timekeeper.Instant
}

// LoadReport is what a replica says of itself: the requests that run and wait
// there, those of all entries together.
type LoadReport struct {
	Running, Waiting, Slots int
}
