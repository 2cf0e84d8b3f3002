package follower

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// primarySettings returns the settings of one of four readers of a table.
func primarySettings(table *table, clock timekeeper.Clock, isPrimary func() bool) Settings[int] {
	return Settings[int]{
		Name: "test", Clock: clock, Log: discardLog(), Source: table.source(), Apply: func(map[string]int, Version) {},
		ReadInterval: Interval{Min: 450, Max: 4000, MaxUnshared: 1}, Readers: func() int { return 4 }, IsPrimary: isPrimary,
	}
}

func TestPrimaryReadsEachChangeAtOnce(t *testing.T) {
	// Guards against a change that nobody reads for a second because the change before it has
	// just ended the reads of all readers.
	tests := []struct {
		name string
		// gap is the time between two changes of the table, maxDelay the longest time until
		// the next read may begin, and reads the number of changes.
		gap, maxDelay timekeeper.Span
		reads         int
		primary       bool
	}{
		{"changes that come seldom", timekeeper.Second, batchTime, 100, true},
		{"a few changes at once", 30, batchTime, maxReadCredit, true},
		{"changes that come all the time", 30, 450, 200, true},
		{"another reader", timekeeper.Second, 2700, 100, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table := newTable()
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			follower := New(primarySettings(table, clock.Clock(), func() bool { return test.primary }))
			follower.Step(t.Context())
			clock.Advance(fillTime)
			longest := timekeeper.Span(0)
			for range test.reads {
				table.put("key", 1)
				follower.Step(t.Context())
				delay := follower.untilNextRead(1)
				longest = max(longest, delay)
				clock.Advance(max(test.gap, delay))
			}
			So(longest, ShouldBeLessThanOrEqualTo, test.maxDelay)
			if !test.primary {
				So(longest, ShouldBeGreaterThan, timekeeper.Second)
			}
		})
	}
}

func TestPrimaryKeepsToItsRateOfReads(t *testing.T) {
	// Guards against a primary that calls the store for each of many changes, or all the time
	// while the store answers at once although nothing has changed.
	Convey("one read in the interval, and the credit", t, func() {
		table := newTable()
		clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
		settings := primarySettings(table, clock.Clock(), func() bool { return true })
		reads := 0
		changes := settings.Source.Changes
		settings.Source.Changes = func(ctx context.Context, after Version, wait timekeeper.Span) ([]Change[int], Version, error) {
			reads++
			return changes(ctx, after, wait)
		}
		follower := New(settings)
		follower.Step(t.Context())
		ends := clock.Now().Add(timekeeper.Minute)
		for clock.Now() < ends {
			clock.Advance(follower.untilNextRead(0))
			follower.Step(t.Context())
		}
		So(reads, ShouldBeLessThanOrEqualTo, int(timekeeper.Minute/450)+maxReadCredit+1)
	})
}
