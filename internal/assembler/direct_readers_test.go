package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestStartingEntryWaitsForDigests(t *testing.T) {
	// Guards against a burst of reads when a hundred entries start together: each has read
	// the store once and receives digests within a second, but until then would take
	// itself for the only entry and read again. An entry that finds few others registered,
	// or none, goes on at once.
	tests := []struct {
		name     string
		entries  int
		isReader bool
	}{{"the only entry", 1, true}, {"one of four", storeReaders, true}, {"one of a hundred", 100, false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct, release := directOnLoopback(t)
			defer release()
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			direct.clock = clock.Clock()
			direct.peers.election.startDiscovery(test.entries, clock.Now())
			So(direct.peers.isReader(), ShouldEqual, test.isReader)
			clock.Advance(discoveryTime)
			So(direct.peers.isReader(), ShouldBeTrue)
		})
	}
}

func TestDiscoveryEndsWithTheLastDigest(t *testing.T) {
	// Guards against a reader that has restarted under its address and does not read for a
	// second, while the others count on it.
	direct, release := directOnLoopback(t)
	defer release()
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	direct.clock = clock.Clock()
	direct.peers.election.startDiscovery(6, clock.Now())
	self := direct.peers.selfMember()
	tests := []struct {
		name     string
		members  int
		isReader bool
	}{{"a digest is missing", 5, false}, {"all digests have arrived", 6, true}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct.peers.election.electedAt, direct.peers.election.members = clock.Now(), test.members
			direct.peers.election.readers = []elector.Member{self}
			So(direct.peers.isReader(), ShouldEqual, test.isReader)
		})
	}
}
