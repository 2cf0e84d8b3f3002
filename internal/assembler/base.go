package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// base is what Entry and Agent have in common: listeners, metrics, the record,
// sessions to peers, and the watch over configuration and membership.
type base struct {
	process     loader.Process
	env         Environment
	incarnation uint64

	scope   tally.Scope
	metrics http.Handler
	meter   *storekeeper.Meter
	pool    *dialer.Pool
	record  *recorder.Recorder
	control *control
	view    *reporter.View
	watcher *publisher.Watcher

	listener  net.Listener
	admin     net.Listener
	readiness readiness
	// cleanups release the process's resources, in reverse order.
	cleanups []func()
}

// baseSettings are the settings of a base.
type baseSettings struct {
	process loader.Process
	env     Environment
	// kind is the kind of the process in its log, group the group in the record.
	kind, group string
	// service and self are set for an agent.
	service string
	self    func() *encoder.Digest
}

// newBase returns a base that does not listen and has no configuration yet.
func newBase(settings baseSettings) *base {
	process, env := settings.process, settings.env
	env.Log = env.Log.WithFields(logrus.Fields{"process": settings.kind, "name": process.Name, "site": process.Site})
	base := &base{process: process, incarnation: newIncarnation()}
	var release func()
	base.scope, base.metrics, release = measurer.New(process.Name, env.Log)
	base.meter = newMeter(env, base.scope, func() *publisher.Watcher { return base.watcher })
	env.Platform = base.meter.Wrap(env.Platform)
	base.env = env
	base.onRelease(release)
	base.pool, release = dialer.NewPool(dialer.Settings{})
	base.onRelease(release)
	origin := recorder.Origin{Group: settings.group, Name: process.Name, Incarnation: base.incarnation}
	base.control = newControl(controlSettings{
		process: process, incarnation: base.incarnation, env: env, scope: base.scope, pool: base.pool,
		service: settings.service, self: settings.self,
	})
	base.view = base.control.view
	base.record, release = newRecorder(env, process, origin, base.view.ListedCount)
	base.onRelease(release)
	base.watcher = newWatcher(
		base.control.meteredEnvironment(), process, base.incarnation, base.pool, base.view.Addresses, base.record.Record,
	)
	return base
}

// onRelease adds a cleanup that runs before those added earlier.
func (base *base) onRelease(cleanup func()) {
	base.cleanups = append(base.cleanups, cleanup)
}

func (base *base) release() {
	for i := len(base.cleanups) - 1; i >= 0; i-- {
		base.cleanups[i]()
	}
}

// start waits for the first configuration, reads the instance list and listens. If reading
// the list fails, it calls onListError and goes on.
func (base *base) start(ctx context.Context, onListError func(ctx context.Context)) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := base.watcher.Await(ctx); err != nil {
		return err
	}
	if err := base.view.ReadList(ctx); err != nil {
		base.env.Log.WithError(err).Warn("instance list not read")
		onListError(ctx)
	}
	return base.bind()
}

func (base *base) bind() error {
	listener, err := listen(base.process.Listen)
	if err != nil {
		return err
	}
	base.listener = listener
	// The server closes its listener itself; this is for a start that fails.
	base.onRelease(func() { _ = listener.Close() })
	if base.process.AdminListen == "" {
		return nil
	}
	base.admin, err = listen(base.process.AdminListen)
	return eris.Wrap(err, "admin address")
}

// Address returns the listening address: of an entry for callers, of an agent for the
// fleet.
func (base *base) Address() string {
	return base.listener.Addr().String()
}

// addAdmin logs the listening addresses and adds the admin server, if there is one.
func (base *base) addAdmin(group *run.Group, status http.HandlerFunc) {
	base.env.Log.WithField("address", base.Address()).Info("listening")
	if base.admin == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", base.metrics)
	mux.HandleFunc("GET /store", handler.Show(base.meter.Tallies))
	mux.HandleFunc("GET /config", handler.Show(base.watcher.Status))
	mux.HandleFunc("GET /status", status)
	mux.Handle("GET /ready", &base.readiness)
	addServer(group, base.retryAccepts(base.admin, "admin"), mux, headerTimeout)
	base.env.Log.WithField("address", base.admin.Addr().String()).Info("admin listening")
}
