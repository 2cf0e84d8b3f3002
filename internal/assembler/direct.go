package assembler

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/relayer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// replicaLapse is how long a replica that is missing after an outage of the
	// store stays in use: the replicas write themselves in again within two seconds.
	replicaLapse = 2200 * timekeeper.Millisecond
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = timekeeper.Second
	// callerSilence bounds sent bytes that a caller doesn't acknowledge.
	callerSilence = 10 * timekeeper.Second
	// headerPatience bounds the head of a request, idlePatience the time between
	// two requests of a connection. Callers may be told to use a connection for
	// less, never for longer.
	headerPatience = 10 * timekeeper.Second
	idlePatience   = 2 * timekeeper.Minute
	// mostHeader bounds the head of a request, in bytes.
	mostHeader = 64 << 10
	// bodyShare is the part of the process's memory that request bodies may hold.
	bodyShare = 0.25
	// heapShare is the part of the process's memory at which the collector works
	// harder rather than let the process be killed.
	heapShare = 0.7
	// collectPercent is how much of what lives may lie beside it as garbage, in
	// percent: memory is dear where entries run, and their processor idles.
	collectPercent = 25
	// defaultMemory is assumed where the settings name none, in megabytes.
	defaultMemory = 256
	// stopPoll is how often a stopping entry looks whether its last call has ended.
	stopPoll = 30 * timekeeper.Millisecond
	// endMargin is how long before it would be killed a stopping process ends.
	endMargin = 300 * timekeeper.Millisecond
	// lastTaken is how long before it ends a stopping entry takes its last connections:
	// where a machine has an eighth of a core, requests lie unread for half a second.
	lastTaken = timekeeper.Second
)

// Surroundings are what a process gets from where it runs.
type Surroundings struct {
	Log *logrus.Logger
	// Dropped returns how many lines of the log were dropped.
	Dropped func() int64
	// HangUps are signals that the settings have changed. A process must ask for
	// them first of all: one that comes before ends it.
	HangUps <-chan os.Signal
}

// Direct is an entry that sends requests to replicas itself, ready to run.
type Direct struct {
	settings loader.Direct
	file     string
	clock    timekeeper.Clock
	log      logrus.FieldLogger
	// logger is where the level of the log is set, dropped counts lines that did
	// not get through.
	logger  *logrus.Logger
	dropped func() int64
	hangUps <-chan os.Signal
	scope   tally.Scope
	metrics http.Handler

	fleet    *balancer.Guarded
	pool     *connector.Pool
	front    *relayer.Entry
	document atomic.Pointer[platform.Document]
	// accepted is when the document came into force, for metrics.
	accepted atomic.Int64
	// reader is whether the entry read the store for all when that was last looked at.
	reader    atomic.Bool
	readiness readiness
	fellows   *fellows
	callers   *callers

	orders *follower.Follower[platform.Order]
	// ordered are the evacuated data centres of the copy of the operator's table, under
	// the lock of its follower.
	ordered  []string
	replicas *follower.Follower[balancer.Replica]

	listeners directListeners
	cleanups  []func()
}

// NewDirect returns an entry that listens, and a function that releases what it
// holds. file is where its settings were read from; they are read again when
// they change.
func NewDirect(ctx context.Context, settings loader.Direct, file string, from Surroundings) (*Direct, func(), error) {
	direct := &Direct{settings: settings, file: file, clock: timekeeper.Steady(), logger: from.Log, dropped: from.Dropped, hangUps: from.HangUps}
	direct.log = from.Log.WithField("process", settings.Name)
	direct.callers = newCallers(direct.clock, settings.Descriptors)
	limitMemory(settings)
	var release func()
	direct.scope, direct.metrics, release = measurer.New(settings.Name, direct.log)
	direct.onRelease(release)
	if err := direct.listen(ctx); err != nil {
		direct.release()
		return nil, nil, err
	}
	direct.fleet = balancer.Guard(balancer.New(balancer.Settings{
		DataCentre: settings.DataCentre, Seed: newIncarnation(), Bound: settings.Bound, MovePrice: settings.MovePrice,
		ColdRateFactor: settings.Cold.Over, ColdSlack: settings.Cold.Slack,
	}))
	direct.pool, release = connector.NewPool(connector.Settings{
		Clock: direct.clock, OnOpen: func() { direct.scope.Counter("connections-opened").Inc(1) },
	})
	direct.onRelease(release)
	store, release := platform.NewStore(settings.Store, direct.log, direct.scope)
	direct.onRelease(release)
	direct.fellows, release = newFellows(direct, store, direct.listeners.datagrams)
	direct.onRelease(release)
	direct.front = relayer.New(direct.frontSettings())
	direct.follow(store)
	direct.log.WithFields(logrus.Fields{
		"data-centre": settings.DataCentre, "store": settings.Store,
		"listen": addressOf(direct.listeners.front), "ready-listen": addressOf(direct.listeners.ready),
		"metrics-listen": addressOf(direct.listeners.metrics), "peer-listen": addressOf(direct.listeners.peers),
	}).Info("entry started")
	return direct, direct.release, nil
}

