package assembler

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/relayer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// replicaLapse is how long a replica whose row is missing after an outage of the
	// store stays in use: replicas write their rows again within two seconds.
	replicaLapse = 2200 * timekeeper.Millisecond
	// sweepInterval is the time between two checks for idle connections.
	sweepInterval = timekeeper.Second
	// ackTimeout is the TCP user timeout of accepted connections: how long sent bytes may
	// stay unacknowledged.
	ackTimeout = 10 * timekeeper.Second
	// callerHeaderTimeout bounds the time to read a request's headers, callerIdleTimeout
	// the time between two requests on a connection. The configuration may set a
	// shorter idle time, not a longer one.
	callerHeaderTimeout = 10 * timekeeper.Second
	callerIdleTimeout   = 2 * timekeeper.Minute
	// callerMaxHeaderBytes bounds the headers of a caller's request.
	callerMaxHeaderBytes = 64 << 10
	// bodyMemoryShare is the share of the process's memory that request bodies may take.
	bodyMemoryShare = 0.25
	// answerMemoryShare is the share that answers may take while they are held.
	answerMemoryShare = 0.125
	// heapLimitShare is the share of the process's memory that is set as the runtime's
	// soft limit: beyond it the collector works harder, so that the process is not killed
	// for its memory.
	heapLimitShare = 0.7
	// gcPercent is GOGC, garbage in percent of the live heap. It is low since memory is
	// scarce on the machines that run entries, and processor time is not.
	gcPercent = 25
	// defaultMegabytes is the assumed memory of the process if the settings name none.
	defaultMegabytes = 256
	// processorMegabytes is the memory for which the runtime uses one processor, and minProcessors how
	// many it uses at least. Each has caches and threads, and a thread of a program that is linked against the
	// C library takes some 70 MB of addresses, which a limit on the process may not have.
	processorMegabytes = 64
	minProcessors      = 2
)

// DirectEnvironment holds the external dependencies of a Direct.
type DirectEnvironment struct {
	Log *logrus.Logger
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() int64
	// ReloadSignals delivers SIGHUP, on which the settings are read again. The process must
	// subscribe to SIGHUP before anything else: without a subscription the signal ends it.
	ReloadSignals <-chan os.Signal
}

// Direct is an entry that sends requests to replicas itself, without agents.
type Direct struct {
	settings loader.Direct
	file     string
	clock    timekeeper.Clock
	log      logrus.FieldLogger
	// logger is the logger whose level a reload sets.
	logger        *logrus.Logger
	droppedLines  func() int64
	reloadSignals <-chan os.Signal
	scope         tally.Scope
	metrics       http.Handler

	guard    *guard
	fleet    *balancer.Guarded
	pool     *connector.Pool
	frontend *relayer.Entry
	document atomic.Pointer[platform.Document]
	eras     sequencer.Eras
	// returnedAt is when the store came back in the newest era; zero means that it has not since
	// this entry started.
	returnedAt atomic.Int64
	startGate  startGate
	// inForceSince is when the document came into force, for metrics.
	inForceSince atomic.Int64
	// wasReader is whether the entry was a reader at the last report.
	wasReader atomic.Bool
	// contended are the services that were contended at the last report, by name.
	contended   map[string]balancer.ShareStats
	readiness   readiness
	peers       *peers
	versions    *versions
	quarantines *quarantines
	connTracker *connTracker

	operatorTable *follower.Follower[platform.OperatorRow]
	// evacuatedCentres are the evacuated data centres in the last copy of the operator's
	// table. The lock of operatorTable guards it: the follower holds it when it calls Apply
	// and Confirm.
	evacuatedCentres []string
	replicas         *follower.Follower[balancer.Replica]

	listeners directListeners
	// requests is the context of all requests of callers, endRequests cancels it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	cleanups    []func()
}

