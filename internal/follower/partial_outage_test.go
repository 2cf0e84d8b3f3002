package follower

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// readsEvery is the time between two reads while rows may be due to go.
const readsEvery = 450 * timekeeper.Millisecond

func TestAReplicaGoesWhileTheStoreTurnsOthersAway(t *testing.T) {
	// The store turns a third of the processes away for seconds and serves the others. One
	// of these reads seldom, and while copies differ for a moment its own is confirmed by
	// none for two seconds. A replica goes without a word; its row was taken for one that
	// lapsed in an outage, and kept for two seconds more than it may: callers were sent to
	// it 4.1 s after it had left.
	tests := []struct {
		name string
		// served is since when others are served without a gap, after the last time that
		// the copy was confirmed; zero means that nobody is.
		served timekeeper.Span
		// kept is for how long the row stays.
		kept timekeeper.Span
	}{
		{"others are served all the while", 600, 300},
		{"nobody is served", 0, 2200},
		{"others are served again", 2000, 1700},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("leaves", 1)
			copied := map[string]int{}
			confirmed := clock.Now()
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200,
				Apply:            func(rows map[string]int, _ Version) { copied = rows },
				FailingElsewhere: func() bool { return true },
				ServingOthersSince: func(from timekeeper.Instant) timekeeper.Instant {
					if test.served == 0 || confirmed.Add(test.served) <= from {
						return 0
					}
					return confirmed.Add(test.served)
				},
			})
			follower.Step(context.Background())
			clock.Advance(2500)
			So(follower.duty(), ShouldEqual, readTable)
			table.remove("leaves")
			follower.Step(context.Background())
			for left := test.kept - 1; left > 0; left -= readsEvery {
				clock.Advance(min(left, readsEvery))
				follower.Step(context.Background())
			}
			So(copied, ShouldResemble, map[string]int{"leaves": 1})
			clock.Advance(1)
			follower.Step(context.Background())
			So(copied, ShouldBeEmpty)
		})
	}
}
