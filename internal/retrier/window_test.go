package retrier

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// event is a request or a retry of the fleet.
type event struct {
	at    timekeeper.Instant
	retry bool
}

// countAround counts the retries in the window that starts with an event, and
// the requests of that window and the previous one, since a request may be
// retried in the window after its own.
func countAround(events []event, from int, span timekeeper.Span) (requests, retries float64) {
	start := events[from].at
	for i, other := range events {
		switch {
		case !other.retry && other.at > start.Add(-span) && other.at < start.Add(span):
			requests++
		case other.retry && i >= from && other.at < start.Add(span):
			retries++
		}
	}
	return requests, retries
}

// TestAFleetStaysWithinItsRetries checks the limit that protects the remaining
// replicas when others fail: over every window, the retries of all entries
// together stay within the ratio of the requests plus the allowance, however the
// requests are spread over the entries and while entries restart.
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
		var events []event
		restarts := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(timekeeper.Span(rapid.IntRange(0, 400).Draw(t, "pause")))
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			// Each part that no entry uses allows for one restart.
			if restarts < parts-len(entries) && rapid.IntRange(0, 49).Draw(t, "restart") == 0 {
				restarts++
				entries[i] = NewWindow(WindowSettings{Span: span, Ratio: ratio, Extra: extra})
			}
			entries[i].Earn(now)
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if entries[i].Spend(parts, now) {
					events = append(events, event{at: now, retry: true})
				}
			}
		}
		for i, from := range events {
			requests, retries := countAround(events, i, span)
			if retries > ratio*requests+extra {
				t.Fatalf("%v retries for %v requests after %v", retries, requests, from.at)
			}
		}
	})
}

func TestRetriesReturnAfterTheWindow(t *testing.T) {
	window := NewWindow(WindowSettings{Span: timekeeper.Second, Extra: 2})
	start := timekeeper.Instant(timekeeper.Hour)
	Convey("a spent retry is available again after the window", t, func() {
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
