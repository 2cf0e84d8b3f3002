package relayer

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// buckets of the latency histograms, from 5 ms, each 1.6 times the one before.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 16)

const (
	// labelService names a service in metrics and logs.
	labelService = "service"
	// labelReplica names a replica in logs.
	labelReplica = "replica"
)

const (
	// mostServices bounds the values of the label labelService: configurations come
	// and go for as long as the process lives. Further ones are otherServices.
	mostServices  = 64
	otherServices = "other"
)

// outcomeAnswered is the outcome of a request that a replica answered whole.
const outcomeAnswered = "answered"

// meters are the entry's counters and histograms.
type meters struct {
	scope tally.Scope

	mu       sync.Mutex
	services map[string]bool
}

func newMeters(scope tally.Scope) *meters {
	return &meters{scope: scope.SubScope("relay"), services: map[string]bool{}}
}

// service returns the label of a service.
func (meters *meters) service(name string) string {
	meters.mu.Lock()
	defer meters.mu.Unlock()
	if !meters.services[name] {
		if len(meters.services) >= mostServices {
			return otherServices
		}
		meters.services[name] = true
	}
	return name
}

// refused counts a request that got no route.
func (meters *meters) refused(kind classifier.Kind) {
	meters.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused").Inc(1)
}

// struck counts a crash that a request was there for.
func (meters *meters) struck() {
	meters.scope.Counter("strikes").Inc(1)
}

// attempted counts what one replica did with a request.
func (meters *meters) attempted(service string, result attemptResult) {
	tags := map[string]string{labelService: meters.service(service), "verdict": result.verdict.String()}
	meters.scope.Tagged(tags).Counter("attempts").Inc(1)
}

// stated counts what replicas say of themselves with answers.
func (meters *meters) stated(service, statement string) {
	tags := map[string]string{labelService: meters.service(service), "statement": statement}
	meters.scope.Tagged(tags).Counter("statements").Inc(1)
}

// retried counts a request that is sent again, or that would be if the retries
// were not used up.
func (meters *meters) retried(service string, allowed bool) {
	name := "retries"
	if !allowed {
		name = "retries-denied"
	}
	meters.scope.Tagged(map[string]string{labelService: meters.service(service)}).Counter(name).Inc(1)
}

// ended counts a request that had a route.
func (meters *meters) ended(task *task, failure classifier.Failure, now timekeeper.Instant) {
	outcome := outcomeAnswered
	if failure.Kind != 0 {
		outcome = failure.Kind.String()
	}
	scope := meters.scope.Tagged(map[string]string{
		labelService: meters.service(task.service), "kind": task.route.Kind.String(), "outcome": outcome,
	})
	scope.Counter("requests").Inc(1)
	scope.Histogram("total", buckets).RecordDuration(now.Since(task.arrived).Duration())
	if task.first != 0 {
		scope.Histogram("first", buckets).RecordDuration(task.first.Since(task.arrived).Duration())
	}
	if task.longestPause > 0 {
		scope.Histogram("longest-pause", buckets).RecordDuration(task.longestPause.Duration())
	}
	if task.waited > 0 {
		scope.Histogram("wait", buckets).RecordDuration(task.waited.Duration())
	}
	if task.placement != nil && len(task.call.Parts) > 0 {
		scope.Counter("uncached-tokens").Inc(int64(task.placement.Uncached))
		scope.Counter("cached-tokens").Inc(int64(balancer.TokensOf(task.call.Parts) - task.placement.Uncached))
	}
}