// NewDirect returns a listening entry and a function that releases its resources. file
// is the path of its settings file, which is read again when it changes.
func NewDirect(ctx context.Context, settings loader.Direct, file string, env DirectEnvironment) (*Direct, func(), error) {
	direct := &Direct{settings: settings, file: file, clock: timekeeper.Steady(), logger: env.Log, droppedLines: env.DroppedLines, reloadSignals: env.ReloadSignals}
	direct.log = env.Log.WithField("process", settings.Name)
	direct.connTracker = newConnTracker(direct.clock, settings.Descriptors)
	limitMemory(settings)
	direct.requests, direct.endRequests = context.WithCancelCause(context.Background())
	direct.onRelease(func() { direct.endRequests(nil) })
	var release func()
	direct.scope, direct.metrics, release = measurer.New(settings.Name, direct.log)
	direct.onRelease(release)
	direct.guard = newGuard(direct.log, direct.scope)
	if err := direct.listen(ctx); err != nil {
		direct.release()
		return nil, nil, err
	}
	direct.fleet = balancer.Guard(balancer.New(balancer.Settings{
		DataCentre: settings.DataCentre, Seed: newIncarnation(), LoadFactor: settings.LoadFactor, TransferPrice: settings.MovePrice,
		ColdRateFactor: settings.Cold.RateFactor, ColdSlack: settings.Cold.Slack,
		TeamShares: settings.Overload.TeamShares, ReturnTimes: settings.Overload.ReturnTimes,
	}))
	direct.pool, release = connector.NewPool(connector.Settings{
		Clock: direct.clock, OnOpen: func() { direct.scope.Counter("connections-opened").Inc(1) },
	})
	direct.onRelease(release)
	store, release := platform.NewStore(settings.Store, direct.log, direct.scope, func(era uint64) { direct.learnEra(era, "store") })
	direct.onRelease(release)
	direct.versions = newVersions(direct, store)
	direct.quarantines = newQuarantines(direct, store)
	direct.peers, release = newPeers(direct, store, direct.listeners.datagrams)
	direct.onRelease(release)
	direct.frontend = relayer.New(direct.frontendSettings())
	direct.followStore(store)
	direct.log.WithFields(logrus.Fields{
		"data-centre": settings.DataCentre, "store": settings.Store, "first-start": settings.FirstStart,
		"listen": addressOf(direct.listeners.frontend), "ready-listen": addressOf(direct.listeners.ready),
		"metrics-listen": addressOf(direct.listeners.metrics), "peer-listen": addressOf(direct.listeners.peer),
	}).Info("entry started")
	return direct, direct.release, nil
}

// Address returns where callers reach the entry.
func (direct *Direct) Address() string { return addressOf(direct.listeners.frontend) }

func limitMemory(settings loader.Direct) {
	megabytes := settings.MemoryMegabytes
	if megabytes == 0 {
		megabytes = defaultMegabytes
	}
	debug.SetMemoryLimit(int64(heapLimitShare * float64(megabytes<<20)))
	debug.SetGCPercent(gcPercent)
	if available := runtime.GOMAXPROCS(0); processorsFor(settings.MemoryMegabytes, available) < available {
		runtime.GOMAXPROCS(processorsFor(settings.MemoryMegabytes, available))
	}
}

// processorsFor returns how many of the available processors a process uses that may take so much
// memory; zero megabytes mean no limit.
func processorsFor(megabytes, available int) int {
	if megabytes == 0 {
		return available
	}
	return min(available, max(minProcessors, megabytes/processorMegabytes))
}

func (direct *Direct) onRelease(cleanup func()) {
	direct.cleanups = append(direct.cleanups, cleanup)
}

func (direct *Direct) release() {
	for i := len(direct.cleanups) - 1; i >= 0; i-- {
		direct.cleanups[i]()
	}
}

func (direct *Direct) frontendSettings() relayer.Settings {
	megabytes := direct.settings.MemoryMegabytes
	if megabytes == 0 {
		megabytes = defaultMegabytes
	}
	return relayer.Settings{
		Clock: direct.clock, Log: direct.log, Scope: direct.scope, Fleet: direct.fleet, Pool: direct.pool, Go: direct.guard.start,
		Dialect: platform.Dialect(), Config: direct.config,
		RetryBudget: relayer.RetryBudget{
			Window: direct.settings.Retry.Window, Ratio: direct.settings.Retry.Ratio, Extra: direct.settings.Retry.Extra,
		},
		ConnectionShares:   func() int { return max(minShares, sharesPerEntry*direct.peers.liveEntries()) },
		RetryParts:         direct.retryParts,
		FirstStart:         direct.settings.FirstStart,
		OnPlacement:        direct.peers.gossiper.SendPlacement,
		OnUnreachable:      direct.peers.gossiper.SendUnreachable,
		OnLeaveAnnounced:   direct.peers.gossiper.SendLeaveAnnounced,
		OnCold:             direct.announceCold,
		OnStreamBegun:      direct.peers.streams.Record,
		FindOrigin:         direct.findOrigin,
		ListConfirmation:   func() follower.Confirmation { return direct.replicas.LastConfirmation() },
		Crashes:            direct.crashSharing(),
		TooManyConnections: direct.connTracker.nearLimit,
		BodyMemory:         int64(bodyMemoryShare * float64(megabytes<<20)),
		AnswerMemory:       int64(answerMemoryShare * float64(megabytes<<20)),
		Seed:               newIncarnation(),
	}
}

const (
	// minShares is the least number of shares into which the extra retries of the fleet and the
	// connections of a replica are divided.
	minShares = 8
	// sharesPerEntry is the number of shares for each entry; it uses one. The others are left to
	// entries that it does not know, and to requests that are counted late.
	sharesPerEntry = 2
	// retryPeerTimeout is how long a silent peer still counts as an entry that sends retries: it
	// may be cut off from this entry, but not from the replicas.
	retryPeerTimeout = 10 * timekeeper.Minute
)

// retryParts returns the number of parts into which the extra retries of the fleet are divided;
// zero means that this entry has not read yet which others there are.
func (direct *Direct) retryParts() int {
	if !direct.peers.coldSharing.registered() {
		return 0
	}
	return max(minShares, sharesPerEntry*(1+len(direct.peers.gossiper.KnownPeers(retryPeerTimeout))))
}