// Address returns where callers reach the entry.
func (direct *Direct) Address() string { return addressOf(direct.listeners.front) }

func limitMemory(settings loader.Direct) {
	megabytes := settings.Memory
	if megabytes == 0 {
		megabytes = defaultMemory
	}
	debug.SetMemoryLimit(int64(heapShare * float64(megabytes<<20)))
	debug.SetGCPercent(collectPercent)
}

func (direct *Direct) onRelease(cleanup func()) {
	direct.cleanups = append(direct.cleanups, cleanup)
}

func (direct *Direct) release() {
	for i := len(direct.cleanups) - 1; i >= 0; i-- {
		direct.cleanups[i]()
	}
}

func (direct *Direct) frontSettings() relayer.Settings {
	megabytes := direct.settings.Memory
	if megabytes == 0 {
		megabytes = defaultMemory
	}
	return relayer.Settings{
		Clock: direct.clock, Log: direct.log, Scope: direct.scope, Fleet: direct.fleet, Pool: direct.pool,
		Dialect: platform.Dialect(), Config: direct.config,
		RetryBudget: relayer.RetryBudget{
			Window: direct.settings.Retry.Window, Ratio: direct.settings.Retry.Ratio, Extra: direct.settings.Retry.Extra,
		},
		Entries:        func() int { return max(minSharers, sharersOfPeer*direct.fellows.readers()) },
		OnPlacement:         direct.fellows.gossiper.SendPlacement,
		OnUnreachable:    direct.fellows.gossiper.SendUnreachable,
		OnLeaveAnnounced: direct.fellows.gossiper.SendLeaveAnnounced,
		OnStrike: func(request uint64, replica string) {
			direct.fellows.gossiper.SendStrike(gossiper.Strike{Request: request, Replica: replica})
		},
		TooManyConnections:    direct.callers.crowded,
		BodyMemory: int64(bodyShare * float64(megabytes<<20)),
		Seed:       newIncarnation(),
	}
}

const (
	// minSharers is among how many entries the fleet's retries are shared at
	// least: it bounds what entries that peers don't see can spend.
	minSharers = 8
	// sharersOfPeer is how many parts each entry that is up counts for: one that
	// restarts has spent its part, and takes it again.
	sharersOfPeer = 2
)

// config returns the configuration in force, or nil while none is known.
func (direct *Direct) config() *router.Configuration {
	if document := direct.document.Load(); document != nil {
		return document.Config
	}
	return nil
}

// serving reports whether callers can be served.
func (direct *Direct) serving() bool {
	return direct.config() != nil && direct.replicas.Synced()
}

// AddTo adds the entry's actors to a group. The front stops first: not ready at
// once, closed after the delay, ended when its last call has.
func (direct *Direct) AddTo(group *run.Group) {
	var order stages
	front, rest := order.add(), order.add()
	direct.addFront(front)
	addLoop(rest, direct.orders.Run)
	addLoop(rest, direct.replicas.Run)
	addLoop(rest, direct.sweep)
	addLoop(rest, direct.front.Run)
	addLoop(rest, direct.front.MeasureLateness)
	addLoop(rest, direct.watchSettings)
	addLoop(rest, direct.fellows.register)
	addLoop(rest, direct.fellows.gossiper.Run)
	rest.Add(direct.fellows.gossiper.Receive, func(error) { _ = direct.listeners.datagrams.Close() })
	addServer(rest, direct.listeners.peers, direct.fellows, 0)
	addServer(rest, direct.listeners.ready, http.HandlerFunc(direct.answerReady), 0)
	if direct.listeners.metrics != nil {
		addServer(rest, direct.listeners.metrics, direct.metrics, 0)
	}
	order.addTo(group)
}

