package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up an entry. All fields but Go, OnPlacement, OnUnreachable, Crashes,
// OnLeaveAnnounced, OnCold, OnStreamBegun, FindOrigin, ListConfirmation and TooManyConnections must be
// set. Without FindOrigin, streams that callers take up are refused.
type Settings struct {
	Clock   timekeeper.Clock
	Log     logrus.FieldLogger
	Scope   tally.Scope
	Fleet   *balancer.Guarded
	Pool    *connector.Pool
	Dialect Dialect
	// Go runs a goroutine; nil means a go statement. The name says what it does.
	Go func(name string, work func())
	// Config returns the configuration in force, or nil while none is known.
	Config      func() *router.Configuration
	RetryBudget RetryBudget
	// FirstStart reports whether all entries start for the first time: see
	// retrier.WindowSettings.
	FirstStart bool
	// ConnectionShares returns the number of shares into which the connections of a replica are
	// divided; each entry uses one. It may exceed the number of entries.
	ConnectionShares func() int
	// RetryParts returns the number of parts into which the extra retries of the budget are
	// divided; each entry uses one: see retrier.Window.
	RetryParts func() int
	// TooManyConnections reports whether callers' connections should be closed after
	// their answer, to make room for other callers.
	TooManyConnections func() bool
	// BodyMemory bounds the total size of the request bodies in memory, in bytes, from the time at
	// which they are read.
	BodyMemory int64
	// AnswerMemory bounds what is held of answers that aren't small, in bytes. Beyond it answers
	// are relayed without being held, and streams with long events break off.
	AnswerMemory int64
	// OnPlacement is called for each attempt of a request with prompt parts; first
	// reports whether the replica is expected to prefill a shared part for the first
	// time (balancer.Placement.FirstPrefill).
	OnPlacement func(replica balancer.Key, parts []balancer.Part, first bool)
	// OnUnreachable is called for a replica that accepts no connections.
	OnUnreachable func(replica string)
	// Crashes shares what this entry knows of crashes with its peers. The zero value shares nothing.
	Crashes CrashSharing
	// OnLeaveAnnounced is called when an answer announces that an incarnation of a
	// replica leaves, unless this entry has received that announcement before, also
	// through a peer.
	OnLeaveAnnounced func(incarnation string)
	// OnCold is called when an answer states that a replica is cold until a time, unless this
	// entry knows that.
	OnCold func(replica balancer.Replica, until timekeeper.Instant)
	// OnStreamBegun is called before the first event of a stream that can be resumed is forwarded,
	// and FindOrigin to find out where a stream began that a caller takes up.
	OnStreamBegun func(record resumer.Record)
	FindOrigin    func(ctx context.Context, question resumer.Question) resumer.Finding
	// ListConfirmation returns when the list of replicas was last known to be the store's, and by
	// whose word, for logs and metrics.
	ListConfirmation func() follower.Confirmation
	// Seed seeds the draws of traffic splits, load shedding and Retry-After delays.
	Seed uint64
}

// Entry is an http.Handler that relays callers' requests to replicas.
type Entry struct {
	settings  Settings
	meters    *meters
	startedAt timekeeper.Instant
	closing   atomic.Bool
	draining  atomic.Bool
	// endsAt is the instant at which a stopping entry ends.
	endsAt atomic.Int64
	// active is the number of requests in flight.
	active atomic.Int64
	// bodies and answers are the memory for request bodies and for answers.
	bodies, answers *receiver.Memory

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[string]*retrier.Window

	quarantine *quarantine
	loadFaults faultLog

	queue   *queue
	shedder *shedder
}

// New returns an entry.
func New(settings Settings) *Entry {
	if settings.Go == nil {
		settings.Go = func(_ string, work func()) { go work() }
	}
	if settings.OnPlacement == nil {
		settings.OnPlacement = func(balancer.Key, []balancer.Part, bool) {}
	}
	if settings.ListConfirmation == nil {
		settings.ListConfirmation = func() follower.Confirmation { return follower.Confirmation{} }
	}
	if settings.OnUnreachable == nil {
		settings.OnUnreachable = func(string) {}
	}
	if settings.TooManyConnections == nil {
		settings.TooManyConnections = func() bool { return false }
	}
	if settings.OnLeaveAnnounced == nil {
		settings.OnLeaveAnnounced = func(string) {}
	}
	if settings.OnCold == nil {
		settings.OnCold = func(balancer.Replica, timekeeper.Instant) {}
	}
	if settings.OnStreamBegun == nil {
		settings.OnStreamBegun = func(resumer.Record) {}
	}
	if settings.FindOrigin == nil {
		settings.FindOrigin = func(context.Context, resumer.Question) resumer.Finding {
			return resumer.Finding{Source: resumer.ShortHistory}
		}
	}
	settings.Crashes = settings.Crashes.withDefaults()
	return &Entry{
		settings:   settings,
		meters:     newMeters(settings.Scope),
		startedAt:  settings.Clock.Now(),
		random:     rand.New(rand.NewPCG(settings.Seed, 17)),
		budgets:    map[string]*retrier.Window{},
		quarantine: newQuarantine(),
		bodies:     receiver.NewMemory(settings.BodyMemory),
		answers:    receiver.NewMemory(settings.AnswerMemory),
		queue:      newQueue(settings.Fleet, settings.Clock),
		shedder:    &shedder{clock: settings.Clock},
	}
}

