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
	// probesPerChat is how many points of the ring are looked up for a chat.
	probesPerChat = 12
	// WholeShare is the Share of a replica that has all of its weight.
	WholeShare = 16
	// maxWeight bounds the memory that one replica takes on the ring.
	maxWeight = 16
)

// Replica is one upstream instance of a service, as an entry knows it.
type Replica struct {
	Name    string
	Address string
	Site    string
	// Weight sets the replica's part of the chats in proportion to the other
	// replicas; zero means 1.
	Weight int
	// Share is the fraction of its weight, up to 1, that the replica has now, in
	// sixteenths; zero means all of it.
	Share int
}

// point is a position on the ring that belongs to a replica.
type point struct {
	at      uint64
	replica int32
}

// Roster is the set of replicas that may get new work. It is an immutable value.
type Roster struct {
	replicas []Replica
	ring     []point
	// starts cuts the ring into equal sectors and holds the index of the first point
	// in or after each sector, so that a lookup needs no search.
	starts []int32
	// shift is how far a hash is shifted right to give its sector.
	shift uint
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
// reduced Share has only the first of its points, so that each chat that it
// keeps stays where it was.
func (replica Replica) points() int {
	points := pointsPerWeight * min(max(1, replica.Weight), maxWeight)
	if replica.Share > 0 {
		points = max(1, points*min(replica.Share, WholeShare)/WholeShare)
	}
	return points
}

// index fills starts from the sorted ring.
func (roster *Roster) index() {
	if len(roster.ring) == 0 {
		return
	}
	digits := bits.Len(uint(len(roster.ring)))
	roster.shift = uint(64 - digits)
	roster.starts = make([]int32, 1<<digits)
	next := 0
	for sector := range roster.starts {
		for next < len(roster.ring) && roster.ring[next].at < uint64(sector)<<roster.shift {
			next++
		}
		roster.starts[sector] = int32(next)
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
	var buffer [8]neighbour
	nearest := buffer[:0]
	for probe := range uint64(probesPerChat) {
		nearest = roster.walk(mix(chat, probe), nearest, limit)
	}
	ranked := make([]Replica, len(nearest))
	for i, found := range nearest {
		ranked[i] = roster.replicas[found.replica]
	}
	return ranked
}

// neighbour is a replica with its distance to a chat.
type neighbour struct {
	distance uint64
	replica  int32
}

// walk follows the ring from a probe and merges the replicas that it meets into
// nearest, the limit nearest of all probes so far. It stops at the first point
// that is farther than all of them.
func (roster Roster) walk(probe uint64, nearest []neighbour, limit int) []neighbour {
	at := int(roster.starts[probe>>roster.shift])
	for at < len(roster.ring) && roster.ring[at].at < probe {
		at++
	}
	for range roster.ring {
		if at >= len(roster.ring) {
			at = 0
		}
		current := roster.ring[at]
		found := neighbour{distance: current.at - probe, replica: current.replica}
		if len(nearest) == limit && found.distance >= nearest[limit-1].distance {
			return nearest
		}
		nearest = insert(nearest, found, limit)
		at++
	}
	return nearest
}

// insert adds a replica to nearest in the order of distance. A replica stands
// there once, with its shortest distance.
func insert(nearest []neighbour, found neighbour, limit int) []neighbour {
	present := slices.IndexFunc(nearest, func(other neighbour) bool { return other.replica == found.replica })
	switch {
	case present >= 0 && nearest[present].distance <= found.distance:
		return nearest
	case present >= 0:
		nearest = slices.Delete(nearest, present, present+1)
	case len(nearest) == limit:
		nearest = nearest[:limit-1]
	}
	at := 0
	for at < len(nearest) && nearest[at].distance < found.distance {
		at++
	}
	return slices.Insert(nearest, at, found)
}

// mix hashes two numbers with the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014), which spreads a difference in any bit over all bits.
func mix(seed, number uint64) uint64 {
	x := seed + (number+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
