package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// RetryBudget bounds what the fleet sends again to one service.
type RetryBudget struct {
	Window timekeeper.Span
	Ratio  float64
	Extra  float64
}

// Settings set up an entry. All fields but Placed,
// Unreachable, Struck, LeaveAnnounced and Crowded must be set.
type Settings struct {
	Clock   timekeeper.Clock
	Log     logrus.FieldLogger
	Scope   tally.Scope
	Fleet   *balancer.Guarded
	Pool    *connector.Pool
	Dialect Dialect
	// Config returns the configuration in force, or nil while none is known.
	Config  func() *router.Configuration
	RetryBudget RetryBudget
	// Entries returns among how many entries the retries are shared.
	Entries func() int
	// TooManyConnections reports whether callers should leave after their answer, so that
	// others can come.
	TooManyConnections func() bool
	// BodyMemory bounds the request bodies that are held at once, in bytes.
	BodyMemory int64
	// OnPlacement is told of prompt parts that were sent to a replica, and whether it
	// reads one of them there for the first time.
	OnPlacement func(replica balancer.Key, parts []balancer.Part, first bool)
	// OnUnreachable is told of a replica that takes no connections.
	OnUnreachable func(replica string)
	// OnStrike is told of a request that was at a replica when it crashed.
	OnStrike func(request uint64, replica string)
	// OnLeaveAnnounced is told of the incarnation of a replica that has said to this entry,
	// for the first time, that it leaves.
	OnLeaveAnnounced func(incarnation string)
	Seed           uint64
}

// Entry answers callers. It is an http.Handler.
type Entry struct {
	settings Settings
	meters   *meters
	leaving  atomic.Bool
	// stops is when the entry ends; zero while all requests are taken.
	stops  atomic.Int64
	active atomic.Int64
	bodies atomic.Int64

	mu      sync.Mutex
	draws   *rand.Rand
	budgets map[string]*retrier.Window
	strikes *strikes

	queue    *queue
	pressure *pressure
}

// New returns an entry.
func New(settings Settings) *Entry {
	if settings.OnPlacement == nil {
		settings.OnPlacement = func(balancer.Key, []balancer.Part, bool) {}
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
	if settings.OnStrike == nil {
		settings.OnStrike = func(uint64, string) {}
	}
	return &Entry{
		settings: settings,
		meters:   newMeters(settings.Scope),
		draws:    rand.New(rand.NewPCG(settings.Seed, 17)),
		budgets:  map[string]*retrier.Window{},
		strikes:  newStrikes(),
		queue:    newQueue(settings.Fleet, settings.Clock),
		pressure: &pressure{clock: settings.Clock},
	}
}

// Run looks after the requests that wait for a replica, until ctx ends.
func (entry *Entry) Run(ctx context.Context) { entry.queue.run(ctx) }

// MeasureLateness measures how late the entry's own work is, until ctx ends.
func (entry *Entry) MeasureLateness(ctx context.Context) { entry.pressure.run(ctx) }

// CloseConnections makes each answer end its connection.
func (entry *Entry) CloseConnections() { entry.leaving.Store(true) }

// Stop follows AskToLeave: requests that might not be answered by the instant at
// which the entry ends are refused, so that none is cut off.
func (entry *Entry) Stop(ends timekeeper.Instant) { entry.stops.Store(int64(ends)) }

// Active returns how many requests are on their way.
func (entry *Entry) Active() int64 { return entry.active.Load() }

// RecordStrike notes, as a peer saw it, that an incarnation of a replica crashed while it
// had a request.
func (entry *Entry) RecordStrike(request uint64, replica string) {
	if entry.strikes.add(request, replica, entry.settings.Clock.Now()) {
		entry.meters.struck()
		entry.settings.Log.WithFields(logrus.Fields{
			"fingerprint": strconv.FormatUint(request, 16), labelReplica: balancer.IDOf(replica), "incarnation": replica,
		}).Warn("request struck")
	}
}

// ServeHTTP answers one request.
func (entry *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry.active.Add(1)
	defer entry.active.Add(-1)
	if entry.leaving.Load() || entry.settings.TooManyConnections() {
		w.Header().Set("Connection", "close")
	}
	arrived := entry.settings.Clock.Now()
	call, err := entry.settings.Dialect.ReadCall(r)
	if err != nil {
		entry.refuseEarly(w, r, call, classifier.New(classifier.BadRequest, err.Error()))
		return
	}
	if entry.pressure.refuses(entry.draw()) {
		entry.refuseLate(w, r, call)
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
	task := &task{
		entry: entry, w: w, r: r, call: call, route: route, team: access.Team, config: config, arrived: arrived,
	}
	task.run()
}

// headBytes returns the length of the head of a request as it was sent, but for
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
	// lateComeBack and its width are when a caller should come back to an entry that
	// can't keep up: a good second, in which a burst of callers has spread.
	lateComeBack      = timekeeper.Second
	lateComeBackWidth = 1500
	// lateLogged is the share of such refusals that are logged: what is to be saved
	// is the entry's time. All are counted.
	lateLogged = 0.05
)

// refuseLate answers a request that the entry has no time for, at the least cost.
func (entry *Entry) refuseLate(w http.ResponseWriter, r *http.Request, call Call) {
	draw := entry.draw()
	failure := classifier.New(classifier.Overloaded, "the entry is behind")
	failure = failure.WithRetryAfter(lateComeBack + timekeeper.Span(draw*lateComeBackWidth))
	if draw < lateLogged {
		entry.refuseEarly(w, r, call, failure)
		return
	}
	entry.meters.refused(failure.Kind)
	entry.refuse(w, r, failure, call.ID)
}

// refuse gives a caller its refusal.
func (entry *Entry) refuse(w http.ResponseWriter, r *http.Request, failure classifier.Failure, id string) {
	entry.settings.Dialect.Refuse(w, failure, id)
	absorb(w, r)
}

// refuseEarly answers a request that got no route.
func (entry *Entry) refuseEarly(w http.ResponseWriter, r *http.Request, call Call, failure classifier.Failure) {
	entry.meters.refused(failure.Kind)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": call.ID, "kind": failure.Kind.String(), "detail": failure.Detail,
	}).Info("request refused")
	entry.refuse(w, r, failure, call.ID)
}

