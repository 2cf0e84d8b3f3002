package elector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process that could read.
type Member struct {
	// Address names the member. Its rank follows from it alone, so one that starts
	// again has the place that it had.
	Address string
	// DataCentre is a digest of the name of its data centre.
	DataCentre uint32
	// Failing reports that the table did not answer the member's last call, Stopping
	// that it is about to end.
	Failing, Stopping bool
}

// Readers returns the members that read, in no particular order.
//
// Up to alone members each read for themselves. Of more, each data centre has readers of
// its own, as many as it takes to have alone of them together and one at least, so that a
// data centre that is cut off goes on reading. One that the table turns away gives its place
// to the next; while the table turns away all, nobody is chosen.
func Readers(members []Member, alone int) []Member {
	if len(members) <= alone {
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
		each := (alone + len(centres) - 1) / len(centres)
		slices.SortFunc(candidates, byRank)
		readers = append(readers, candidates[:min(each, len(candidates))]...)
	}
	return readers
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

// Contains reports whether a member is among readers.
func Contains(readers []Member, address string) bool {
	return slices.ContainsFunc(readers, func(reader Member) bool { return reader.Address == address })
}
