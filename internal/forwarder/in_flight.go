package forwarder

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// inFlight tracks the estimated work that this entry has in flight, by service and
// by replica. Each offer carries the work of its service, from which the agent
// computes its share of the service's load. The work of a replica is more recent
// than any load report, but covers this entry's calls only.
type inFlight struct {
	mu        sync.Mutex
	byService map[string]int64
	byReplica map[replicaKey]int64
}

// replicaKey identifies a replica of a service.
type replicaKey struct {
	service string
	replica string
}

func newInFlight() *inFlight {
	return &inFlight{byService: map[string]int64{}, byReplica: map[replicaKey]int64{}}
}

// begin adds a call's work to its service and returns the function that subtracts
// it.
func (inFlight *inFlight) begin(call call) func() {
	return begin(inFlight, inFlight.byService, call.service, call.work)
}

// beginAt adds a call's work to the replica that it is offered to, and returns the
// function that subtracts it.
func (inFlight *inFlight) beginAt(call call, replica string) func() {
	return begin(inFlight, inFlight.byReplica, replicaKey{call.service, replica}, call.work)
}

// begin adds work to a key and returns the function that subtracts it. Keys without
// work are deleted, so the tables hold only what is in flight.
func begin[K comparable](inFlight *inFlight, table map[K]int64, key K, work int64) func() {
	add := func(change int64) {
		inFlight.mu.Lock()
		defer inFlight.mu.Unlock()
		table[key] += change
		if table[key] == 0 {
			delete(table, key)
		}
	}
	add(work)
	return func() { add(-work) }
}

// get returns the work in flight at a service.
func (inFlight *inFlight) get(service string) int64 {
	inFlight.mu.Lock()
	defer inFlight.mu.Unlock()
	return inFlight.byService[service]
}

// leastLoadedSample is how many random replicas are compared for the last attempt
// of a call. Two already spread a burst well (Mitzenmacher, 2001); four cost no
// extra message.
const leastLoadedSample = 4

// leastLoaded returns the replica for the last attempt of a call that its other
// candidates refused at their bound. It compares a few random replicas and the one
// that the last refusal named, and returns the one with the least of this entry's
// work in flight. Reported loads are a second old: in a burst all entries would
// choose the same replica by them, and exceed its bound or be refused once more.
func (entry *Entry) leastLoaded(call call, plan *placer.AttemptPlan, named string) string {
	roster := entry.settings.Roster(call.service)
	sample := roster.Rank(xxhash.Sum64String(call.id), leastLoadedSample)
	if replica, ok := roster.Find(named); ok {
		sample = append([]placer.Replica{replica}, sample...)
	}
	entry.inFlight.mu.Lock()
	defer entry.inFlight.mu.Unlock()
	best, least := "", int64(0)
	for _, replica := range sample {
		if plan.Attempted(replica.Name) {
			continue
		}
		work := entry.inFlight.byReplica[replicaKey{call.service, replica.Name}]
		if best == "" || work < least {
			best, least = replica.Name, work
		}
	}
	return best
}