func (entry *Entry) draw() float64 {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.draws.Float64()
}

// budget works on the retries of a service under the lock.
func (entry *Entry) budget(service string, work func(window *retrier.Window, now timekeeper.Instant)) {
	now := entry.settings.Clock.Now()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	window, found := entry.budgets[service]
	if !found {
		window = retrier.NewWindow(retrier.WindowSettings{
			Span: entry.settings.RetryBudget.Window, Ratio: entry.settings.RetryBudget.Ratio, Extra: entry.settings.RetryBudget.Extra,
		})
		entry.budgets[service] = window
	}
	work(window, now)
}

func (entry *Entry) earn(service string) {
	entry.budget(service, func(window *retrier.Window, now timekeeper.Instant) { window.Earn(now) })
}

// spend takes one retry and reports whether there was one.
func (entry *Entry) spend(service string) bool {
	sharers := entry.settings.Entries()
	allowed := false
	entry.budget(service, func(window *retrier.Window, now timekeeper.Instant) { allowed = window.Spend(sharers, now) })
	entry.meters.retried(service, allowed)
	return allowed
}

// RetriesRemaining returns what this entry may still send again, by service.
func (entry *Entry) RetriesRemaining() map[string]float64 {
	sharers, now := entry.settings.Entries(), entry.settings.Clock.Now()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	left := make(map[string]float64, len(entry.budgets))
	for service, window := range entry.budgets {
		left[service] = window.Left(sharers, now)
	}
	return left
}

// confirm learns whether a replica that broke off still takes connections, and
// tells the fleet when it doesn't.
func (entry *Entry) confirm(replica balancer.Replica) (gone bool) {
	for look := range confirmLooks {
		if look > 0 {
			_ = entry.settings.Clock.Sleep(context.Background(), confirmPause)
		}
		if !entry.reaches(replica) {
			entry.suspect(replica, "no connection after it broke off")
			return true
		}
	}
	return false
}

// reaches reports whether a replica takes a connection.
func (entry *Entry) reaches(replica balancer.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmSpan.Duration())
	defer cancel()
	return entry.settings.Pool.Probe(ctx, replica.Address) == nil
}

// confirmSpan bounds a look whether a replica is there; a refused connection
// comes back within a round trip.
const confirmSpan = 400 * timekeeper.Millisecond

// A process that dies closes its sockets one after the other: the connection of
// a request may end some milliseconds before the listener does. A second look
// after a pause tells it from one that lives.
const (
	confirmLooks = 2
	confirmPause = 60 * timekeeper.Millisecond
)

// suspect takes a replica out of service for a while.
func (entry *Entry) suspect(replica balancer.Replica, why string) {
	now := entry.settings.Clock.Now()
	entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.MarkUnreachable(replica.ID, now) })
	entry.settings.Pool.Retire(replica.ID)
	entry.settings.OnUnreachable(replica.ID)
	entry.settings.Log.WithFields(logrus.Fields{
		labelReplica: replica.ID, labelService: replica.Service, "address": replica.Address, "reason": why,
	}).Warn("replica suspected")
}
