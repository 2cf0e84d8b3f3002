package relayer

import (
	"context"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// latenessInterval is the interval at which the entry measures its lateness.
	latenessInterval = 50 * timekeeper.Millisecond
	// minShedLateness is the lateness up to which no request is shed. Garbage collection
	// and CPU quotas cause as much.
	minShedLateness = 100 * timekeeper.Millisecond
	// maxShedLateness is the lateness from which the share maxShedShare of the requests
	// is shed. Callers leave when their request has not been read for a second.
	maxShedLateness = 400 * timekeeper.Millisecond
	maxShedShare    = 0.95
	// latenessDecay is the factor by which a past lateness decays in each interval: half
	// of it is left after a tenth of a second.
	latenessDecay = 0.7
)

// shedder sheds load when the entry is overloaded, which it detects by how late a timer
// fires. Refusing a request costs a fraction of serving it, so under overload the accepted
// requests are served before their callers leave.
type shedder struct {
	clock timekeeper.Clock
	// late is the decaying maximum of the lateness.
	late atomic.Int64
}

// run measures the lateness until ctx ends.
func (shedder *shedder) run(ctx context.Context) {
	for {
		due := shedder.clock.Now().Add(latenessInterval)
		if shedder.clock.Sleep(ctx, latenessInterval) != nil {
			return
		}
		shedder.record(max(0, shedder.clock.Now().Since(due)))
	}
}

// record adds a measured lateness.
func (shedder *shedder) record(late timekeeper.Span) {
	decayed := timekeeper.Span(latenessDecay * float64(shedder.late.Load()))
	shedder.late.Store(int64(max(late, decayed)))
}

// lateness returns how late timers have fired recently.
func (shedder *shedder) lateness() timekeeper.Span { return timekeeper.Span(shedder.late.Load()) }

// sheds reports whether to shed a request; draw is a random number in [0, 1).
func (shedder *shedder) sheds(draw float64) bool {
	late := shedder.lateness()
	share := float64(late-minShedLateness) / float64(maxShedLateness-minShedLateness)
	return draw < min(share, 1)*maxShedShare
}
