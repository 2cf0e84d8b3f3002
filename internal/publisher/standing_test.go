package publisher

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAProcessStartsOnceItKnowsEnough(t *testing.T) {
	// All entries are restarted while the store is down. A peer that is cut off,
	// or that has not yet heard of the last change, must not decide alone.
	type round struct {
		known, answered int
		highest         uint64
		at              timekeeper.Instant
	}
	tests := []struct {
		name   string
		rounds []round
		want   uint64
		ready  bool
	}{
		{"nobody answers", []round{{12, 0, 0, 0}, {12, 0, 0, 9000}}, 0, false},
		{"too few answer", []round{{12, 2, 7, 0}, {12, 2, 7, 9000}}, 0, false},
		{"all of the few that are known answer", []round{{2, 2, 7, 0}, {2, 2, 7, 5000}}, 7, true},
		{"one round", []round{{12, 3, 7, 0}}, 0, false},
		{"two rounds too near each other", []round{{12, 3, 7, 0}, {12, 3, 7, 1000}}, 0, false},
		{"the second round heard of more", []round{{12, 3, 7, 0}, {12, 3, 8, 5000}}, 8, true},
		{"the second round heard of less", []round{{12, 3, 8, 0}, {12, 3, 7, 5000}}, 8, true},
		{"peers without a configuration", []round{{12, 3, 0, 0}, {12, 3, 0, 5000}}, 0, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var start StartupState
			var now timekeeper.Instant
			for _, round := range test.rounds {
				now = round.at
				start = start.WithRound(round.known, round.answered, round.highest, now)
			}
			revision, ready := start.Ready(now)
			So(ready, ShouldEqual, test.ready)
			So(revision, ShouldEqual, test.want)
		})
	}
}

func TestWaitsStayInTheirBounds(t *testing.T) {
	Convey("with jitter, and back-off while the store is silent", t, func() {
		standing := RevisionState{}
		So(standing.PollDelay(2000, 0), ShouldEqual, 1600)
		So(standing.PollDelay(2000, 0.5), ShouldEqual, 2000)
		for range 20 {
			standing = standing.RecordStoreFailure()
		}
		So(standing.PollDelay(2000, 0.5), ShouldEqual, longestWait)
		standing, _ = standing.RecordHead(1, 5)
		So(standing.PollDelay(2000, 0.5), ShouldEqual, 2000)
		So(standing.EarlyPollDelay(2000, 1), ShouldEqual, 1000)
	})
}
