package elector_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/internal/elector"
)

// fleet returns members that are evenly distributed over data centres.
func fleet(members, centres int) []elector.Member {
	out := make([]elector.Member, members)
	for number := range out {
		out[number] = elector.Member{
			Address: fmt.Sprintf("10.%d.0.%d:7340", number%centres, number), DataCentre: uint32(number % centres),
		}
	}
	return out
}

// addresses returns the addresses of members in order.
func addresses(members []elector.Member) []string {
	out := make([]string, 0, len(members))
	for _, member := range members {
		out = append(out, member.Address)
	}
	slices.Sort(out)
	return out
}

func TestNumberOfReaders(t *testing.T) {
	const maxUnshared = 4
	tests := []struct {
		name                   string
		members, centres, want int
	}{
		{"all of a few members", 4, 3, 4},
		{"one data centre with four readers", 24, 1, 4},
		{"three data centres with two readers each", 24, 3, 6},
		{"four data centres with one reader each", 31, 4, 4},
		{"six data centres with one reader each", 103, 6, 6},
		{"the size that the fleet is designed for", 380, 8, 8},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			readers := elector.Readers(fleet(test.members, test.centres), maxUnshared)
			So(readers, ShouldHaveLength, test.want)
		})
	}
}

func TestReadersThatFailAreReplaced(t *testing.T) {
	// Guards against elections that replace more readers than necessary: when readers are
	// unreachable, rejected by the table or stopping, the next in rank of their data centres
	// replace them, and the other readers stay.
	members := fleet(103, 6)
	readers := elector.Readers(members, 4)
	first := readers[0]
	tests := []struct {
		name   string
		change func(member elector.Member) (elector.Member, bool)
		want   int
	}{
		{"one is unreachable", func(member elector.Member) (elector.Member, bool) {
			return member, member.Address != first.Address
		}, 6},
		{"one is rejected by the table", func(member elector.Member) (elector.Member, bool) {
			member.Failing = member.Address == first.Address
			return member, true
		}, 6},
		{"one is stopping", func(member elector.Member) (elector.Member, bool) {
			member.Stopping = member.Address == first.Address
			return member, true
		}, 6},
		{"all are unreachable at once", func(member elector.Member) (elector.Member, bool) {
			return member, !elector.Contains(readers, member.Address)
		}, 6},
		{"the data centre of one is unreachable", func(member elector.Member) (elector.Member, bool) {
			return member, member.DataCentre != first.DataCentre
		}, 5},
		{"all are rejected by the table", func(member elector.Member) (elector.Member, bool) {
			member.Failing = true
			return member, true
		}, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var left []elector.Member
			for _, member := range members {
				if changed, stays := test.change(member); stays {
					left = append(left, changed)
				}
			}
			now := elector.Readers(left, 4)
			So(now, ShouldHaveLength, test.want)
			if test.want != 6 {
				return
			}
			centres := map[uint32]bool{}
			for _, reader := range now {
				centres[reader.DataCentre] = true
			}
			So(centres, ShouldHaveLength, 6)
			So(elector.Contains(now, first.Address), ShouldBeFalse)
			if test.name == "all are unreachable at once" {
				return
			}
			for _, reader := range readers[1:] {
				So(elector.Contains(now, reader.Address), ShouldBeTrue)
			}
		})
	}
}

func TestAtLeastOneReaderIsElected(t *testing.T) {
	// Guards against a fleet without a reader while any member can read, and against elections
	// that depend on the order of the members, which differs between processes.
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 60).Draw(t, "members"), rapid.IntRange(1, 9).Draw(t, "centres"))
		eligible := 0
		for i := range members {
			members[i].Failing = rapid.Bool().Draw(t, "failing")
			members[i].Stopping = rapid.Bool().Draw(t, "stopping")
			if !members[i].Failing && !members[i].Stopping {
				eligible++
			}
		}
		maxUnshared := rapid.IntRange(1, 6).Draw(t, "alone")
		readers := addresses(elector.Readers(members, maxUnshared))
		if eligible > 0 && len(readers) < min(eligible, 1) {
			t.Fatalf("%d members are eligible, %d are elected", eligible, len(readers))
		}
		slices.Reverse(members)
		if !slices.Equal(readers, addresses(elector.Readers(members, maxUnshared))) {
			t.Fatal("the elected readers depend on the order of the members")
		}
	})
}

func ExampleReaders() {
	members := []elector.Member{
		{Address: "10.0.0.1:7340", DataCentre: 1}, {Address: "10.0.0.2:7340", DataCentre: 1, Failing: true},
		{Address: "10.0.0.3:7340", DataCentre: 1}, {Address: "10.1.0.1:7340", DataCentre: 2},
	}
	readers := elector.Readers(members, 1)
	fmt.Println(len(readers), elector.Contains(readers, "10.1.0.1:7340"), elector.Contains(readers, "10.0.0.2:7340"))
	// Output: 2 true false
}

func BenchmarkReaders(b *testing.B) {
	for _, size := range []int{24, 103, 380} {
		members := fleet(size, 6)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				elector.Readers(members, 4)
			}
		})
	}
}

func TestPrimaries(t *testing.T) {
	// Guards against changes that no reader reads at once: a reader that fails or stops counts
	// as a primary, or members elect different ones.
	readers := elector.Readers(fleet(103, 6), 4)
	first := elector.Primaries(readers, 2)
	fail := func(change func(member *elector.Member)) []elector.Member {
		changed := slices.Clone(readers)
		for i := range changed {
			if changed[i].Address == first[0].Address {
				change(&changed[i])
			}
		}
		return elector.Primaries(changed, 2)
	}
	Convey("as many as wanted, in any order of the readers", t, func() {
		So(first, ShouldHaveLength, 2)
		reversed := slices.Clone(readers)
		slices.Reverse(reversed)
		So(elector.Primaries(reversed, 2), ShouldResemble, first)
	})
	Convey("the next in rank takes the place of one that fails or stops", t, func() {
		for _, now := range [][]elector.Member{
			fail(func(member *elector.Member) { member.Failing = true }), fail(func(member *elector.Member) { member.Stopping = true }),
		} {
			So(now, ShouldHaveLength, 2)
			So(now[0], ShouldResemble, first[1])
		}
	})
	Convey("fewer if there are no more", t, func() {
		So(elector.Primaries(readers[:1], 2), ShouldHaveLength, 1)
		So(elector.Primaries(nil, 2), ShouldBeEmpty)
	})
}
