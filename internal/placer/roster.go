package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replica is one upstream instance of a service, as an entry knows it.
type Replica struct {
	Name    string
	Address string
	Site    string
	// Weight is the replica's share of its usual traffic, up to 1; zero means 1.
	Weight float64
	hash   uint64
}

// WithHash returns the replica with the hash of its name filled in.
func (replica Replica) WithHash() Replica {
	replica.hash = xxhash.Sum64String(replica.Name)
	return replica
}

// Roster is the set of replicas that may get new work. It is an immutable value.
type Roster struct {
	replicas []Replica
}

// NewRoster returns a roster of the replicas.
func NewRoster(replicas []Replica) Roster {
	list := make([]Replica, len(replicas))
	for i, replica := range replicas {
		list[i] = replica.WithHash()
	}
	return Roster{replicas: list}
}

// Len returns the number of replicas.
func (roster Roster) Len() int {
	return len(roster.replicas)
}

// Rank returns the limit replicas with the highest scores for the chat, best first.
func (roster Roster) Rank(chat uint64, limit int) []Replica {
	ranked := slices.Clone(roster.replicas)
	slices.SortFunc(ranked, func(a, b Replica) int {
		return cmp.Compare(score(b.hash, chat), score(a.hash, chat))
	})
	return ranked[:min(limit, len(ranked))]
}

// score mixes the two hashes with the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014), which spreads a difference in any bit over all bits.
func score(replica, chat uint64) uint64 {
	x := replica ^ (chat * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
