package relayer

import (
	"context"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// pressureEvery is how often the entry measures how late it is.
	pressureEvery = 50 * timekeeper.Millisecond
	// easyLateness is how late an entry may be without refusing anything: what a
	// collection of garbage or a quota of the processor makes of it.
	easyLateness = 100 * timekeeper.Millisecond
	// hardLateness is how late it is when it refuses all but mostRefused of what
	// comes. Callers leave when their request has not been read for a second.
	hardLateness = 400 * timekeeper.Millisecond
	mostRefused  = 0.95
	// pressureMemory is the weight of what was measured before: a tenth of a
	// second later half of it is left.
	pressureMemory = 0.7
)

// pressure measures how late the entry's own work is, by how late a timer is. Refusing costs
// a fraction of serving, so with more callers than the entry has time for those who are
// taken are served before they leave.
type pressure struct {
	clock timekeeper.Clock
	late  atomic.Int64
}

// run measures until ctx ends.
func (pressure *pressure) run(ctx context.Context) {
	for {
		due := pressure.clock.Now().Add(pressureEvery)
		if pressure.clock.Sleep(ctx, pressureEvery) != nil {
			return
		}
		pressure.learn(max(0, pressure.clock.Now().Since(due)))
	}
}

func (pressure *pressure) learn(late timekeeper.Span) {
	known := timekeeper.Span(pressureMemory * float64(pressure.late.Load()))
	pressure.late.Store(int64(max(late, known)))
}

// refuses decides about a request; draw is from [0, 1).
func (pressure *pressure) refuses(draw float64) bool {
	late := timekeeper.Span(pressure.late.Load())
	share := float64(late-easyLateness) / float64(hardLateness-easyLateness)
	return draw < min(share, 1)*mostRefused
}
