package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// maxUnsent bounds the retries of a request that was not sent. It did not run, so
	// a retry costs only time.
	maxUnsent = 8
	// maxRefusals bounds the retries of a request that a replica refused, stating
	// that it did not run.
	maxRefusals = 2
)

// task is the state of one caller's request from its arrival to its answer.
type task struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	route   router.Route
	team    router.Team
	config  *router.Configuration
	service string
	body    []byte
	// releaseBody returns the memory of the body.
	releaseBody func()
	arrived     timekeeper.Instant
	// until is the deadline of the request at replicas, and endsAt when it gets its final answer at
	// the latest.
	until, endsAt timekeeper.Instant

	// excluded are the replicas that were tried.
	excluded []string
	// runs counts the replicas that may have run the request.
	runs int
	// waited is how long the request waited for replicas, longestPause the longest
	// time between two parts of its answer.
	waited       timekeeper.Span
	longestPause timekeeper.Span
	// ahead is the number of requests that were waiting for a replica when this one
	// arrived.
	ahead int
	// refusals counts the attempts that replicas refused, unsent those in which no byte
	// was sent.
	refusals int
	unsent   int
	// retryReserved reports whether a retry is reserved in the budget and not sent yet.
	retryReserved bool
	// features are what the request shares with others, beginning with its fingerprint, and trial
	// those that it is the trial of. refused says why it was kept from replicas.
	features, trial []quarantiner.Feature
	refused         quarantiner.Decision

	// headCopied reports whether the head of an answer was copied to the caller's answer.
	// The request can then only continue that answer or be aborted.
	headCopied bool
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent string
	// origin is where the stream began of which the caller has events, zero while it has none.
	origin balancer.Origin
	// firstPartAt is when the first part of the first answer arrived, or zero.
	firstPartAt timekeeper.Instant
	placement   *balancer.Placement
	// running is the placement of an attempt that has not ended.
	running *balancer.Placement
	// startedPlacement is the placement that last had the first part of its answer
	// recorded.
	startedPlacement *balancer.Placement
	// answerStartedAt is when that part arrived.
	answerStartedAt timekeeper.Instant
	replica         string
	// arrival is the task's first waiter, and nil before; the standing of the request is there.
	arrival *balancer.Waiter
	// class is the class of the last waiter, "" if the service wasn't contended.
	class string
	// returning is the time of return that the caller is told, if hasReturn is set.
	returning balancer.Return
	hasReturn bool
}

// rank returns the urgency of the request.
func (task *task) rank() router.Rank { return task.route.RankFor(task.team) }

// run reads the request's body, relays the request and answers the caller.
func (task *task) run() {
	task.setDeadlines()
	if task.entry.endsBefore(task) {
		task.finish(classifier.New(classifier.Draining, ErrStopping.Error()).WithRetryAfter(task.retryAfter()))
		return
	}
	failure, read := task.readBody()
	defer task.releaseBody()
	if !read {
		task.finish(failure)
		return
	}
	task.features = featuresOf(fingerprint(task.r, task.team.Name, task.body), task.call.Parts)
	if failure, allowed := task.checkFeatures(); !allowed {
		task.service = task.route.Service(0)
		task.finish(failure)
		return
	}
	ctx, cancel := context.WithTimeout(task.r.Context(), task.remaining(task.entry.settings.Clock.Now()).Duration())
	defer cancel()
	if failure, chosen := task.chooseService(ctx); !chosen {
		task.finish(failure)
		return
	}
	task.entry.earnRetries(task.service)
	failure = task.serve(ctx)
	if task.headCopied {
		_ = http.NewResponseController(task.w).SetWriteDeadline(time.Time{})
	}
	task.finish(failure)
}

// callerLeft reports whether the caller has closed its connection.
func (task *task) callerLeft() bool {
	ctx := task.r.Context()
	return ctx.Err() != nil && context.Cause(ctx) != ErrStopping
}

// serve tries replicas until one answers, none can be had, no retry is allowed or ctx
// ends.
func (task *task) serve(ctx context.Context) classifier.Failure {
	defer task.releaseRetry()
	for {
		waiter := task.place(ctx)
		if waiter.Placement == nil {
			return task.placementFailure(ctx, waiter)
		}
		placement := waiter.Placement
		task.running = placement
		task.logPlacement(placement)
		result := task.attempt(ctx, placement)
		task.recordOutcome(placement, result)
		if result.verdict == answered {
			return classifier.Failure{}
		}
		if task.callerLeft() {
			return classifier.New(classifier.CallerGone, result.causeText())
		}
		if ctx.Err() != nil || !task.retryAllowed(result) {
			return task.finalFailure(ctx, result)
		}
	}
}

