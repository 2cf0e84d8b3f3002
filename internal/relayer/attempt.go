package relayer

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// verdict is the outcome of sending a request to one replica.
type verdict uint8

const (
	// answered means that the caller has a complete answer.
	answered verdict = iota + 1
	// unsent means that no byte of the request was sent, so it has not run.
	unsent
	// refused means that the replica stated that it did not run the request.
	refused
	// broken means that the request may have run, but there is no complete answer.
	broken
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	verdict verdict
	replica balancer.Replica
	// replicaFailed reports whether the replica caused the failure.
	replicaFailed bool
	// succeeded reports whether the caller has a complete answer that says that the request succeeded.
	succeeded bool
	cause     error
}

// maxCauseBytes bounds the text of a cause: that of an answer which can't be parsed quotes it.
const maxCauseBytes = 256

// causeText returns the text of the cause, cut off at maxCauseBytes, or "" without one.
func (result attemptResult) causeText() string {
	if result.cause == nil {
		return ""
	}
	text := result.cause.Error()
	if len(text) > maxCauseBytes {
		return strings.ToValidUTF8(text[:maxCauseBytes], "") + "..."
	}
	return text
}

// attempt sends the request to one replica and relays its answer.
func (task *task) attempt(ctx context.Context, placement *balancer.Placement) attemptResult {
	task.placement, task.replica = placement, placement.Replica.ID
	if len(task.call.Parts) > 0 {
		task.entry.settings.OnPlacement(placement.Replica.Key(), task.call.Parts, placement.FirstPrefill)
	}
	result := attemptResult{replica: placement.Replica}
	// Yield, so that the goroutine that detects a disconnected caller runs before
	// anything is sent: an overloaded entry reads requests whose callers have left.
	runtime.Gosched()
	if ctx.Err() != nil {
		result.verdict, result.cause = unsent, ctx.Err()
		return result
	}
	if task.isTooLate(placement) {
		result.verdict, result.cause = unsent, errTooLate
		return result
	}
	ctx, stopTimer := task.withSilenceTimeout(ctx, placement)
	defer stopTimer()
	answer, err := task.entry.settings.Pool.Do(ctx, task.target(placement.Replica), task.request(placement))
	stopTimer()
	if err != nil {
		return task.classifyError(ctx, result, err)
	}
	defer answer.Finish(false)
	head := task.entry.settings.Dialect.ReadHead(answer.StatusCode, answer.Header)
	task.applyHead(placement.Replica, answer.StatusCode, head)
	return task.handleAnswer(ctx, result, answer, head)
}

const (
	// silenceShare is the share of the caller's timeout by which an answer may be
	// later than expected before an idempotent request is retried at another
	// replica. The rest is enough for that replica to answer.
	silenceShare = 0.4
	// maxSilence bounds that time: callers leave a stream after two seconds
	// without an event.
	maxSilence = 1200 * timekeeper.Millisecond
)

// withSilenceTimeout returns a context that is cancelled when the replica has not begun to
// answer in time, if the request may be tried at another replica. Requests that must run at
// most once keep waiting: silence does not prove that they did not run. The returned function
// stops the timer.
func (task *task) withSilenceTimeout(ctx context.Context, placement *balancer.Placement) (context.Context, func()) {
	if !task.route.Idempotent() || task.runs+1 >= task.route.MaxReplicas {
		return ctx, func() {}
	}
	silence := min(timekeeper.Span(silenceShare*float64(task.timeout())), maxSilence) + placement.Expected
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence.Duration(), func() { cancel(errNoAnswer) })
	return ctx, func() { timer.Stop() }
}

var errNoAnswer = eris.New("the replica was silent for too long")

// target returns the connection target for a replica. Entries share the connections that a
// replica accepts.
func (task *task) target(replica balancer.Replica) connector.Target {
	return connector.Target{Key: replica.ID, Address: replica.Address, MaxConnections: task.maxConnections()}
}

// maxConnections returns how many connections this entry may have to one replica
// of the service; zero means no limit.
func (task *task) maxConnections() int {
	return task.entry.maxConnections(task.config, task.service)
}

