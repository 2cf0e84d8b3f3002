package balancer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// WarmUp says how replicas of a service behave after a start. The zero value stands for
// replicas that are warm at once.
type WarmUp struct {
	// Span is for how long a replica is cold.
	Span timekeeper.Span
	// Rate is how many requests a second a cold replica tolerates from all entries; zero
	// means any number.
	Rate float64
}

const (
	// coldLeft is the part of what the operators allow beyond the tolerated rate that
	// entries may use at once; the rest is for entries that disagree about who they are.
	coldLeft = 0.7
	// coldBurst is how many requests an entry may send to a cold replica at once.
	coldBurst = 1.0
)

// SetWarmUp says how replicas of a service behave after a start.
func (fleet *Fleet) SetWarmUp(service string, warming WarmUp) { fleet.warming[service] = warming }

// sharers are the entries that share what cold replicas tolerate.
type sharers struct {
	own    uint64
	others []uint64
	// number changes with each change of them.
	number int
}

// SetEntries says which entries there are: this one and the others, by names that all know
// them by. Until it is called cold replicas get nothing from this entry.
//
// Those that are silent count for as long as they may be cut off from this entry and not
// from replicas: an entry that takes itself for one of few takes more than its part.
func (fleet *Fleet) SetEntries(own string, others []string) {
	digests := make([]uint64, len(others))
	for i, other := range others {
		digests[i] = xxhash.Sum64String(other)
	}
	fleet.sharers = sharers{own: xxhash.Sum64String(own), others: digests, number: fleet.sharers.number + 1}
}

// allowance is what this entry may send to a replica while it is cold.
type allowance struct {
	// until is when the replica is warm.
	until timekeeper.Instant
	// level is how many requests may be sent now, as of an instant.
	level float64
	at    timekeeper.Instant
	// mine reports whether this entry is one of those that use the replica, as of the
	// sharers of a number.
	mine   bool
	number int
}

// coldNoise is by how much two readings of the same cold replica may differ in until when
// it is so: the age of its row.
const coldNoise = timekeeper.Second

// chill notes that a replica is cold until an instant, at least, and reports whether that
// is news.
func (known *replica) chill(until timekeeper.Instant) bool {
	news := until > known.cold.until.Add(coldNoise)
	known.cold.until = max(known.cold.until, until)
	return news
}

// MarkCold notes that a peer has read of an incarnation that it is cold until an instant.
func (fleet *Fleet) MarkCold(key Key, until timekeeper.Instant) {
	if known, found := fleet.keys[key]; found {
		known.chill(until)
	}
}

// spend notes a request to the replica.
func (cold *allowance) spend(now timekeeper.Instant) {
	if now < cold.until {
		cold.level = max(0, cold.level-coldBurst)
	}
}

// coldShare is how entries share what a cold replica tolerates: a few users a replica, each
// at a rate.
type coldShare struct {
	users int
	// rate is in requests a second.
	rate float64
}

// shareOf returns how entries share a cold replica: so that all users together, each with
// its burst and its rate, stay within what the operators allow in any second.
func (settings Settings) shareOf(warming WarmUp, entries int) coldShare {
	allowed := warming.Rate*settings.ColdRateFactor + settings.ColdSlack
	users := min(entries, max(1, int(coldLeft*(allowed-warming.Rate)/coldBurst)))
	return coldShare{users: users, rate: max(0, min(warming.Rate, allowed-coldBurst*float64(users))) / float64(users)}
}

// admitsCold reports whether this entry may send one more request to a cold replica now. A
// few entries use each replica, chosen by rendezvous, so that their sum is bounded without
// any message between them.
func (fleet *Fleet) admitsCold(known *replica, now timekeeper.Instant) bool {
	if fleet.sharers.number == 0 {
		return false
	}
	share := fleet.settings.shareOf(fleet.warming[known.Service], 1+len(fleet.sharers.others))
	cold := &known.cold
	if cold.number != fleet.sharers.number {
		cold.mine, cold.number = fleet.sharers.uses(known.key, share.users), fleet.sharers.number
	}
	if !cold.mine {
		return false
	}
	if cold.at == 0 {
		// Users of one replica begin at different times.
		cold.level, cold.at = coldBurst*fleet.draws.Float64(), now
	}
	cold.level = min(coldBurst, cold.level+share.rate*float64(now.Since(cold.at))/float64(timekeeper.Second))
	cold.at = now
	return cold.level >= coldBurst
}

// uses reports whether this entry is among the users of a replica.
func (sharers sharers) uses(key Key, users int) bool {
	own, before := mixed(sharers.own, key), 0
	for _, other := range sharers.others {
		if mixed(other, key) > own {
			before++
		}
	}
	return before < users
}

// mixed returns the weight of an entry for a replica; the heaviest use it.
func mixed(entry uint64, key Key) uint64 {
	// The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
	mix := entry ^ uint64(key)*0x9e3779b97f4a7c15
	mix = (mix ^ mix>>30) * 0xbf58476d1ce4e5b9
	mix = (mix ^ mix>>27) * 0x94d049bb133111eb
	return mix ^ mix>>31
}
