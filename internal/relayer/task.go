package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// lateness is how long after its time a request is still waited for, so that
	// a replica's own answer at the deadline arrives. Callers are told half a
	// second after the time at the latest.
	lateness = 150 * timekeeper.Millisecond
	// defaultPatience bounds a request whose caller and route give no time.
	defaultPatience = timekeeper.Minute
	// bodyPatience is how long a caller may take to send a body.
	bodyPatience = 10 * timekeeper.Second
	// defaultBodyLimit bounds a body when the configuration doesn't, in bytes.
	defaultBodyLimit = 4 << 20
	// mostUnsent bounds how often a request that never left is given to another
	// replica. Nothing ran, so only time is lost.
	mostUnsent = 8
	// mostRefusals bounds how often a request that a replica refused, saying that
	// it did not run, is given to another one.
	mostRefusals = 2
)

// task is one request of a caller on its way.
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
	arrived timekeeper.Instant
	until   timekeeper.Instant

	excluded []string
	// runs counts replicas that may have run the request.
	runs int
	// waited is how long the request waited for replicas, longestPause the longest
	// time between two parts of its answer.
	waited       timekeeper.Span
	longestPause timekeeper.Span
	// ahead is how many requests waited for a replica when this one came.
	ahead    int
	refusals int
	unsent   int
	// fingerprint identifies a request that is sent again by its caller.
	fingerprint uint64

	// begun reports whether the head of an answer is with the caller.
	begun bool
	// lastEvent is the last event of a stream that the caller has.
	lastEvent string
	first     timekeeper.Instant
	placement *balancer.Placement
	// noted is the placement whose first part has been seen.
	noted   *balancer.Placement
	replica string
}

func (task *task) rank() router.Rank { return task.route.RankFor(task.team) }

// patience returns how long the caller is kept waiting.
func (task *task) patience() timekeeper.Span {
	span := defaultPatience
	if task.route.Timeout > 0 {
		span = min(span, task.route.Timeout)
	}
	if task.call.Deadline > 0 {
		span = min(span, task.call.Deadline)
	}
	return span
}

// ends returns the instant until which the caller is kept waiting.
func (task *task) ends() timekeeper.Instant { return task.arrived.Add(task.patience()) }

// run answers the request.
func (task *task) run() {
	task.until = task.ends()
	if ends := timekeeper.Instant(task.entry.stops.Load()); ends != 0 && task.until.Add(lateness) > ends {
		task.finish(classifier.New(classifier.Draining, "the entry stops").WithRetryAfter(task.comeBack()))
		return
	}
	failure, read := task.readBody()
	if !read {
		task.finish(failure)
		return
	}
	defer task.entry.bodies.Add(-int64(len(task.body)))
	task.service = task.route.Service(task.entry.draw())
	task.fingerprint = fingerprint(task.r, task.team.Name, task.body)
	if task.entry.strikes.barred(task.fingerprint, task.entry.settings.Clock.Now()) {
		task.finish(classifier.New(classifier.Overloaded, "the request crashed replicas").WithRetryAfter(strikeLife))
		return
	}
	task.entry.earn(task.service)
	left := task.left(task.entry.settings.Clock.Now())
	ctx, cancel := context.WithTimeout(task.r.Context(), left.Duration())
	defer cancel()
	task.finish(task.serve(ctx))
}

// left returns how long replicas may still take. It counts from the head of the
// request: what a slow body took is gone.
func (task *task) left(now timekeeper.Instant) timekeeper.Span {
	return task.until.Add(lateness).Since(now)
}

// readBody reads the whole body before anything is asked of a replica, so that
// a slow caller holds a connection of the entry and nothing else.
func (task *task) readBody() (classifier.Failure, bool) {
	limit := task.config.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if task.r.ContentLength > limit {
		return classifier.New(classifier.BodyTooLarge, ""), false
	}
	if task.entry.bodies.Load()+max(0, task.r.ContentLength) > task.entry.settings.BodyMemory {
		failure := classifier.New(classifier.Overloaded, "the memory for request bodies is used up")
		return failure.WithRetryAfter(timekeeper.Second), false
	}
	if task.r.ContentLength == 0 {
		return classifier.Failure{}, true
	}
	control := http.NewResponseController(task.w)
	_ = control.SetReadDeadline(timekeeper.In(bodyPatience))
	body, err := readAll(http.MaxBytesReader(task.w, task.r.Body, limit), task.r.ContentLength)
	if err != nil {
		return bodyFailure(err), false
	}
	_ = control.SetReadDeadline(time.Time{})
	task.body = body
	task.entry.bodies.Add(int64(len(body)))
	return classifier.Failure{}, true
}

