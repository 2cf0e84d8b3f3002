package placer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerWeight is how many points a replica of weight 1 has on the ring.
	pointsPerWeight = 16
	// probes is how many points of the ring are looked up for a chat.
	probes = 12
	// WholeShare is the Share of a replica that has all of its weight.
	WholeShare = 16
	// heaviestWeight bounds the memory that one replica takes on the ring.
	heaviestWeight = 16
)

// Replica is one upstream instance of a service, as an entry knows it.
type Replica struct {
	Name    string
	Address string
	Site    string
	// Weight is the replica's share of the chats; zero means 1.
	Weight int
	// Share is the part of its weight that the replica has now, up to 1, in
	// sixteenths; zero means all of it.
	Share int
}

// point is a place on the ring that belongs to a replica.
type point struct {
	at      uint64
	replica int32
}

// Roster is the set of replicas that may get new work. It is an immutable value.
type Roster struct {
	replicas []Replica
	ring     []point
	// starts holds, for each of an even cut of the ring, the first point in or
	// after it, so that a look-up needs no search.
	starts []int32
	shift  uint
}

// NewRoster returns a roster of the replicas.
func NewRoster(replicas []Replica) Roster {
	roster := Roster{replicas: slices.Clone(replicas)}
	for i, replica := range replicas {
		seed := xxhash.Sum64String(replica.Name)
		for j := range replica.points() {
			roster.ring = append(roster.ring, point{at: mix(seed, uint64(j+1)), replica: int32(i)})
		}
	}
	slices.SortFunc(roster.ring, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	roster.index()
	return roster
}

// points returns how many points the replica has on the ring. A replica with a
// part of its share has the first of its points only, so that each chat it
// keeps stays where it was.
func (replica Replica) points() int {
	points := pointsPerWeight * min(max(1, replica.Weight), heaviestWeight)
	if replica.Share > 0 {
		points = max(1, points*min(replica.Share, WholeShare)/WholeShare)
	}
	return points
}

func (roster *Roster) index() {
	if len(roster.ring) == 0 {
		return
	}
	digits := bits.Len(uint(len(roster.ring)))
	roster.shift = uint(64 - digits)
	roster.starts = make([]int32, 1<<digits)
	next := 0
	for cut := range roster.starts {
		for next < len(roster.ring) && roster.ring[next].at < uint64(cut)<<roster.shift {
			next++
		}
		roster.starts[cut] = int32(next)
	}
}

// Len returns the number of replicas.
func (roster Roster) Len() int {
	return len(roster.replicas)
}

// Without returns the roster without the named replica.
func (roster Roster) Without(name string) Roster {
	rest := slices.Clone(roster.replicas)
	rest = slices.DeleteFunc(rest, func(replica Replica) bool { return replica.Name == name })
	return NewRoster(rest)
}

// Find returns the replica of the name.
func (roster Roster) Find(name string) (Replica, bool) {
	at := slices.IndexFunc(roster.replicas, func(replica Replica) bool { return replica.Name == name })
	if at < 0 {
		return Replica{}, false
	}
	return roster.replicas[at], true
}

// Rank returns the limit replicas that are nearest to the chat, nearest first.
// Its cost grows with limit and not with the number of replicas.
func (roster Roster) Rank(chat uint64, limit int) []Replica {
	limit = min(limit, len(roster.replicas))
	if limit <= 0 {
		return nil
	}
	var room [8]nearby
	near := room[:0]
	for probe := range uint64(probes) {
		near = roster.walk(mix(chat, probe), near, limit)
	}
	ranked := make([]Replica, len(near))
	for i, found := range near {
		ranked[i] = roster.replicas[found.replica]
	}
	return ranked
}

// nearby is a replica with its distance to a chat.
type nearby struct {
	distance uint64
	replica  int32
}

// walk goes along the ring from a probe and puts the replicas it meets into
// near, the limit nearest of all probes so far. It ends at the first point that
// is farther than all of them.
func (roster Roster) walk(probe uint64, near []nearby, limit int) []nearby {
	at := int(roster.starts[probe>>roster.shift])
	for at < len(roster.ring) && roster.ring[at].at < probe {
		at++
	}
	for range roster.ring {
		if at >= len(roster.ring) {
			at = 0
		}
		here := roster.ring[at]
		found := nearby{distance: here.at - probe, replica: here.replica}
		if len(near) == limit && found.distance >= near[limit-1].distance {
			return near
		}
		near = insert(near, found, limit)
		at++
	}
	return near
}

// insert puts a replica at its place in near, once.
func insert(near []nearby, found nearby, limit int) []nearby {
	known := slices.IndexFunc(near, func(other nearby) bool { return other.replica == found.replica })
	switch {
	case known >= 0 && near[known].distance <= found.distance:
		return near
	case known >= 0:
		near = slices.Delete(near, known, known+1)
	case len(near) == limit:
		near = near[:limit-1]
	}
	at := 0
	for at < len(near) && near[at].distance < found.distance {
		at++
	}
	return slices.Insert(near, at, found)
}

// mix hashes two numbers with the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014), which spreads a difference in any bit over all bits.
func mix(seed, number uint64) uint64 {
	x := seed + (number+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
