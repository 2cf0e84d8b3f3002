package retrier_test

import (
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func ExampleWindow() {
	const parts = 8
	now := timekeeper.Instant(timekeeper.Hour)
	window := retrier.NewWindow(retrier.WindowSettings{
		Span: 10 * timekeeper.Second, Ratio: 0.2, Extra: 16, StartedAt: now.Add(-timekeeper.Minute),
	})
	for range 100 {
		window.Earn(now)
	}
	fmt.Println("may send", window.Usage(parts, now).Remaining)

	if window.Reserve(parts, now) {
		now = now.Add(200) // The request waits for a replica.
		fmt.Println("sent:", window.Spend(parts, now))
	}
	fmt.Println("may send", window.Usage(parts, now).Remaining)

	// A successor starts without what its predecessor has earned, and without its part.
	successor := retrier.NewWindow(retrier.WindowSettings{Span: 10 * timekeeper.Second, Ratio: 0.2, Extra: 16, StartedAt: now})
	fmt.Println("the successor may send", successor.Usage(parts, now).Remaining)
	// Output:
	// may send 12
	// sent: true
	// may send 11
	// the successor may send 0
}