// readAll reads a body whose length may be known, without room to spare.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

func bodyFailure(err error) classifier.Failure {
	var large *http.MaxBytesError
	if eris.As(err, &large) {
		return classifier.New(classifier.BodyTooLarge, "")
	}
	return classifier.New(classifier.SlowCaller, err.Error())
}

// serve tries replicas until the request is answered or given up on.
func (task *task) serve(ctx context.Context) classifier.Failure {
	for {
		waiter := task.place(ctx)
		if waiter.Placement == nil {
			return task.unplaced(ctx, waiter)
		}
		placement := waiter.Placement
		task.logPlacement(placement)
		result := task.attempt(ctx, placement)
		task.note(placement, result)
		if result.verdict == answered {
			return classifier.Failure{}
		}
		if task.r.Context().Err() != nil {
			return classifier.New(classifier.CallerGone, result.why())
		}
		if ctx.Err() != nil || !task.again(result) {
			return task.giveUp(ctx, result)
		}
	}
}

const (
	// waitShare is the part of the caller's patience for which a request may wait
	// for a replica. One that is refused comes back once; held for longer it would
	// have no time left for that.
	waitShare = 0.3
	// waitTargets is the same in targets of the route. Callers of streams leave
	// after some targets without an event, so that a longer wait ends in nothing.
	waitTargets = 2
)

// wait returns how long the request may wait for a replica.
func (task *task) wait() timekeeper.Span {
	span := timekeeper.Span(waitShare * float64(task.patience()))
	if task.route.Target > 0 {
		span = min(span, waitTargets*task.route.Target)
	}
	return span
}

// place gets a replica for the request, or the reason why there is none.
func (task *task) place(ctx context.Context) *balancer.Waiter {
	waiter := &balancer.Waiter{
		Request: balancer.Request{
			Service: task.service, Parts: task.call.Parts, Excluded: task.excluded, Connections: task.connections(),
			Priority: task.rank().EnginePriority(), MaxEngineWait: task.route.Target,
		},
		Rank: int(task.rank()), Team: task.team.Name,
		Due: task.arrived.Add(task.route.Target), Until: task.arrived.Add(task.wait()),
	}
	asked := task.entry.settings.Clock.Now()
	task.entry.queue.place(ctx, waiter)
	task.waited += task.entry.settings.Clock.Now().Since(asked)
	task.ahead = waiter.Ahead
	return waiter
}

// again decides whether another replica gets the request.
//
// What must not repeat goes on only after proof that it has not run. What may
// repeat goes on within the route's bound on replicas. Either costs a part of
// the retries that the fleet may make, save where nothing was sent at all.
func (task *task) again(result attemptResult) bool {
	task.excluded = append(task.excluded, result.replica.ID)
	switch result.verdict {
	case unsent:
		task.unsent++
		return task.unsent <= mostUnsent
	case refused:
		task.refusals++
		return task.refusals <= mostRefusals && task.entry.spend(task.service)
	case broken:
		task.runs++
		return task.route.Idempotent() && task.runs < task.route.MaxReplicas && task.entry.spend(task.service)
	case answered:
	}
	return false
}

// unplaced is the failure when no replica can get the request.
func (task *task) unplaced(ctx context.Context, waiter *balancer.Waiter) classifier.Failure {
	reason := string(waiter.Reason)
	if task.r.Context().Err() != nil {
		return classifier.New(classifier.CallerGone, "left while it waited for a replica")
	}
	if task.runs > 0 {
		return classifier.New(classifier.UpstreamBroken, reason)
	}
	kind := classifier.Overloaded
	if waiter.Reason == balancer.NoReplicas || waiter.Reason == balancer.AllEvacuated {
		kind = classifier.NoUpstream
	}
	if ctx.Err() != nil {
		reason = "the time was over before a replica was free"
	}
	return classifier.New(kind, reason).WithRetryAfter(task.comeBack() + max(waiter.Wait, task.backoffLeft()))
}

