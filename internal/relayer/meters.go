package relayer

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/validator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// buckets are the buckets of the latency histograms, from 5 ms, growing by a factor of 1.6.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 16)

const (
	// labelService is the key for a service in metrics and logs.
	labelService = "service"
	// labelReplica is the key for a replica in logs.
	labelReplica = "replica"
	// labelKind is the key for the kind of a failure, a feature or a route in metrics and logs.
	labelKind = "kind"
)

const (
	// maxServices bounds the values of the label labelService, since configurations
	// change while the process runs. Further services are counted as otherServices.
	maxServices   = 64
	otherServices = "other"
)

// outcomeAnswered is the outcome of a request with a complete answer from a replica.
const outcomeAnswered = "answered"

// meters holds the entry's counters and histograms.
type meters struct {
	scope tally.Scope
	// listAge is the age of the list of replicas that requests are placed by.
	listAge tally.Histogram

	mu sync.Mutex
	// services holds the services that have a label of their own.
	services map[string]bool
}

func newMeters(scope tally.Scope) *meters {
	relay := scope.SubScope("relay")
	return &meters{scope: relay, listAge: relay.Histogram("list-age", buckets), services: map[string]bool{}}
}

// service returns the label for a service.
func (meters *meters) service(name string) string {
	meters.mu.Lock()
	defer meters.mu.Unlock()
	if !meters.services[name] {
		if len(meters.services) >= maxServices {
			return otherServices
		}
		meters.services[name] = true
	}
	return name
}

// countRefusal counts a request that was refused before it became a task.
func (meters *meters) countRefusal(kind classifier.Kind) {
	meters.scope.Tagged(map[string]string{labelKind: kind.String()}).Counter("refused").Inc(1)
}

// countShedConnection counts a connection that is closed before anything of it was read.
func (meters *meters) countShedConnection() { meters.scope.Counter("connections-shed").Inc(1) }

// cutCause is why a caller's connection is closed with a request on it that has no whole answer.
type cutCause string

const (
	// cutCallerLeft means that the caller has closed the connection, cutBrokenAnswer that a part of an
	// answer was passed on whose rest can't be had, and cutPanic the same after a panic.
	cutCallerLeft   cutCause = "caller-left"
	cutBrokenAnswer cutCause = "broken-answer"
	cutPanic        cutCause = "panic"
)

// countCut counts a caller's connection that is closed with a request on it.
func (meters *meters) countCut(cause cutCause) {
	meters.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("cut").Inc(1)
}

// countStrike counts a strike: a request, or a part of prompts, that was in flight at a replica when
// it crashed.
func (meters *meters) countStrike(kind quarantiner.Kind) {
	meters.scope.Tagged(map[string]string{labelKind: kind.String()}).Counter("strikes").Inc(1)
}

// countQuarantine counts a part of prompts, or a request, that is quarantined.
func (meters *meters) countQuarantine(kind quarantiner.Kind) {
	meters.scope.Tagged(map[string]string{labelKind: kind.String()}).Counter("quarantines").Inc(1)
}

// countKept counts a request that is kept from replicas for one of its features.
func (meters *meters) countKept(decision quarantiner.Decision) {
	cause := "suspected"
	if decision.Final {
		cause = decision.Refused.Kind.String()
	}
	meters.scope.Tagged(map[string]string{"cause": cause}).Counter("kept-from-replicas").Inc(1)
}

// countAttempt counts an attempt at a replica by its verdict.
func (meters *meters) countAttempt(service string, result attemptResult) {
	tags := map[string]string{labelService: meters.service(service), "verdict": result.verdict.String()}
	meters.scope.Tagged(tags).Counter("attempts").Inc(1)
}

// countLongAnswer counts an answer that was too long by its part.
func (meters *meters) countLongAnswer(service string, part connector.Part) {
	tags := map[string]string{labelService: meters.service(service), "part": part.String()}
	meters.scope.Tagged(tags).Counter("long-answers").Inc(1)
}

// countBrokenAnswer counts an answer that wasn't whole or valid by its part.
func (meters *meters) countBrokenAnswer(service string, part validator.Part) {
	tags := map[string]string{labelService: meters.service(service), "part": string(part)}
	meters.scope.Tagged(tags).Counter("broken-answers").Inc(1)
}

// countStatement counts a statement that a replica made in an answer.
func (meters *meters) countStatement(service, statement string) {
	tags := map[string]string{labelService: meters.service(service), "statement": statement}
	meters.scope.Tagged(tags).Counter("statements").Inc(1)
}

// countLoadReport counts a load report by its fault.
func (meters *meters) countLoadReport(service string, fault LoadFault) {
	tags := map[string]string{labelService: meters.service(service), "fault": fault.label()}
	meters.scope.Tagged(tags).Counter("load-reports").Inc(1)
}

// countHealthCheck counts a health check by its outcome.
func (meters *meters) countHealthCheck(service, outcome string) {
	tags := map[string]string{labelService: meters.service(service), "outcome": outcome}
	meters.scope.Tagged(tags).Counter("health-checks").Inc(1)
}

// countResumption counts a stream that a caller takes up, by where its origin is known from or why
// it isn't known.
func (meters *meters) countResumption(service, source string) {
	tags := map[string]string{labelService: meters.service(service), "source": source}
	meters.scope.Tagged(tags).Counter("resumptions").Inc(1)
}

// countRetry counts a retry, or one that the exhausted retry budget denies.
func (meters *meters) countRetry(service string, allowed bool) {
	name := "retries"
	if !allowed {
		name = "retries-denied"
	}
	meters.scope.Tagged(map[string]string{labelService: meters.service(service)}).Counter(name).Inc(1)
}

// countPlace counts a place at a contended service by the class of the request.
func (meters *meters) countPlace(service, class string) {
	meters.scope.Tagged(map[string]string{labelService: meters.service(service), "class": class}).Counter("places").Inc(1)
}

// countDisplaced counts a waiting request that was refused for one of a lower class.
func (meters *meters) countDisplaced(service string) {
	meters.scope.Tagged(map[string]string{labelService: meters.service(service)}).Counter("displaced").Inc(1)
}

// countReturn counts a request by its standing and outcome, if it returned on a reservation or was
// given a time of return.
func (meters *meters) countReturn(task *task, outcome string) {
	standing := task.returnStanding()
	if standing == reserver.None && !task.hasReturn {
		return
	}
	tags := map[string]string{labelService: meters.service(task.service), "standing": standing.String(), "outcome": outcome}
	meters.scope.Tagged(tags).Counter("returns").Inc(1)
}

// countRequest records the outcome, latencies and tokens of a request that had a route.
func (meters *meters) countRequest(task *task, failure classifier.Failure, now timekeeper.Instant) {
	outcome := outcomeAnswered
	if failure.Kind != 0 {
		outcome = failure.Kind.String()
	}
	scope := meters.scope.Tagged(map[string]string{
		labelService: meters.service(task.service), labelKind: task.route.Kind.String(), "outcome": outcome,
	})
	scope.Counter("requests").Inc(1)
	if task.lateness(now) > 0 {
		scope.Counter("late").Inc(1)
	}
	meters.countReturn(task, outcome)
	scope.Histogram("total", buckets).RecordDuration(now.Since(task.arrived).Duration())
	if task.firstPartAt != 0 {
		scope.Histogram("first", buckets).RecordDuration(task.firstPartAt.Since(task.arrived).Duration())
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