func (direct *Direct) answerReady(w http.ResponseWriter, r *http.Request) {
	if !direct.serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	direct.readiness.ServeHTTP(w, r)
}

func (direct *Direct) sweep(ctx context.Context) {
	span := func() timekeeper.Span { return sweepEvery }
	direct.clock.Every(ctx, span, func(context.Context) {
		direct.pool.Sweep()
		direct.callers.sweep(direct.idleLimit())
		direct.fellows.share()
		direct.survey()
	})
}

// idleLimit returns how long a caller's connection may be idle.
func (direct *Direct) idleLimit() timekeeper.Span {
	if config := direct.config(); config != nil {
		return config.Limits().IdleTimeout
	}
	return 0
}

// addFront adds the server that callers reach.
func (direct *Direct) addFront(group *run.Group) {
	server := direct.callerServer(direct.front)
	front := direct.callerListener(direct.listeners.front)
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := server.Serve(front); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		// Who sees that the entry is not ready must find that its answers ask callers
		// to leave, so that comes first.
		direct.front.CloseConnections()
		direct.readiness.leaving.Store(true)
		direct.fellows.gossiper.AnnounceStop()
		direct.log.WithField("active", direct.front.Active()).Info("entry stops: not ready, callers are asked to leave")
		go func() { stopped <- direct.shutDown(server) }()
	})
}

// callerServer returns the server that gives callers' requests to a handler.
func (direct *Direct) callerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           unlessClosed(handler, func() { direct.scope.Counter("requests-on-closed-connections").Inc(1) }),
		ReadHeaderTimeout: headerPatience.Duration(), IdleTimeout: idlePatience.Duration(),
		MaxHeaderBytes: mostHeader, ConnState: direct.callers.watch, ConnContext: withConn,
	}
}

// callerListener returns a listener as the server of callers needs it.
func (direct *Direct) callerListener(listener net.Listener) net.Listener {
	return callerListener{
		Listener: boundedListener{Listener: listener, callers: direct.callers}, stopping: &direct.readiness.leaving,
	}
}

// shutDown ends the server once nothing is under way, at the latest shortly
// before the process would be killed.
//
// The balancer looks once a second and stops sending callers after two looks;
// where every entry stops at once it goes on sending them. So the door stays
// open after the delay, for as long as there is work: requests that fit into
// the time that is left are served, others are told to come back.
//
// The failure: a stream goes on to the end of the entry's time, and a caller's request
// comes just before that. The symptom: the process ends with the request unread, so its
// caller gets neither an answer nor a refusal. The door is closed, and idle connections
// with it, while there is time to answer all that has come.
func (direct *Direct) shutDown(server *http.Server) error {
	ends := direct.clock.Now().Add(direct.settings.StopGrace - endMargin)
	shuts := ends.Add(-lastTaken)
	ctx, cancel := context.WithTimeout(context.Background(), (direct.settings.StopGrace - endMargin).Duration())
	defer cancel()
	left := make(chan struct{})
	go func() {
		defer close(left)
		direct.fellows.leave(ctx)
	}()
	_ = direct.clock.Sleep(ctx, direct.settings.StopDelay)
	direct.front.Stop(ends)
	for direct.front.Active() > 0 && direct.clock.Now() < shuts || knocking(direct.listeners.front) {
		if direct.clock.Sleep(ctx, stopPoll) != nil {
			break
		}
	}
	err := server.Shutdown(ctx)
	// Connections on which a request had just come were left open; they get their answers.
	for direct.callers.count() > 0 && direct.clock.Sleep(ctx, stopPoll) == nil {
		continue
	}
	select {
	case <-left:
	case <-ctx.Done():
	}
	direct.log.WithField("cut", direct.front.Active()).WithField("whole", err == nil).Info("entry stopped")
	return nil
}
