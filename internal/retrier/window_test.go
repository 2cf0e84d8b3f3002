package retrier

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// moment is a request or a retry of the fleet.
type moment struct {
	at    timekeeper.Instant
	retry bool
}

// around counts the retries in the window that begins with a moment, and the
// requests of that window and of the one before it, since what failed is sent
// again later than it came.
func around(moments []moment, from int, span timekeeper.Span) (requests, retries float64) {
	begin := moments[from].at
	for i, other := range moments {
		switch {
		case !other.retry && other.at > begin.Add(-span) && other.at < begin.Add(span):
			requests++
		case other.retry && i >= from && other.at < begin.Add(span):
			retries++
		}
	}
	return requests, retries
}

// TestAFleetStaysWithinItsRetries checks what replicas that fail rely on: over
// every window of the length, the retries of all entries together stay within
// the ratio of the requests and the allowance, whichever entries come and go and
// however the requests fall to them.
func TestAFleetStaysWithinItsRetries(t *testing.T) {
	const (
		span  = 10 * timekeeper.Second
		ratio = 0.2
		extra = 52.0
		parts = 8
	)
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*Window, 4)
		for i := range entries {
			entries[i] = NewWindow(WindowSettings{Span: span, Ratio: ratio, Extra: extra})
		}
		now := timekeeper.Instant(timekeeper.Hour)
		var moments []moment
		restarts := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(timekeeper.Span(rapid.IntRange(0, 400).Draw(t, "pause")))
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			// Each of the parts that no entry holds allows for one restart.
			if restarts < parts-len(entries) && rapid.IntRange(0, 49).Draw(t, "restart") == 0 {
				restarts++
				entries[i] = NewWindow(WindowSettings{Span: span, Ratio: ratio, Extra: extra})
			}
			entries[i].Earn(now)
			moments = append(moments, moment{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if entries[i].Spend(parts, now) {
					moments = append(moments, moment{at: now, retry: true})
				}
			}
		}
		for i, from := range moments {
			requests, retries := around(moments, i, span)
			if retries > ratio*requests+extra {
				t.Fatalf("%v retries for %v requests after %v", retries, requests, from.at)
			}
		}
	})
}

func TestAWindowForgets(t *testing.T) {
	window := NewWindow(WindowSettings{Span: timekeeper.Second, Extra: 2})
	start := timekeeper.Instant(timekeeper.Hour)
	Convey("what was spent comes back after the window", t, func() {
		So(window.Spend(1, start), ShouldBeTrue)
		So(window.Spend(1, start.Add(500)), ShouldBeTrue)
		So(window.Spend(1, start.Add(900)), ShouldBeFalse)
		So(window.Spend(1, start.Add(1000)), ShouldBeFalse)
		So(window.Spend(1, start.Add(1100)), ShouldBeTrue)
		So(window.Spend(1, start.Add(1400)), ShouldBeFalse)
		So(window.Spend(2, start.Add(3000)), ShouldBeTrue)
		So(window.Spend(2, start.Add(3001)), ShouldBeFalse)
	})
}
