package elector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process that is eligible as a reader.
type Member struct {
	// Address identifies the member. The rank depends on it alone, so a member that
	// restarts keeps its rank.
	Address string
	// DataCentre is a hash of the name of the member's data centre.
	DataCentre uint32
	// Failing reports whether the member's last call to the table failed, and Stopping
	// whether the member is about to stop.
	Failing, Stopping bool
}

// Readers returns the elected readers, in no particular order.
//
// Up to maxUnshared members, each reads for itself. With more, each data centre elects
// readers of its own, so that one that is cut off continues to read: as many as are needed
// for at least maxUnshared in total, and at least one. A failing or stopping member is
// replaced by the next in rank; while the table rejects all members, none is elected.
func Readers(members []Member, maxUnshared int) []Member {
	if len(members) <= maxUnshared {
		return members
	}
	centres := map[uint32][]Member{}
	for _, member := range members {
		if !member.Failing && !member.Stopping {
			centres[member.DataCentre] = append(centres[member.DataCentre], member)
		}
	}
	var readers []Member
	for _, candidates := range centres {
		perCentre := (maxUnshared + len(centres) - 1) / len(centres)
		slices.SortFunc(candidates, byRank)
		readers = append(readers, candidates[:min(perCentre, len(candidates))]...)
	}
	return readers
}

// Primaries returns the readers that read each change of the table at once: the first count in
// rank that are neither failing nor stopping.
func Primaries(readers []Member, count int) []Member {
	able := slices.DeleteFunc(slices.Clone(readers), func(reader Member) bool { return reader.Failing || reader.Stopping })
	slices.SortFunc(able, byRank)
	return able[:min(count, len(able))]
}

// byRank orders members by the hash of their addresses.
func byRank(a, b Member) int {
	first, second := xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)
	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	}
	return 0
}

// Contains reports whether the member with an address is among the readers.
func Contains(readers []Member, address string) bool {
	return slices.ContainsFunc(readers, func(reader Member) bool { return reader.Address == address })
}