const (
	// maxWaitShare is the share of the caller's timeout for which a request may wait
	// for a replica. A refused caller retries once, and a longer wait would leave it
	// no time for that.
	maxWaitShare = 0.3
	// maxWaitTargets bounds the wait in multiples of the route's target. Callers of
	// streams leave after a few targets without an event, so a longer wait is wasted.
	maxWaitTargets = 2
)

// maxWait returns how long the request may wait for a replica.
func (task *task) maxWait() timekeeper.Span {
	span := timekeeper.Span(maxWaitShare * float64(task.timeout()))
	if task.route.Target > 0 {
		span = min(span, maxWaitTargets*task.route.Target)
	}
	return span
}

// newWaiter returns a waiter for the request.
func (task *task) newWaiter() *balancer.Waiter {
	waiter := &balancer.Waiter{
		Request: balancer.Request{
			Service: task.service, Parts: task.call.Parts, Excluded: task.excluded, MaxConnections: task.maxConnections(),
			SoftwareVersion: task.origin.SoftwareVersion,
			Priority:        task.rank().EnginePriority(), MaxEngineWait: task.route.Target,
		},
		Rank: int(task.rank()), Team: task.team.Name,
		Due: task.arrived.Add(task.route.Target), Until: task.arrived.Add(task.maxWait()),
	}
	if len(task.features) > 0 {
		waiter.Fingerprint = task.features[0].ID
	}
	return waiter
}

// place waits until the request has a replica, is refused, or ctx ends.
func (task *task) place(ctx context.Context) *balancer.Waiter {
	waiter := task.newWaiter()
	if task.arrival == nil {
		task.arrival = waiter
	} else {
		waiter.Retry, waiter.Reserved, waiter.Standing = true, task.arrival.Reserved, task.arrival.Standing
	}
	start := task.entry.settings.Clock.Now()
	task.entry.queue.place(ctx, waiter)
	task.waited += task.entry.settings.Clock.Now().Since(start)
	task.ahead = waiter.Ahead
	task.recordClass(waiter)
	return waiter
}

// recordClass records and counts how a waiter counted among those of a contended service.
func (task *task) recordClass(waiter *balancer.Waiter) {
	task.class = ""
	if waiter.Contended || waiter.Class == balancer.Reserved {
		task.class = waiter.Class.String()
	}
	if waiter.Placement != nil && task.class != "" {
		task.entry.meters.countPlace(task.service, task.class)
	}
	if waiter.Displaced {
		task.entry.meters.countDisplaced(task.service)
	}
}

// retryAllowed reports whether to try another replica after a failed attempt.
//
// A request that must run at most once is retried only after proof that it has
// not run; an idempotent one up to the route's limit of replicas. A retry is reserved
// in the budget, unless nothing was sent, and taken from it when it is sent.
func (task *task) retryAllowed(result attemptResult) bool {
	if !eris.Is(result.cause, errTurnedCold) {
		task.excluded = append(task.excluded, result.replica.ID)
	}
	switch result.verdict {
	case unsent:
		task.unsent++
		final := eris.Is(result.cause, errRetryDenied) || eris.Is(result.cause, errQuarantined) || eris.Is(result.cause, errTooLate)
		return task.unsent <= maxUnsent && !final
	case refused:
		task.refusals++
		return task.refusals <= maxRefusals && task.reserveRetry()
	case broken:
		task.runs++
		return task.route.Idempotent() && task.runs < task.route.MaxReplicas && task.canContinue() && task.mayRepeat() && task.reserveRetry()
	case answered:
	}
	return false
}

// placementFailure returns the failure of a request that got no replica.
func (task *task) placementFailure(ctx context.Context, waiter *balancer.Waiter) classifier.Failure {
	reason := string(waiter.Reason)
	if task.callerLeft() {
		return classifier.New(classifier.CallerGone, "the caller left while the request waited for a replica")
	}
	if task.runs > 0 {
		return classifier.New(classifier.UpstreamBroken, reason)
	}
	if waiter.Reason == reasonQuarantined {
		failure, allowed := task.checkFeatures()
		if !allowed {
			return failure
		}
	}
	kind := classifier.Overloaded
	switch waiter.Reason {
	case balancer.NoReplicas, balancer.AllEvacuated, balancer.NoneOfVersion:
		kind = classifier.NoUpstream
	}
	if ctx.Err() != nil {
		reason = "the time was over before a replica was free"
	}
	if ctx.Err() == nil && task.findReturn(waiter) {
		return classifier.New(kind, reason).WithRetryAfter(task.returning.After)
	}
	return classifier.New(kind, reason).WithRetryAfter(task.retryAfter() + max(waiter.Wait, task.backoffRemaining()))
}