// config returns the configuration in force, or nil while none is known or the entry must not
// serve yet.
func (direct *Direct) config() *router.Configuration {
	if document := direct.document.Load(); document != nil && !direct.startGate.isClosed() {
		return document.Config
	}
	return nil
}

// serving reports whether the entry has a configuration and a list of replicas.
func (direct *Direct) serving() bool {
	return direct.config() != nil && direct.replicas.Synced()
}

// AddTo adds the entry's actors to a group. The server for callers stops first: it
// reports not ready at once, closes its listener after a delay, and ends after its
// last call.
func (direct *Direct) AddTo(group *run.Group) {
	direct.startGate.close(direct.clock.Now())
	var stopOrder stages
	frontend, rest := stopOrder.add(), stopOrder.add()
	direct.addFrontend(frontend)
	direct.guard.addLoop(rest, "read the operator's table", direct.operatorTable.Run)
	direct.guard.addLoop(rest, "read the list of replicas", direct.replicas.Run)
	direct.guard.addLoop(rest, "sweep", direct.sweep)
	direct.guard.addLoop(rest, "dispatch", direct.frontend.Run)
	direct.guard.addLoop(rest, "measure the lateness", direct.frontend.MeasureLateness)
	direct.guard.addLoop(rest, "check health", direct.frontend.CheckHealth)
	direct.guard.addLoop(rest, "watch replicas", direct.frontend.WatchReplicas)
	direct.guard.addLoop(rest, "watch the settings", direct.watchSettings)
	direct.guard.addLoop(rest, "register", direct.peers.register)
	direct.guard.addLoop(rest, "write versions", direct.versions.run)
	direct.guard.addLoop(rest, "write quarantines", direct.quarantines.run)
	direct.guard.addLoop(rest, "send digests", direct.peers.gossiper.Run)
	direct.guard.addLoop(rest, "receive digests", direct.receiveDigests)
	addServer(rest, direct.retryAccepts(direct.listeners.peer, "peers"), direct.peers, 0)
	addServer(rest, direct.retryAccepts(direct.listeners.ready, "readiness"), http.HandlerFunc(direct.serveReady), 0)
	if direct.listeners.metrics != nil {
		addServer(rest, direct.retryAccepts(direct.listeners.metrics, "metrics"), direct.metrics, 0)
	}
	stopOrder.addTo(group)
	direct.guard.addTo(group)
}

// receiveDigests handles the digests of peers until ctx ends.
func (direct *Direct) receiveDigests(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = direct.listeners.datagrams.Close() })
	defer stop()
	direct.peers.gossiper.Receive()
}

func (direct *Direct) serveReady(w http.ResponseWriter, r *http.Request) {
	if !direct.serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	direct.readiness.ServeHTTP(w, r)
}

func (direct *Direct) sweep(ctx context.Context) {
	span := func() timekeeper.Span { return sweepInterval }
	direct.clock.Every(ctx, span, func(context.Context) {
		direct.pool.Sweep()
		direct.connTracker.sweep(direct.maxCallerIdle())
		direct.peers.updateColdSharing()
		direct.versions.confirm()
		direct.endRetention()
		direct.reportStats()
	})
}

// maxCallerIdle returns how long a caller's connection may be idle; zero means that the
// configuration sets no limit.
func (direct *Direct) maxCallerIdle() timekeeper.Span {
	if config := direct.config(); config != nil {
		return config.Limits().IdleTimeout
	}
	return 0
}

// addFrontend adds the server for callers.
func (direct *Direct) addFrontend(group *run.Group) {
	server := direct.callerServer(direct.frontend)
	frontend := direct.callerListener(direct.listeners.frontend)
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := server.Serve(frontend); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		exitAt := direct.beginStop()
		go func() { stopped <- direct.shutDown(server, exitAt) }()
	})
}

// callerServer returns the server that passes callers' requests to a handler.
func (direct *Direct) callerServer(handler http.Handler) callerServer {
	server := &http.Server{
		Handler:           serveUnlessClosed(resetAborted(handler), func() { direct.scope.Counter("requests-on-closed-connections").Inc(1) }),
		ReadHeaderTimeout: callerHeaderTimeout.Duration(), IdleTimeout: callerIdleTimeout.Duration(),
		MaxHeaderBytes: callerMaxHeaderBytes, ConnState: direct.connTracker.trackState, ConnContext: withConn,
		BaseContext: func(net.Listener) context.Context { return direct.requests },
		ErrorLog:    newServerLog(direct.log, direct.scope),
	}
	return callerServer{
		Server: server, listener: direct.listeners.frontend, tracker: direct.connTracker, clock: direct.clock, served: make(chan struct{}),
	}
}

// callerListener wraps a listener for the server for callers: it goes on after errors, limits the number
// of connections, sheds some under overload, and returns each as a callerConn.
func (direct *Direct) callerListener(listener net.Listener) net.Listener {
	accepted := direct.retryAccepts(listener, "callers")
	return callerListener{
		Listener: limitListener{Listener: accepted, tracker: direct.connTracker, sheds: direct.frontend.ShedsConnection},
		stopping: &direct.readiness.stopping,
	}
}
