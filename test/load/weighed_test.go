package load

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// weighed are further ways of placement that were weighed for reuse.
func weighed() []policy {
	return []policy{
		plain("modulo", func(fleet *fleet, request request) []string {
			names := fleet.names()
			at := int(request.chat % uint64(len(names)))
			return append(slices.Clone(names[at:]), names[:at]...)
		}),
		plain("ring", func(fleet *fleet, request request) []string { return onRing(fleet.names(), request.chat) }),
		plain("two-choices", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			fleet.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			if len(names) > 1 && fleet.members[names[1]].controller.Load().Work < fleet.members[names[0]].controller.Load().Work {
				names[0], names[1] = names[1], names[0]
			}
			return names
		}),
	}
}

// ringPoint is one of a replica's points on the ring of consistent hashing
// (Karger and others, 1997).
type ringPoint struct {
	at   uint64
	name string
}

// onRing returns the replicas in the order in which their points follow the chat.
func onRing(names []string, chat uint64) []string {
	const pointsEach = 16
	ring := make([]ringPoint, 0, len(names)*pointsEach)
	for _, name := range names {
		for i := range pointsEach {
			ring = append(ring, ringPoint{xxhash.Sum64String(name + "/" + strconv.Itoa(i)), name})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	first, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(strconv.FormatUint(chat, 36)), func(point ringPoint, at uint64) int {
		return cmp.Compare(point.at, at)
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