// maxReturnShare is the share of the time left before its deadline for which a client waits before it
// sends a refused request again.
const maxReturnShare = 1.0 / 3

// findReturn reserves a time of return for a waiter that was refused because the service is full. It
// returns false if its caller is told another time.
func (task *task) findReturn(waiter *balancer.Waiter) bool {
	now := task.entry.settings.Clock.Now()
	latest := now.Add(timekeeper.Span(maxReturnShare * float64(task.until.Since(now))))
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { task.returning, task.hasReturn = fleet.ReturnOf(waiter, latest, now) })
	return task.hasReturn
}

// refusedWaiter returns a waiter for a request that replicas refused because they are full.
func (task *task) refusedWaiter() *balancer.Waiter {
	waiter := task.newWaiter()
	waiter.Retry, waiter.Reason, waiter.Standing = true, balancer.AllFull, task.arrival.Standing
	return waiter
}

// returnStanding returns what the reservation of the request meant on arrival.
func (task *task) returnStanding() reserver.Standing {
	if task.arrival == nil {
		return reserver.None
	}
	return task.arrival.Standing
}

// backoffRemaining returns the time until the backoff of the first replica of the service
// ends; zero unless all replicas that may get work back off (Fleet.BackoffRemaining).
func (task *task) backoffRemaining() (remaining timekeeper.Span) {
	now := task.entry.settings.Clock.Now()
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { remaining = fleet.BackoffRemaining(task.service, now) })
	return remaining
}

// finalFailure returns the failure of a request whose last attempt failed.
func (task *task) finalFailure(ctx context.Context, result attemptResult) classifier.Failure {
	ran := task.runs > 0 || result.verdict == broken
	switch {
	case !ran && eris.Is(result.cause, errQuarantined):
		return task.refusalFor(task.refused)
	case !ran && eris.Is(result.cause, errTooLate):
		return classifier.New(classifier.DeadlinePassed, result.causeText()).WithRetryAfter(task.retryAfter())
	case !ran && eris.Is(result.cause, errNotRun) && task.findReturn(task.refusedWaiter()):
		return classifier.New(classifier.Overloaded, result.causeText()).WithRetryAfter(task.returning.After)
	case !ran:
		return classifier.New(classifier.Unreachable, result.causeText()).WithRetryAfter(task.retryAfter() + task.backoffRemaining())
	case ctx.Err() != nil:
		return classifier.New(classifier.OutcomeUnknown, result.causeText())
	}
	return classifier.New(classifier.UpstreamBroken, result.causeText())
}

const (
	// minRetryAfter and retryAfterSpread bound the Retry-After for a request that did
	// not run: crashed replicas are detected within it, and callers that were refused
	// together retry at different times.
	minRetryAfter    = 250 * timekeeper.Millisecond
	retryAfterSpread = 500 * timekeeper.Millisecond
)

// retryAfter returns a random delay for a caller's retry.
func (task *task) retryAfter() timekeeper.Span {
	return minRetryAfter + timekeeper.Span(task.entry.draw()*float64(retryAfterSpread))
}

// finish counts and logs the request, and answers the caller unless a replica did.
func (task *task) finish(failure classifier.Failure) {
	now := task.entry.settings.Clock.Now()
	task.entry.meters.countRequest(task, failure, now)
	task.log(failure, now)
	if failure.Kind == 0 {
		return
	}
	switch {
	case failure.Kind == classifier.CallerGone:
		task.entry.meters.countCut(cutCallerLeft)
		panic(http.ErrAbortHandler)
	case task.headCopied:
		// Abort the connection, so that the caller does not mistake a truncated answer
		// for a complete one.
		task.entry.meters.countCut(cutBrokenAnswer)
		panic(http.ErrAbortHandler)
	}
	if failure.Kind == classifier.SlowCaller {
		task.w.Header().Set("Connection", "close")
	}
	task.entry.refuse(task.w, task.r, failure, task.call.ID)
}
