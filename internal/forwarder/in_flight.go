package forwarder

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// demand is the work that an entry has under way, by service and by replica.
// Agents read the first from each offer and judge their share of the service's
// load by it. The second is the freshest that an entry knows of a replica's
// load, though it is the entry's own part only.
type demand struct {
	mu        sync.Mutex
	byService map[string]int64
	byReplica map[place]int64
}

// place is a replica of a service.
type place struct {
	service string
	replica string
}

func newDemand() *demand {
	return &demand{byService: map[string]int64{}, byReplica: map[place]int64{}}
}

// begin adds a call's work to its service and returns the function that takes
// it off again.
func (demand *demand) begin(call call) func() {
	return begin(demand, demand.byService, call.service, call.work)
}

// beginAt adds a call's work to the replica that it is offered to.
func (demand *demand) beginAt(call call, replica string) func() {
	return begin(demand, demand.byReplica, place{call.service, replica}, call.work)
}

// begin adds work under a key. A key without work is forgotten, so the tables
// hold no more than what is under way.
func begin[K comparable](demand *demand, table map[K]int64, key K, work int64) func() {
	add := func(change int64) {
		demand.mu.Lock()
		defer demand.mu.Unlock()
		table[key] += change
		if table[key] == 0 {
			delete(table, key)
		}
	}
	add(work)
	return func() { add(-work) }
}

// of returns the work under way at a service.
func (demand *demand) of(service string) int64 {
	demand.mu.Lock()
	defer demand.mu.Unlock()
	return demand.byService[service]
}

// roomSample is how many replicas are compared for the last stop of a call. Two
// already spread a burst well (Mitzenmacher, 2001); four cost no message.
const roomSample = 4

// roomiest returns the replica for the last stop of a call that its other
// candidates refused at their bound: of a few at random and the one that the
// last refusal named, the one at which this entry has the least under way. What
// others tell of a replica's load is a second old, and in a burst all would go
// to the same one, above its bound or to one more refusal.
func (entry *Entry) roomiest(call call, route *placer.AttemptPlan, named string) string {
	roster := entry.settings.Roster(call.service)
	sample := roster.Rank(xxhash.Sum64String(call.id), roomSample)
	if replica, ok := roster.Find(named); ok {
		sample = append([]placer.Replica{replica}, sample...)
	}
	entry.demand.mu.Lock()
	defer entry.demand.mu.Unlock()
	best, least := "", int64(0)
	for _, replica := range sample {
		if route.Attempted(replica.Name) {
			continue
		}
		work := entry.demand.byReplica[place{call.service, replica.Name}]
		if best == "" || work < least {
			best, least = replica.Name, work
		}
	}
	return best
}
