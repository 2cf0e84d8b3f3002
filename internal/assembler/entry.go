package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/forwarder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// Entry is an entry process, ready to run.
type Entry struct {
	settings loader.Entry
	env      Environment
	listener net.Listener
	admin    net.Listener
	watcher  *publisher.Watcher
	view     *reporter.View
	front    *forwarder.Entry
	metrics  http.Handler

	announcer *announcer
}

// EntryStatus is what an entry says about itself.
type EntryStatus struct {
	Name     string         `json:"name"`
	Site     string         `json:"site"`
	Revision uint64         `json:"revision"`
	Replicas map[string]int `json:"replicas"`
}

// NewEntry returns an entry that listens and has its first configuration, and
// a function that releases what it holds. It waits for the configuration.
func NewEntry(ctx context.Context, settings loader.Entry, env Environment) (*Entry, func(), error) {
	env.Log = env.Log.WithFields(logrus.Fields{"process": "entry", "name": settings.Name, "site": settings.Site})
	entry := &Entry{settings: settings, env: env}
	entry.view = reporter.NewView(env.Platform.Directory, env.Log)
	pool, closePool := dialer.NewPool(dialer.Settings{})
	incarnation := newIncarnation()
	origin := recorder.Origin{Group: recorder.EntryGroup, Name: settings.Name, Incarnation: incarnation}
	record, closeRecord := newRecorder(ctx, env, settings.Process, origin)
	entry.watcher = newWatcher(env, settings.Process, incarnation, pool, entry.view.Addresses, record.Record)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := entry.watcher.Await(ctx); err != nil {
		closeRecord()
		closePool()
		return nil, nil, err
	}
	if err := entry.view.Look(ctx); err != nil {
		env.Log.WithError(err).Warn("instance list not read")
	}
	if err := entry.bind(); err != nil {
		closeRecord()
		closePool()
		return nil, nil, err
	}
	entry.announcer = &announcer{
		name: settings.Name, pool: pool, peers: entry.view.Addresses,
		revision: func() uint64 { return entry.watcher.Current().Revision },
	}
	scope, metrics, closeScope := measurer.New(settings.Name, env.Log)
	entry.metrics = metrics
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
		Locate:      entry.view.Locate,
		Learn:       entry.learn,
		Record:      record.Record,
	})
	return entry, func() { closePool(); closeRecord(); closeScope() }, nil
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
	}
	for _, service := range config.ServiceNames() {
		status.Replicas[service] = entry.view.Roster(service).Len()
	}
	return status
}

// AddTo adds the entry's actors to a group.
func (entry *Entry) AddTo(group *run.Group) {
	addLoop(group, entry.watcher.Run)
	addLoop(group, func(ctx context.Context) { entry.announcer.run(ctx, entry.env.Clock) })
	addLoop(group, func(ctx context.Context) { entry.view.Run(ctx, entry.env.Clock) })
	addServer(group, entry.listener, entry.front, resolver.DefaultLongestCall.Duration())
	entry.env.Log.WithField("address", entry.Address()).Info("listening")
	if entry.admin == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", entry.metrics)
	mux.HandleFunc("GET /config", handler.Show(entry.watcher.Status))
	mux.HandleFunc("GET /status", handler.Show(entry.Status))
	addServer(group, entry.admin, mux, headerTimeout)
	entry.env.Log.WithField("address", entry.admin.Addr().String()).Info("admin listening")
}
