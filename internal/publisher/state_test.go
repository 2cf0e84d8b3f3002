package publisher

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestStartupNeedsEnoughAnswers(t *testing.T) {
	// Guards against a start with an old revision while the store is down and all entries
	// restart: a single peer that is partitioned, or that doesn't know of the last change
	// yet, must not determine the revision.
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
		{"no peer answers", []round{{12, 0, 0, 0}, {12, 0, 0, 9000}}, 0, false},
		{"too few peers answer", []round{{12, 2, 7, 0}, {12, 2, 7, 9000}}, 0, false},
		{"all of the few known peers answer", []round{{2, 2, 7, 0}, {2, 2, 7, 5000}}, 7, true},
		{"one round", []round{{12, 3, 7, 0}}, 0, false},
		{"two rounds too close together", []round{{12, 3, 7, 0}, {12, 3, 7, 1000}}, 0, false},
		{"the second round returns a higher revision", []round{{12, 3, 7, 0}, {12, 3, 8, 5000}}, 8, true},
		{"the second round returns a lower revision", []round{{12, 3, 8, 0}, {12, 3, 7, 5000}}, 8, true},
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

func TestPollDelaysStayInBounds(t *testing.T) {
	Convey("with jitter, and with backoff while the store doesn't answer", t, func() {
		state := RevisionState{}
		So(state.PollDelay(2000, 0), ShouldEqual, 1600)
		So(state.PollDelay(2000, 0.5), ShouldEqual, 2000)
		for range 20 {
			state = state.RecordStoreFailure()
		}
		So(state.PollDelay(2000, 0.5), ShouldEqual, maxPollDelay)
		state, _ = state.RecordHead(1, 5)
		So(state.PollDelay(2000, 0.5), ShouldEqual, 2000)
		So(state.EarlyPollDelay(2000, 1), ShouldEqual, 1000)
	})
}