func (entry *Entry) maxConnections(config *router.Configuration, name string) (limit int) {
	service, found := config.Service(name)
	if !found || service.Connections <= 0 {
		return 0
	}
	now := entry.settings.Clock.Now()
	shares := max(minConnectionShares, entry.settings.ConnectionShares())
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { limit = fleet.ConnectionLimit(service.Connections, shares, now) })
	return limit
}

// minConnectionShares is the least number of shares into which the connections of a replica
// are divided.
const minConnectionShares = 6

// request returns the request that is sent to the replica.
func (task *task) request(placement *balancer.Placement) connector.Request {
	priority := -1
	if service, found := task.config.Service(task.service); found && service.Engine != nil {
		priority = task.rank().EnginePriority()
	}
	remaining := max(task.until.Since(task.entry.settings.Clock.Now()), timekeeper.Millisecond)
	header := task.entry.settings.Dialect.Dispatch(task.r, Dispatch{
		Call: task.call, Remaining: remaining, Replica: placement.Replica.ID, Team: task.team.Name, Priority: priority,
		Source: placement.Source, LastEventID: task.lastEvent,
	})
	return connector.Request{
		Method: task.r.Method, Path: task.r.RequestURI, Host: task.r.Host, Header: header, Body: task.body, MaxBody: task.maxAnswer(),
		Matches: func(head http.Header, first bool) bool {
			id := task.entry.settings.Dialect.ReadHead(0, head).ID
			return id == task.call.ID || id == "" && first
		},
		Admit: func() error { return task.admit(placement) },
	}
}

var (
	// errClosed is returned when a replica stopped taking new work after it was chosen.
	errClosed = eris.New("the replica was closed since the choice")
	// errTurnedCold is returned when a replica turned cold after it was chosen. It still takes
	// new work, at a low rate.
	errTurnedCold = eris.New("the replica turned cold since the choice")
	// errRetryDenied is returned when the retry budget no longer allows the attempt.
	errRetryDenied = eris.New("the retry budget is used up")
)

// admit checks whether the request may still be sent to the chosen replica, and takes a retry from
// the budget. Opening a connection after the choice takes a second when packets are lost, and the
// replica may have become ineligible meanwhile.
func (task *task) admit(placement *balancer.Placement) error {
	var current balancer.Eligibility
	now, admitted := task.entry.settings.Clock.Now(), true
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { current, admitted = fleet.Admits(placement, now) })
	switch {
	case admitted && !task.admitFeatures():
		return errQuarantined
	case admitted && !task.spendRetry():
		return errRetryDenied
	case admitted:
		return nil
	case current.Cause == balancer.Cold:
		return errTurnedCold
	}
	return eris.Wrap(errClosed, string(current.Cause))
}

var notAdmittedCauses = []error{errClosed, errTurnedCold, errRetryDenied, errQuarantined, errTooLate}

// notAdmitted reports whether an attempt failed since the entry itself did not send it.
func notAdmitted(cause error) bool {
	return slices.ContainsFunc(notAdmittedCauses, func(known error) bool { return eris.Is(cause, known) })
}

// classifyError returns the result of an attempt that failed before the head of an answer.
func (task *task) classifyError(ctx context.Context, result attemptResult, err error) attemptResult {
	result.cause = err
	if context.Cause(ctx) == errNoAnswer {
		result.cause = errNoAnswer
	}
	result.replicaFailed = true
	var failure connector.Failure
	if eris.As(err, &failure) && failure.Progress == connector.Unsent {
		result.verdict = unsent
		return result
	}
	result.verdict = broken
	return result
}

var (
	errNotRun          = eris.New("the replica did not run the request")
	errMisdirected     = eris.New("another replica is at the address")
	errUnsigned        = eris.New("the answer is not the replica's")
	errUnprovenRefusal = eris.New("the replica's status promises what it can't know")
	errServer          = eris.New("the replica failed the request")
	errNotStream       = eris.New("the answer that resumes a stream is not a stream")
)

