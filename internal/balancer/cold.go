package balancer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// WarmUp describes how replicas of a service behave after a start. The zero value stands for
// replicas that are warm at once.
type WarmUp struct {
	// Span is how long a replica stays cold.
	Span timekeeper.Span
	// Rate is how many requests per second a cold replica tolerates from all entries together;
	// zero means any number.
	Rate float64
	// HealthPath is where a replica says how long it stays cold; "" means nowhere.
	HealthPath string
}

const (
	// coldBurstShare is the share of the requests that operators allow beyond the tolerated
	// rate which entries may use for bursts. The rest covers entries that disagree about which
	// entries there are.
	coldBurstShare = 0.7
	// coldBurst is how many requests an entry may send to a cold replica at once.
	coldBurst = 1.0
)

// SetWarmUp sets how replicas of a service behave after a start.
func (fleet *Fleet) SetWarmUp(service string, warmUp WarmUp) { fleet.warmUps[service] = warmUp }

// entries is the set of entries that share the cold-start rate of replicas.
type entries struct {
	own   uint64
	peers []uint64
	// generation changes whenever the set changes.
	generation int
}

// count returns the number of entries, including this one.
func (entries entries) count() int { return 1 + len(entries.peers) }

// SetEntries sets which entries share the cold-start rate: this one and its peers, by names
// that all entries use. Until the first call, cold replicas get no requests from this entry.
//
// Silent peers count for as long as they may be cut off from this entry but not from the
// replicas: an entry that counts too few peers takes more than its share.
func (fleet *Fleet) SetEntries(own string, peers []string) {
	digests := make([]uint64, len(peers))
	for i, peer := range peers {
		digests[i] = xxhash.Sum64String(peer)
	}
	fleet.entries = entries{own: xxhash.Sum64String(own), peers: digests, generation: fleet.entries.generation + 1}
}

// coldAllowance is a token bucket for the requests of this entry to a cold replica.
type coldAllowance struct {
	// until is when the replica is warm.
	until timekeeper.Instant
	// level is how many requests may be sent, as of the time at. It is negative if what was sent
	// before leaves no room for more.
	level float64
	at    timekeeper.Instant
	// assigned reports whether this entry is one of those that use the replica, as of a
	// generation of the entries.
	assigned   bool
	generation int
	// turned is set while the replica has turned cold and this entry has not yet wanted to use
	// it since.
	turned bool
}

// warmAtTolerance is how much two readings of the end of the same cold period may differ,
// because of the age of the replica's row.
const warmAtTolerance = 200 * timekeeper.Millisecond

// markCold records that a replica is cold at least until the given time, and reports whether
// the end of its cold period moved by more than warmAtTolerance.
func (member *replica) markCold(until timekeeper.Instant) bool {
	changed := until > member.cold.until.Add(warmAtTolerance)
	member.cold.until = max(member.cold.until, until)
	member.cold.turned = member.cold.turned || changed
	return changed
}

// MarkCold records that a peer has read from an incarnation's row that it is cold until the
// given time. It returns the replica and reports whether that is new.
func (fleet *Fleet) MarkCold(key Key, until timekeeper.Instant) (Replica, bool) {
	member, found := fleet.keys[key]
	if !found {
		return Replica{}, false
	}
	return member.Replica, member.markCold(until)
}

// WarmAt returns when a listed incarnation is warm, as far as this entry knows from rows and
// notices; zero if it doesn't know of a cold period.
func (fleet *Fleet) WarmAt(key Key) timekeeper.Instant {
	member, found := fleet.keys[key]
	if !found {
		return 0
	}
	return member.cold.until
}

// isCold reports whether a replica is cold and its service limits the rate of requests then.
func (fleet *Fleet) isCold(member *replica, now timekeeper.Instant) bool {
	return now < member.cold.until && fleet.warmUps[member.Service].Rate > 0
}

// spendCold takes one request out of a replica's bucket. A request to a warm replica leaves the
// bucket empty: if the replica turns cold, the requests that it has just got count too. Those of
// a second may be all that it tolerates; see chargeCold.
func (fleet *Fleet) spendCold(member *replica, now timekeeper.Instant) {
	cold := &member.cold
	if now < cold.until {
		cold.level = max(0, cold.level-coldBurst)
		return
	}
	cold.level, cold.at = 0, now
	fleet.chargeCold(member, now)
}

// chargeCold takes what is added to a replica's bucket in a second out of it if all entries send
// the replica more than it tolerates cold.
func (fleet *Fleet) chargeCold(member *replica, now timekeeper.Instant) {
	if tolerated := fleet.toleratedCold(member); tolerated > 0 && fleet.rate(member, now) > tolerated {
		share := fleet.settings.coldShareFor(fleet.warmUps[member.Service], fleet.entries.count())
		member.cold.level, member.cold.at = min(member.cold.level, -share.rate), now
	}
}

// coldShare is how entries share the tolerated rate of a cold replica: users entries use the
// replica, each at up to rate requests per second.
type coldShare struct {
	users int
	// rate is in requests per second.
	rate float64
}

// allowedCold returns how many requests the operators allow all entries together to send to a
// cold replica in a second.
func (settings Settings) allowedCold(warmUp WarmUp) float64 {
	return warmUp.Rate*settings.ColdRateFactor + settings.ColdSlack
}

// coldShareFor returns how entries share a cold replica. All users together, each with its
// burst and its rate, stay within what the operators allow in any second.
func (settings Settings) coldShareFor(warmUp WarmUp, entries int) coldShare {
	allowed := settings.allowedCold(warmUp)
	users := min(entries, max(1, int(coldBurstShare*(allowed-warmUp.Rate)/coldBurst)))
	return coldShare{users: users, rate: max(0, min(warmUp.Rate, allowed-coldBurst*float64(users))) / float64(users)}
}

// admitsCold reports whether this entry may send one more request to a cold replica now.
// Rendezvous hashing assigns a few entries to each replica, which bounds the total of their
// requests without any message between entries.
func (fleet *Fleet) admitsCold(member *replica, now timekeeper.Instant) bool {
	if fleet.entries.generation == 0 {
		return false
	}
	share := fleet.settings.coldShareFor(fleet.warmUps[member.Service], fleet.entries.count())
	cold := &member.cold
	if cold.generation != fleet.entries.generation {
		cold.assigned, cold.generation = fleet.entries.uses(member.key, share.users), fleet.entries.generation
	}
	if !cold.assigned {
		return false
	}
	if cold.at == 0 {
		// A random initial level lets the users of a replica start at different times.
		cold.level, cold.at = coldBurst*fleet.random.Float64(), now
	}
	if cold.turned {
		cold.turned = false
		fleet.chargeCold(member, now)
	}
	cold.level = min(coldBurst, cold.level+share.rate*float64(now.Since(cold.at))/float64(timekeeper.Second))
	cold.at = now
	return cold.level >= coldBurst
}

// uses reports whether this entry is one of the given number of users of a replica.
func (entries entries) uses(key Key, users int) bool {
	own, heavier := entryWeight(entries.own, key), 0
	for _, peer := range entries.peers {
		if entryWeight(peer, key) > own {
			heavier++
		}
	}
	return heavier < users
}

// entryWeight returns the rendezvous weight of an entry for a replica. The entries with the
// highest weights use the replica.
func entryWeight(entry uint64, key Key) uint64 {
	// The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
	mix := entry ^ uint64(key)*0x9e3779b97f4a7c15
	mix = (mix ^ mix>>30) * 0xbf58476d1ce4e5b9
	mix = (mix ^ mix>>27) * 0x94d049bb133111eb
	return mix ^ mix>>31
}
