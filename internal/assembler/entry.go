package assembler

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/forwarder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Entry is an entry process, ready to run.
type Entry struct {
	*base
	frontend  *forwarder.Entry
	announcer *announcer
	// stopDelay is how long a stopping entry still accepts connections.
	stopDelay timekeeper.Span
	planners  planners
	claims    *claimWitness
}

// EntryStatus is the content of an entry's status page.
type EntryStatus struct {
	Name     string         `json:"name"`
	Site     string         `json:"site"`
	Revision uint64         `json:"revision"`
	Replicas map[string]int `json:"replicas"`
	// Control is the entry's control traffic.
	Control budgeter.Status `json:"control"`
	// Members holds the entry's view of each replica.
	Members []reporter.ReplicaStatus `json:"members"`
}

// NewEntry waits for the first configuration, then returns a listening entry and a
// function that releases its resources.
func NewEntry(ctx context.Context, settings loader.Entry, env Environment) (*Entry, func(), error) {
	entry := &Entry{base: newBase(baseSettings{
		process: settings.Process, env: env, kind: "entry", group: recorder.EntryGroup,
	})}
	entry.stopDelay = settings.StopDelay
	entry.planners = planners{entry: entry, pool: entry.pool, incarnation: entry.incarnation}
	entry.announcer = &announcer{
		name: settings.Name, pool: entry.pool, agents: entry.view.Addresses,
		revision: func() uint64 { return entry.watcher.Current().Revision },
	}
	// If the instance list can't be read, exchange digests with the peers named in the
	// settings.
	if err := entry.start(ctx, entry.control.exchanger.Round); err != nil {
		entry.release()
		return nil, nil, err
	}
	entry.record.SetHeartbeat(entry.aliveEvent)
	entry.claims = newClaimWitness(entry.env)
	entry.frontend = forwarder.New(forwarder.Settings{
		Name:           settings.Name,
		Site:           settings.Site,
		Incarnation:    entry.incarnation,
		Clock:          entry.env.Clock,
		Log:            entry.env.Log,
		Scope:          entry.scope,
		Pool:           entry.pool,
		Config:         entry.watcher.Current,
		Roster:         entry.view.Roster,
		AdapterHolders: entry.view.AdapterRoster,
		Locate:         entry.view.Locate,
		FindClaim:      entry.claimed,
		OnClaimedRun:   entry.claims.witness.Add,
		OnDigest:       entry.applyDigest,
		OnUnreachable:  entry.view.RecordDialFailure,
		Record:         entry.record.Record,
	})
	return entry, entry.release, nil
}

// claimed returns the request that holds the claim on a key.
func (entry *Entry) claimed(ctx context.Context, rowKey string) (request string, found bool, err error) {
	row, found, err := claimer.Find(ctx, entry.env.Platform.Table, rowKey)
	return row.Owner.Request, found, err
}

// Status returns the entry's own state and its view of the replicas.
func (entry *Entry) Status() EntryStatus {
	config := entry.watcher.Current()
	status := EntryStatus{
		Name:     entry.process.Name,
		Site:     entry.process.Site,
		Revision: config.Revision,
		Replicas: map[string]int{},
		Control:  entry.control.status(),
		Members:  entry.view.Status(),
	}
	for _, service := range config.ServiceNames() {
		status.Replicas[service] = entry.view.Roster(service).Len()
	}
	return status
}

// AddTo adds the entry's actors to a group. The server for callers stops first; the
// rest, including the status page, runs until the last call has ended.
func (entry *Entry) AddTo(group *run.Group) {
	var stopOrder stages
	frontend, rest := stopOrder.add(), stopOrder.add()
	entry.addFrontend(frontend)
	addLoop(rest, entry.watcher.Run)
	addLoop(rest, entry.planners.run)
	addLoop(rest, entry.claims.run)
	addLoop(rest, func(ctx context.Context) { entry.announcer.run(ctx, entry.env.Clock) })
	entry.control.addTo(rest)
	entry.addAdmin(rest, handler.Show(entry.Status))
	stopOrder.addTo(group)
}

// addFrontend adds the server for callers. It stops in three steps: it reports not
// ready, closes its listener after a delay, then waits for all calls to end.
//
// The delay is there because a load balancer checks readiness only every few seconds: if
// the listener closed at once, callers sent meanwhile would be rejected by a planned stop.
// With a delay longer than the check interval, the load balancer sends them elsewhere first.
func (entry *Entry) addFrontend(group *run.Group) {
	stopping := &entry.readiness.stopping
	onClosed := func() { entry.scope.Counter("requests-on-closed-connections").Inc(1) }
	tracker := newConnTracker(entry.env.Clock, 0)
	server := newServer(serveUnlessClosed(closeWhileStopping(entry.frontend, stopping), onClosed))
	server.ConnState = tracker.trackState
	callers := callerServer{Server: server, listener: entry.listener, tracker: tracker, clock: entry.env.Clock, served: make(chan struct{})}
	accepted := callerListener{Listener: entry.retryAccepts(entry.listener, "callers"), stopping: stopping}
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := callers.Serve(accepted); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		stopping.Store(true)
		go func() { stopped <- entry.shutDown(callers) }()
	})
}

// shutDown ends the server after the delay, once all connections that have been made are accepted and all calls have
// ended.
func (entry *Entry) shutDown(callers callerServer) error {
	_ = entry.env.Clock.Sleep(context.Background(), entry.stopDelay)
	ctx, cancel := context.WithTimeout(context.Background(), resolver.DefaultCallTimeout.Duration())
	defer cancel()
	for hasPendingConnections(entry.listener) && entry.env.Clock.Sleep(ctx, stopPollInterval) == nil {
		continue
	}
	if !callers.closeConnections(ctx) {
		return ctx.Err()
	}
	return nil
}

// closeWhileStopping passes requests to a handler. From when stopping is set, answers close their connections.
func closeWhileStopping(handler http.Handler, stopping *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
