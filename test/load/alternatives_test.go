package load

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// alternatives returns further placement policies to compare for reuse.
func alternatives() []policy {
	return []policy{
		baseline("modulo", func(fleet *fleet, request request) []string {
			names := fleet.names()
			at := int(request.chat % uint64(len(names)))
			return append(slices.Clone(names[at:]), names[:at]...)
		}),
		baseline("ring", func(fleet *fleet, request request) []string { return ringOrder(fleet.names(), request.chat) }),
		baseline("two-choices", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			fleet.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			if len(names) > 1 && fleet.members[names[1]].controller.Load().Work < fleet.members[names[0]].controller.Load().Work {
				names[0], names[1] = names[1], names[0]
			}
			return names
		}),
	}
}

// ringPoint is one of a replica's points on a consistent-hashing ring
// (Karger et al., 1997).
type ringPoint struct {
	hash uint64
	name string
}

// ringOrder returns the replicas in the order of their points after the chat's hash.
func ringOrder(names []string, chat uint64) []string {
	const pointsPerReplica = 16
	ring := make([]ringPoint, 0, len(names)*pointsPerReplica)
	for _, name := range names {
		for i := range pointsPerReplica {
			ring = append(ring, ringPoint{xxhash.Sum64String(name + "/" + strconv.Itoa(i)), name})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	first, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(strconv.FormatUint(chat, 36)), func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	order := make([]string, 0, len(names))
	for i := range ring {
		name := ring[(first+i)%len(ring)].name
		if !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return order
}
