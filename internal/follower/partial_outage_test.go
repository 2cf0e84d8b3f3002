package follower

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// lapseReadInterval is the time between two reads while lapsed rows may expire.
const lapseReadInterval = 450 * timekeeper.Millisecond

func TestAReplicaGoesWhileTheStoreTurnsOthersAway(t *testing.T) {
	// The store rejects a third of the processes for seconds and serves the others. One of
	// these reads rarely, and while copies differ for a moment nothing confirms its copy
	// for two seconds. A replica is removed without having announced that it leaves. Guards
	// against a row that was taken for one that lapsed in an outage and kept for two
	// seconds too long: callers were sent to the replica 4.1 s after it had left.
	tests := []struct {
		name string
		// served is since when others are served without a gap, counted from the last
		// confirmation of the copy; zero means that no process is served.
		served timekeeper.Span
		// keptFor is how long the row stays.
		keptFor timekeeper.Span
	}{
		{"others are served throughout", 600, 300},
		{"no process is served", 0, 2200},
		{"others are served again", 2000, 1700},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("leaves", 1)
			copied := map[string]int{}
			confirmed := clock.Now()
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: discardLog(), Source: table.source(), Lapse: 2200,
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
			So(follower.action(), ShouldEqual, readTable)
			table.remove("leaves")
			follower.Step(context.Background())
			for left := test.keptFor - 1; left > 0; left -= lapseReadInterval {
				clock.Advance(min(left, lapseReadInterval))
				follower.Step(context.Background())
			}
			So(copied, ShouldResemble, map[string]int{"leaves": 1})
			clock.Advance(1)
			follower.Step(context.Background())
			So(copied, ShouldBeEmpty)
		})
	}
}