// handleAnswer checks the head of an answer, and relays the answer unless it can't be
// trusted, the replica did not run the request, or another replica may be tried.
func (task *task) handleAnswer(ctx context.Context, result attemptResult, answer *connector.Answer, head Head) attemptResult {
	status := answer.StatusCode
	switch {
	case head.Misdirected:
		drainAnswer(answer)
		result.verdict, result.cause = refused, errMisdirected
		return result
	case head.NotRun:
		drainAnswer(answer)
		result.verdict, result.cause = refused, errNotRun
		return result
	case !head.Signed || head.Encoded || head.ID != task.call.ID:
		result.verdict, result.cause, result.replicaFailed = broken, errUnsigned, true
		return result
	case claimsNotRun(status):
		result.verdict, result.cause, result.replicaFailed = broken, errUnprovenRefusal, true
		return result
	case status >= http.StatusInternalServerError && task.canFailOver():
		drainAnswer(answer)
		result.verdict, result.cause, result.replicaFailed = broken, errServer, true
		return result
	}
	if task.route.Kind == router.Stream && status < http.StatusMultipleChoices && isStream(answer.Header) {
		return task.relayStream(ctx, result, answer)
	}
	if task.headCopied {
		result.verdict, result.cause, result.replicaFailed = broken, errNotStream, true
		return result
	}
	return task.relayWhole(result, answer)
}

// canFailOver reports whether the request continues at another replica if this one fails.
func (task *task) canFailOver() bool {
	return task.headCopied || (task.route.Idempotent() && task.runs+1 < task.route.MaxReplicas)
}

// claimsNotRun reports whether a status implies that the request has not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// recordOutcome records the outcome of an attempt in the fleet, the metrics and the
// strikes, logs a failure, and probes the replica if it may be down.
func (task *task) recordOutcome(placement *balancer.Placement, result attemptResult) {
	outcome := balancer.Served
	cancelled := task.r.Context().Err() != nil
	switch {
	case cancelled && result.verdict != answered, notAdmitted(result.cause):
		outcome = balancer.Abandoned
	case result.verdict == unsent && eris.Is(result.cause, connector.ErrUnreachable):
		outcome = balancer.Unreachable
	case result.verdict == unsent || result.verdict == refused:
		outcome = balancer.Refused
	case result.replicaFailed:
		outcome = balancer.Failed
	}
	now := task.entry.settings.Clock.Now()
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.End(placement, outcome, now) })
	task.running = nil
	task.entry.queue.placeFreed()
	task.entry.meters.countAttempt(task.service, result)
	task.recordRun(placement.Replica, result)
	if result.succeeded {
		task.survive()
	}
	if result.verdict == answered && !result.replicaFailed {
		task.endTrial(true)
		return
	}
	task.countFaultyAnswer(result.cause)
	task.logAttempt(result)
	if cancelled || !task.probeReplica(result) {
		task.endTrial(result.verdict == answered || result.verdict == broken)
	}
}

// probeReplica checks whether a replica that failed a request is down, so that the next requests need
// not fail to find out. If it is, and the request may have run there, the request was in flight at a
// crash. The first probe is waited for: the request must not be tried again before its crashes
// count. probeReplica reports whether a replica broke off that may have crashed: the trial of the
// request then ends here.
func (task *task) probeReplica(result attemptResult) bool {
	if result.verdict == unsent && eris.Is(result.cause, connector.ErrUnreachable) {
		task.entry.markUnreachable(result.replica, result.causeText())
		task.entry.CheckUnreachable(result.replica.ID)
		return false
	}
	if result.verdict != broken || !result.replicaFailed || eris.Is(result.cause, errServer) {
		return false
	}
	if isTimeout(result.cause) {
		task.entry.settings.Go("probe a replica", func() { task.entry.confirmDown(result.replica) })
		return false
	}
	entry, features, trial := task.entry, task.features, task.trial
	task.trial = nil
	down := entry.isDown(result.replica)
	if down {
		entry.recordCrash(result.replica, features)
	}
	entry.settings.Go("conclude a trial", func() {
		if !down && entry.confirmDown(result.replica) {
			entry.recordCrash(result.replica, features)
			down = true
		}
		entry.concludeTrial(trial, result.replica.Incarnation(), down)
	})
	return true
}

// isTimeout reports whether a replica was silent, as one is that can't be reached. It has not
// necessarily crashed.
func isTimeout(cause error) bool {
	var network net.Error
	return eris.Is(cause, errNoAnswer) || eris.As(cause, &network) && network.Timeout()
}

// String returns the verdict's name in logs and metrics.
func (verdict verdict) String() string {
	return [...]string{"", "answered", "unsent", "refused", "broken"}[verdict]
}