// backoffLeft returns how long all replicas of the service want nothing; zero where one
// takes work.
func (task *task) backoffLeft() (left timekeeper.Span) {
	now := task.entry.settings.Clock.Now()
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { left = fleet.BackoffRemaining(task.service, now) })
	return left
}

// giveUp is the failure when the last try has failed.
func (task *task) giveUp(ctx context.Context, result attemptResult) classifier.Failure {
	ran := task.runs > 0 || result.verdict == broken
	switch {
	case !ran:
		return classifier.New(classifier.Unreachable, result.why()).WithRetryAfter(task.comeBack() + task.backoffLeft())
	case ctx.Err() != nil:
		return classifier.New(classifier.OutcomeUnknown, result.why())
	}
	return classifier.New(classifier.UpstreamBroken, result.why())
}

const (
	// firstComeBack and its spread are when a caller whose request did not run
	// should come again: replicas that crash are found within it, and callers
	// that were refused together come back apart.
	firstComeBack = 250 * timekeeper.Millisecond
	comeBackWidth = 500 * timekeeper.Millisecond
)

func (task *task) comeBack() timekeeper.Span {
	return firstComeBack + timekeeper.Span(task.entry.draw()*float64(comeBackWidth))
}

// finish answers the caller when no replica did, and logs the request.
func (task *task) finish(failure classifier.Failure) {
	now := task.entry.settings.Clock.Now()
	task.entry.meters.ended(task, failure, now)
	task.log(failure, now)
	if failure.Kind == 0 {
		return
	}
	if task.begun || failure.Kind == classifier.CallerGone {
		// The caller must not take a part of an answer for the whole.
		panic(http.ErrAbortHandler)
	}
	if failure.Kind == classifier.SlowCaller {
		task.w.Header().Set("Connection", "close")
	}
	task.entry.refuse(task.w, task.r, failure, task.call.ID)
}

func (task *task) log(failure classifier.Failure, now timekeeper.Instant) {
	fields := logrus.Fields{
		"request-id": task.call.ID, "route": task.route.Name, "team": task.team.Name, "version": task.config.Version(),
		labelService: task.service, "rank": int(task.rank()), "total-ms": int64(now.Since(task.arrived)), "runs": task.runs,
	}
	if task.ahead > 0 {
		fields["ahead"] = task.ahead
	}
	if task.placement != nil {
		fields[labelReplica] = task.replica
		fields["uncached"] = task.placement.Uncached
		fields["expected-ms"] = int64(task.placement.Expected)
	}
	if task.first != 0 {
		fields["first-ms"] = int64(task.first.Since(task.arrived))
	}
	if task.refusals > 0 || task.unsent > 0 {
		fields["refusals"], fields["unsent"] = task.refusals, task.unsent
	}
	if failure.Kind == 0 {
		task.entry.settings.Log.WithFields(fields).Info("request answered")
		return
	}
	fields["kind"], fields["detail"] = failure.Kind.String(), failure.Detail
	if failure.RetryAfter > 0 {
		fields["retry-after-ms"] = int64(failure.RetryAfter)
	}
	task.entry.settings.Log.WithFields(fields).Warn("request failed")
}

// logPlacement tells where a request goes and by what that was decided. It is
// written before anything is sent, so that it is there if the process ends.
func (task *task) logPlacement(placement *balancer.Placement) {
	fields := logrus.Fields{
		"request-id": task.call.ID, labelReplica: placement.Replica.ID, labelService: task.service, "route": task.route.Name,
		"version": task.config.Version(), "rank": int(task.rank()), "uncached": placement.Uncached, "held": placement.Held,
		"candidates": placement.Candidates, "expected-ms": int64(placement.Expected),
		"access": placement.Access.String(), "list-version": placement.ListVersion, "try": 1 + task.runs + task.refusals + task.unsent,
		"waited-ms": int64(task.entry.settings.Clock.Now().Since(task.arrived)),
	}
	if placement.Source != "" {
		fields["source"], fields["fetched"] = placement.Source, placement.Fetched
	}
	task.entry.settings.Log.WithFields(fields).Info("request placed")
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
