package relayer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// buckets of the latency histograms, from 5 ms, each 1.6 times the one before.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 16)

// meters are the entry's counters and histograms.
type meters struct {
	scope tally.Scope
}

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope.SubScope("relay")}
}

// refused counts a request that got no route.
func (meters meters) refused(kind classifier.Kind) {
	meters.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused").Inc(1)
}

// struck counts a crash that a request was there for.
func (meters meters) struck() {
	meters.scope.Counter("strikes").Inc(1)
}

// ended counts a request that had a route.
func (meters meters) ended(task *task, failure classifier.Failure, now timekeeper.Instant) {
	outcome := "answered"
	if failure.Kind != 0 {
		outcome = failure.Kind.String()
	}
	tags := map[string]string{"kind": task.route.Kind.String(), "outcome": outcome}
	scope := meters.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("total", buckets).RecordDuration(now.Since(task.arrived).Duration())
	if task.first != 0 {
		scope.Histogram("first", buckets).RecordDuration(task.first.Since(task.arrived).Duration())
	}
	if task.placement != nil {
		scope.Counter("uncached-tokens").Inc(int64(task.placement.Uncached))
	}
}