// Run dispatches queued requests to replicas until ctx ends.
func (entry *Entry) Run(ctx context.Context) { entry.queue.run(ctx) }

// MeasureLateness measures how late the entry's timers fire, until ctx ends. Load
// shedding depends on it.
func (entry *Entry) MeasureLateness(ctx context.Context) { entry.shedder.run(ctx) }

// ErrStopping is the cause with which the contexts of requests are cancelled that are in flight when
// the entry ends. They get their final answers then; other cancelled requests have lost their callers.
var ErrStopping = eris.New("the entry stops")

// Stop makes the entry close each connection after its next answer. It refuses requests that must run
// at most once and might not be answered by an instant.
func (entry *Entry) Stop(endsAt timekeeper.Instant) {
	entry.endsAt.Store(int64(endsAt))
	entry.closing.Store(true)
}

// Drain makes a stopping entry refuse all requests that might not be answered by the instant at which
// it ends.
func (entry *Entry) Drain() { entry.draining.Store(true) }

// endsBefore reports whether a request is refused since the entry may end before its answer.
func (entry *Entry) endsBefore(task *task) bool {
	if !entry.closing.Load() || !entry.draining.Load() && task.route.Idempotent() {
		return false
	}
	return task.endsAt > timekeeper.Instant(entry.endsAt.Load())
}

// HeldBytes returns how many bytes of request bodies and of answers are held in memory.
func (entry *Entry) HeldBytes() (bodies, answers int64) {
	return entry.bodies.Used(), entry.answers.Used()
}

// Active returns the number of requests in flight.
func (entry *Entry) Active() int64 { return entry.active.Load() }

// ServeHTTP authorizes a request and relays it to a replica of its route.
func (entry *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry.active.Add(1)
	defer entry.active.Add(-1)
	if entry.closing.Load() || entry.settings.TooManyConnections() {
		w.Header().Set("Connection", "close")
	}
	task := &task{entry: entry, w: w, r: r, releaseBody: func() {}, arrived: entry.settings.Clock.Now()}
	defer entry.recoverPanic(w, r, task)
	call, err := entry.settings.Dialect.ReadCall(r)
	task.call = call
	if err != nil {
		entry.refuseEarly(w, r, call, classifier.New(classifier.BadRequest, err.Error()))
		return
	}
	if entry.shedder.sheds(entry.draw()) && !entry.hasMostRequests() {
		entry.shed(w, r, call)
		return
	}
	config := entry.settings.Config()
	if config == nil {
		failure := classifier.New(classifier.NotReady, "no configuration is known yet")
		entry.refuseEarly(w, r, call, failure.WithRetryAfter(timekeeper.Second))
		return
	}
	if limit := config.Limits().HeaderBytes; limit > 0 && headBytes(r) > limit {
		entry.refuseEarly(w, r, call, classifier.New(classifier.HeadersTooLarge, ""))
		return
	}
	route, found := config.Route(r.Host, r.URL.Path)
	if !found {
		entry.refuseEarly(w, r, call, classifier.New(classifier.NotFound, "version "+formatVersion(config.Version())))
		return
	}
	access := config.Access(route, call.Key)
	if !access.Allowed {
		entry.refuseEarly(w, r, call, classifier.New(classifier.Unauthorized, "version "+formatVersion(config.Version())))
		return
	}
	task.route, task.team, task.config = route, access.Team, config
	task.run()
}

// hasMostRequests reports whether this entry has far more requests in flight than any other.
func (entry *Entry) hasMostRequests() (most bool) {
	now := entry.settings.Clock.Now()
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { most = fleet.HasMostRequests(now) })
	return most
}

// ShedsConnection reports whether to close a connection that has just been accepted. If only this
// entry is overloaded, its callers are served at once by another one, and know that nothing was read.
func (entry *Entry) ShedsConnection() bool {
	if !entry.shedder.sheds(entry.draw()) || !entry.hasMostRequests() {
		return false
	}
	entry.meters.countShedConnection()
	return true
}

