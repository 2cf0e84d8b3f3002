package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/forwarder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Entry is an entry process, ready to run.
type Entry struct {
	settings loader.Entry
	env      Environment
	listener net.Listener
	admin    net.Listener
	watcher  *publisher.Watcher
	control  *control
	view     *reporter.View
	front    *forwarder.Entry
	metrics  http.Handler

	announcer *announcer
	planners  planners
	meter     *storekeeper.Meter
}

// EntryStatus is what an entry says about itself.
type EntryStatus struct {
	Name     string         `json:"name"`
	Site     string         `json:"site"`
	Revision uint64         `json:"revision"`
	Replicas map[string]int `json:"replicas"`
	// Control is what the entry spends on control.
	Control budgeter.Status `json:"control"`
	// Members is what the entry believes about each replica.
	Members []reporter.ReplicaStatus `json:"members"`
}

// NewEntry returns an entry that listens and has its first configuration, and
// a function that releases what it holds. It waits for the configuration.
func NewEntry(ctx context.Context, settings loader.Entry, env Environment) (*Entry, func(), error) {
	env.Log = env.Log.WithFields(logrus.Fields{"process": "entry", "name": settings.Name, "site": settings.Site})
	entry := &Entry{settings: settings}
	scope, metrics, closeScope := measurer.New(settings.Name, env.Log)
	entry.meter = newMeter(env, scope, func() *publisher.Watcher { return entry.watcher })
	env.Platform = entry.meter.Wrap(env.Platform)
	entry.env = env
	pool, closePool := dialer.NewPool(dialer.Settings{})
	entry.metrics = metrics
	incarnation := newIncarnation()
	origin := recorder.Origin{Group: recorder.EntryGroup, Name: settings.Name, Incarnation: incarnation}
	record, closeRecord := newRecorder(ctx, env, settings.Process, origin)
	release := func() { closePool(); closeRecord(); closeScope() }
	entry.control = newControl(controlSettings{
		process: settings.Process, incarnation: incarnation, env: env, scope: scope, pool: pool,
	})
	entry.view = entry.control.view
	entry.watcher = newWatcher(
		entry.control.environment(), settings.Process, incarnation, pool, entry.view.Addresses, record.Record,
	)
	entry.planners = planners{entry: entry, pool: pool, incarnation: incarnation}
	entry.announcer = &announcer{
		name: settings.Name, pool: pool, peers: entry.view.Addresses,
		revision: func() uint64 { return entry.watcher.Current().Revision },
	}
	if err := entry.ready(ctx); err != nil {
		release()
		return nil, nil, err
	}
	record.SetPulse(entry.alive)
	entry.front = forwarder.New(forwarder.Settings{
		Name:        settings.Name,
		Site:        settings.Site,
		Incarnation: incarnation,
		Clock:       env.Clock,
		Log:         env.Log,
		Scope:       scope,
		Pool:        pool,
		Config:      entry.watcher.Current,
		Roster:      entry.view.Roster,
		Holders:     entry.view.Holders,
		Locate:      entry.view.Locate,
		Learn:       entry.learn,
		Record:      record.Record,
	})
	return entry, release, nil
}

// ready waits for the first configuration, looks around once and listens. An
// entry whose instance list can't be read asks the peers of its settings.
func (entry *Entry) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := entry.watcher.Await(ctx); err != nil {
		return err
	}
	if err := entry.view.Look(ctx); err != nil {
		entry.env.Log.WithError(err).Warn("instance list not read")
		entry.control.exchanger.Round(ctx)
	}
	return entry.bind()
}

func (entry *Entry) bind() error {
	listener, err := listen(entry.settings.Listen)
	if err != nil {
		return err
	}
	entry.listener = listener
	if entry.settings.AdminListen == "" {
		return nil
	}
	entry.admin, err = listen(entry.settings.AdminListen)
	return eris.Wrap(err, "admin address")
}

// Address returns where callers reach the entry.
func (entry *Entry) Address() string {
	return entry.listener.Addr().String()
}

// Status returns what the entry says about itself.
func (entry *Entry) Status() EntryStatus {
	config := entry.watcher.Current()
	status := EntryStatus{
		Name:     entry.settings.Name,
		Site:     entry.settings.Site,
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

// AddTo adds the entry's actors to a group.
func (entry *Entry) AddTo(group *run.Group) {
	addLoop(group, entry.watcher.Run)
	addLoop(group, entry.planners.run)
	addLoop(group, func(ctx context.Context) { entry.announcer.run(ctx, entry.env.Clock) })
	entry.control.addTo(group)
	addServer(group, entry.listener, entry.front, resolver.DefaultLongestCall.Duration())
	entry.env.Log.WithField("address", entry.Address()).Info("listening")
	if entry.admin == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", entry.metrics)
	mux.HandleFunc("GET /store", handler.Show(entry.meter.Tallies))
	mux.HandleFunc("GET /config", handler.Show(entry.watcher.Status))
	mux.HandleFunc("GET /status", handler.Show(entry.Status))
	addServer(group, entry.admin, mux, headerTimeout)
	entry.env.Log.WithField("address", entry.admin.Addr().String()).Info("admin listening")
}
