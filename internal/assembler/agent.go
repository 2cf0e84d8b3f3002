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
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/runner"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Agent is an agent process, ready to run.
type Agent struct {
	settings loader.Agent
	env      Environment
	listener net.Listener
	admin    net.Listener
	watcher  *publisher.Watcher
	agent    *runner.Agent
	control  *control
	metrics  http.Handler
	meter    *storekeeper.Meter
}

// AgentStatus is what an agent says about itself.
type AgentStatus struct {
	Name     string          `json:"name"`
	Site     string          `json:"site"`
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Digest   *encoder.Digest `json:"digest"`
	// Control is what the agent spends on control.
	Control budgeter.Status `json:"control"`
	// Members is what the agent believes about each replica of its service.
	Members []reporter.ReplicaStatus `json:"members"`
}

// NewAgent returns an agent that listens and has its first configuration, and
// a function that releases what it holds. It waits for the configuration.
func NewAgent(ctx context.Context, settings loader.Agent, env Environment) (*Agent, func(), error) {
	env.Log = env.Log.WithFields(logrus.Fields{"process": "agent", "name": settings.Name, "site": settings.Site})
	made := &Agent{settings: settings}
	made.meter = newMeter(env, func() *publisher.Watcher { return made.watcher })
	env.Platform = made.meter.Wrap(env.Platform)
	made.env = env
	scope, metrics, closeScope := measurer.New(settings.Name, env.Log)
	made.metrics = metrics
	pool, closePool := dialer.NewPool(dialer.Settings{})
	incarnation := newIncarnation()
	origin := recorder.Origin{Group: settings.Service, Name: settings.Name, Incarnation: incarnation}
	record, closeRecord := newRecorder(ctx, env, settings.Process, origin)
	closeAll := func() { closeRecord(); closePool(); closeScope() }
	made.control = newControl(controlSettings{
		process: settings.Process, incarnation: incarnation, env: env, scope: scope, pool: pool,
		service: settings.Service, self: made.digest,
	})
	made.watcher = newWatcher(made.control.environment(), settings.Process, incarnation, pool, made.control.view.Addresses, record.Record)
	if err := made.ready(ctx); err != nil {
		closeAll()
		return nil, nil, err
	}
	agent, release, err := runner.New(runner.Settings{
		Name:        settings.Name,
		Service:     settings.Service,
		Site:        settings.Site,
		Incarnation: incarnation,
		Upstream:    settings.Upstream,
		Clock:       env.Clock,
		Log:         env.Log,
		Scope:       scope,
		Config:      made.watcher.Current,
		Record:      record.Record,
		Table:       env.Platform.Table,

		Hear:          made.watcher.Hear,
		Configuration: made.watcher.Answer,
		Mean:          made.control.exchanger.Mean,
		Room:          func() string { return made.control.view.Room(settings.Service, settings.Name) },
		Digests:       made.control.exchanger.Answer,
		Peers:         func() placer.Roster { return made.control.view.Roster(settings.Service) },
		Open:          pool.Open,
	})
	if err != nil {
		closeAll()
		return nil, nil, err
	}
	made.agent = agent
	record.SetPulse(agent.Sample)
	return made, func() { release(); closeAll() }, nil
}

// ready waits for the first configuration, looks around once and listens.
func (made *Agent) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := made.watcher.Await(ctx); err != nil {
		return err
	}
	if err := made.control.view.Look(ctx); err != nil {
		made.env.Log.WithError(err).Warn("instance list not read")
	}
	return made.bind()
}

// digest returns what the agent says about itself, and where it is reached.
func (made *Agent) digest() *encoder.Digest {
	digest := made.agent.Digest()
	digest.Address = made.settings.Advertise
	if digest.GetAddress() == "" {
		digest.Address = made.Address()
	}
	return digest
}

// Status returns what the agent says about itself and believes about others.
func (made *Agent) Status() AgentStatus {
	return AgentStatus{
		Name: made.settings.Name, Site: made.settings.Site, Service: made.settings.Service,
		Revision: made.watcher.Current().Revision, Digest: made.digest(),
		Control: made.control.status(), Members: made.control.view.Status(),
	}
}

func (made *Agent) bind() error {
	listener, err := listen(made.settings.Listen)
	if err != nil {
		return err
	}
	made.listener = listener
	if made.settings.AdminListen == "" {
		return nil
	}
	made.admin, err = listen(made.settings.AdminListen)
	return eris.Wrap(err, "admin address")
}

// Address returns where the fleet reaches the agent.
func (made *Agent) Address() string {
	return made.listener.Addr().String()
}

// AddTo adds the agent's actors to a group.
func (made *Agent) AddTo(group *run.Group) {
	addLoop(group, made.watcher.Run)
	addLoop(group, made.agent.Keep)
	made.control.addTo(group)
	made.addCalls(group)
	made.env.Log.WithField("address", made.Address()).Info("listening")
	if made.admin == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", made.metrics)
	mux.HandleFunc("GET /store", handler.Show(made.meter.Tallies))
	mux.HandleFunc("GET /config", handler.Show(made.watcher.Status))
	mux.HandleFunc("GET /status", handler.Show(made.Status))
	addServer(group, made.admin, mux, headerTimeout)
	made.env.Log.WithField("address", made.admin.Addr().String()).Info("admin listening")
}

// addCalls adds the actor that serves calls. Its stop refuses new work at once
// and lets what is in flight end, up to the service's longest drain.
func (made *Agent) addCalls(group *run.Group) {
	stop := make(chan struct{})
	failed := make(chan error, 1)
	group.Add(func() error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { failed <- made.agent.Serve(ctx, made.listener) }()
		select {
		case err := <-failed:
			return err
		case <-stop:
		}
		err := made.drain()
		_ = made.listener.Close()
		return err
	}, func(error) { close(stop) })
}

func (made *Agent) drain() error {
	service, _ := made.watcher.Current().Service(made.settings.Service)
	ctx, cancel := context.WithTimeout(context.Background(), service.LongestDrain.Duration())
	defer cancel()
	started := made.env.Clock.Now()
	// New work is refused before anyone is told, so that nobody can be told
	// late of a replica that still takes it.
	made.agent.Refuse()
	made.control.exchanger.Announce(ctx)
	err := made.agent.Drain(ctx)
	took := made.env.Clock.Now().Since(started)
	made.env.Log.WithFields(logrus.Fields{"took": took.String(), "whole": err == nil}).Info("drained")
	if err != nil {
		return err
	}
	return made.env.Clock.Sleep(context.Background(), linger)
}

// linger is how long a drained agent keeps its connections. A socket that is
// closed with unread bytes resets its peer, and the peer then loses the end of
// an answer that it had not read yet; half a second lets the last frames be
// read and the last window updates arrive.
const linger = 500 * timekeeper.Millisecond
