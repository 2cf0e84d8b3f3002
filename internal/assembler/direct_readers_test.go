package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAnEntryThatStartsWaitsToHearOfOthers(t *testing.T) {
	// A hundred entries start together. Each has read the store once and hears of the
	// others within a second; until then it would take itself for the only one and read
	// again. One that finds few others in the store, or none, goes on at once.
	tests := []struct {
		name    string
		entries int
		reads   bool
	}{{"alone", 1, true}, {"one of four", storeReaders, true}, {"one of a hundred", 100, false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct, release := directOnLoopback(t)
			defer release()
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			direct.clock = clock.Clock()
			direct.peers.election.startDiscovery(test.entries, clock.Now())
			So(direct.peers.isReader(), ShouldEqual, test.reads)
			clock.Advance(discoveryTime)
			So(direct.peers.isReader(), ShouldBeTrue)
		})
	}
}