// headBytes returns the size of a request's head as it was sent, except for optional
// white space.
func headBytes(r *http.Request) int {
	const (
		line  = len("  HTTP/1.1\r\n")
		field = len(": \r\n")
	)
	sum := len(r.Method) + len(r.RequestURI) + line + len("Host") + len(r.Host) + field
	for name, values := range r.Header {
		for _, value := range values {
			sum += len(name) + len(value) + field
		}
	}
	return sum
}

const (
	// The Retry-After of a shed request is drawn from shedRetryAfter to
	// shedRetryAfter + shedRetrySpread (in milliseconds), 1 to 2.5 s, so that a burst
	// does not return at once.
	shedRetryAfter  = timekeeper.Second
	shedRetrySpread = 1500
	// shedLogShare is the share of shed requests that are logged, to save the entry's
	// time. All are counted.
	shedLogShare = 0.05
)

// shed refuses a request of an overloaded entry at the least cost.
func (entry *Entry) shed(w http.ResponseWriter, r *http.Request, call Call) {
	draw := entry.draw()
	failure := classifier.New(classifier.Overloaded, "the entry is behind")
	failure = failure.WithRetryAfter(shedRetryAfter + timekeeper.Span(draw*shedRetrySpread))
	if draw < shedLogShare {
		entry.refuseEarly(w, r, call, failure)
		return
	}
	entry.meters.countRefusal(failure.Kind)
	entry.refuse(w, r, failure, call.ID)
}

// refuse answers a request with a failure and drains its body, unless that didn't arrive in time.
func (entry *Entry) refuse(w http.ResponseWriter, r *http.Request, failure classifier.Failure, id string) {
	entry.settings.Dialect.Refuse(w, failure, id)
	if failure.Kind != classifier.SlowCaller {
		entry.drainRequest(w, r)
	}
}

// refuseEarly refuses, counts and logs a request before a task exists for it: one with an
// invalid head, without a route or access, or one that is shed or arrives before the first
// configuration.
func (entry *Entry) refuseEarly(w http.ResponseWriter, r *http.Request, call Call, failure classifier.Failure) {
	entry.meters.countRefusal(failure.Kind)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": call.ID, labelKind: failure.Kind.String(), "detail": failure.Detail,
	}).Info("request refused")
	entry.refuse(w, r, failure, call.ID)
}

// draw returns a random number in [0, 1).
func (entry *Entry) draw() float64 {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.random.Float64()
}

// confirmDown probes a replica that broke off an answer again until it accepts no connection, and
// marks it unreachable then.
func (entry *Entry) confirmDown(replica balancer.Replica) (down bool) {
	return slices.ContainsFunc(probePauses, func(pause timekeeper.Span) bool { return entry.isDownAfter(replica, pause) })
}

// isDownAfter is isDown after a pause.
func (entry *Entry) isDownAfter(replica balancer.Replica, pause timekeeper.Span) bool {
	_ = entry.settings.Clock.Sleep(context.Background(), pause)
	return entry.isDown(replica)
}

// isDown probes a replica, and marks it unreachable if it accepts no connection.
func (entry *Entry) isDown(replica balancer.Replica) bool {
	if entry.acceptsConnection(replica) {
		return false
	}
	entry.markUnreachable(replica, "no connection after it broke off")
	return true
}

// acceptsConnection reports whether a replica accepts a connection.
func (entry *Entry) acceptsConnection(replica balancer.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	return entry.settings.Pool.Probe(ctx, replica.Address) == nil
}

// probeTimeout bounds one probe of a replica; a refused connection returns within a
// round trip.
const probeTimeout = 400 * timekeeper.Millisecond

// probePauses are the pauses before further probes. A dying process closes its sockets one after the
// other: the connection of a request may end some time before the listener does.
var probePauses = []timekeeper.Span{60 * timekeeper.Millisecond, 200 * timekeeper.Millisecond}

// markUnreachable keeps requests from a replica for a while, closes its idle connections
// and calls OnUnreachable.
func (entry *Entry) markUnreachable(replica balancer.Replica, reason string) {
	now := entry.settings.Clock.Now()
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.MarkUnreachable(replica.ID, now) })
	entry.settings.Pool.Retire(replica.ID)
	entry.settings.OnUnreachable(replica.ID)
	entry.settings.Log.WithFields(logrus.Fields{
		labelReplica: replica.ID, labelService: replica.Service, "address": replica.Address, "reason": reason,
	}).Warn("replica suspected")
}
