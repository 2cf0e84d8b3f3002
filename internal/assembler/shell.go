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

// shell is what entries and agents have in common: listeners, metrics, the
// record, sessions to peers, and the watch over configuration and membership.
type shell struct {
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
	// cleanups release what the process holds; the last made goes first.
	cleanups []func()
}

// shellSettings set up a shell.
type shellSettings struct {
	process loader.Process
	env     Environment
	// kind is the process's kind in its log, group its group in the record.
	kind, group string
	// service and self are set for an agent.
	service string
	self    func() *encoder.Digest
}

// newShell returns a shell that neither listens nor has a configuration yet.
func newShell(settings shellSettings) *shell {
	process, env := settings.process, settings.env
	env.Log = env.Log.WithFields(logrus.Fields{"process": settings.kind, "name": process.Name, "site": process.Site})
	shell := &shell{process: process, incarnation: newIncarnation()}
	var release func()
	shell.scope, shell.metrics, release = measurer.New(process.Name, env.Log)
	shell.meter = newMeter(env, shell.scope, func() *publisher.Watcher { return shell.watcher })
	env.Platform = shell.meter.Wrap(env.Platform)
	shell.env = env
	shell.onRelease(release)
	shell.pool, release = dialer.NewPool(dialer.Settings{})
	shell.onRelease(release)
	origin := recorder.Origin{Group: settings.group, Name: process.Name, Incarnation: shell.incarnation}
	shell.control = newControl(controlSettings{
		process: process, incarnation: shell.incarnation, env: env, scope: shell.scope, pool: shell.pool,
		service: settings.service, self: settings.self,
	})
	shell.view = shell.control.view
	shell.record, release = newRecorder(env, process, origin, shell.view.Listed)
	shell.onRelease(release)
	shell.watcher = newWatcher(
		shell.control.environment(), process, shell.incarnation, shell.pool, shell.view.Addresses, shell.record.Record,
	)
	return shell
}

// onRelease adds a clean-up that runs before those added earlier.
func (shell *shell) onRelease(cleanup func()) {
	shell.cleanups = append(shell.cleanups, cleanup)
}

func (shell *shell) release() {
	for i := len(shell.cleanups) - 1; i >= 0; i-- {
		shell.cleanups[i]()
	}
}

// ready waits for the first configuration, looks around once and listens.
// unlisted is what a process does whose instance list can't be read.
func (shell *shell) ready(ctx context.Context, unlisted func(ctx context.Context)) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := shell.watcher.Await(ctx); err != nil {
		return err
	}
	if err := shell.view.Look(ctx); err != nil {
		shell.env.Log.WithError(err).Warn("instance list not read")
		unlisted(ctx)
	}
	return shell.bind()
}

func (shell *shell) bind() error {
	listener, err := listen(shell.process.Listen)
	if err != nil {
		return err
	}
	shell.listener = listener
	// A server closes its listener itself; this is for a start that fails.
	shell.onRelease(func() { _ = listener.Close() })
	if shell.process.AdminListen == "" {
		return nil
	}
	shell.admin, err = listen(shell.process.AdminListen)
	return eris.Wrap(err, "admin address")
}

// Address returns where the process is reached: an entry by callers, an agent
// by the fleet.
func (shell *shell) Address() string {
	return shell.listener.Addr().String()
}

// addAdmin tells where the process listens, and adds its page of status and metrics.
func (shell *shell) addAdmin(group *run.Group, status http.HandlerFunc) {
	shell.env.Log.WithField("address", shell.Address()).Info("listening")
	if shell.admin == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", shell.metrics)
	mux.HandleFunc("GET /store", handler.Show(shell.meter.Tallies))
	mux.HandleFunc("GET /config", handler.Show(shell.watcher.Status))
	mux.HandleFunc("GET /status", status)
	mux.Handle("GET /ready", &shell.readiness)
	addServer(group, shell.admin, mux, headerTimeout)
	shell.env.Log.WithField("address", shell.admin.Addr().String()).Info("admin listening")
}
