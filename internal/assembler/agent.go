package assembler

import (
	"context"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/runner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Agent is an agent process, ready to run.
type Agent struct {
	*shell
	settings loader.Agent
	agent    *runner.Agent
	// cut is what a stop cut off. The actor that drains writes it before the
	// group ends, and Cut reads it after.
	cut error
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
	made := &Agent{settings: settings}
	made.shell = newShell(shellSettings{
		process: settings.Process, env: env, kind: "agent", group: settings.Service,
		service: settings.Service, self: made.digest,
	})
	// An agent has no part in the exchange before it listens.
	if err := made.ready(ctx, func(context.Context) {}); err != nil {
		made.release()
		return nil, nil, err
	}
	agent, release, err := runner.New(runner.Settings{
		Name:        settings.Name,
		Service:     settings.Service,
		Site:        settings.Site,
		Incarnation: made.incarnation,
		Upstream:    settings.Upstream,
		Clock:       made.env.Clock,
		Log:         made.env.Log,
		Scope:       made.scope,
		Config:      made.watcher.Current,
		Record:      made.record.Record,
		Table:       made.env.Platform.Table,

		Hear:          made.watcher.Hear,
		Configuration: made.watcher.Answer,
		Mean:          made.control.exchanger.Mean,
		Room:          func() string { return made.control.view.Room(settings.Service, settings.Name) },
		Digests:       made.control.exchanger.Answer,
		Tell:          made.control.tell,
		Peers:         func() placer.Roster { return made.control.view.Roster(settings.Service) },
		Open:          made.pool.Open,
	})
	if err != nil {
		made.release()
		return nil, nil, err
	}
	made.agent = agent
	made.onRelease(release)
	made.record.SetPulse(agent.Sample)
	return made, made.release, nil
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

// AddTo adds the agent's actors to a group.
func (made *Agent) AddTo(group *run.Group) {
	addLoop(group, made.watcher.Run)
	made.control.addTo(group)
	made.addCalls(group)
	made.addAdmin(group, handler.Show(made.Status))
}

// addCalls adds the actor that serves calls. Its stop refuses new work at once
// and lets what is in flight end, up to the service's longest drain.
func (made *Agent) addCalls(group *run.Group) {
	stop := make(chan struct{})
	failed := make(chan error, 1)
	group.Add(func() error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		// Claims are written until the drain is over. The failure: the writer ends
		// with the stop, while granted calls still claim. The symptom: they wait
		// for a writer that is gone, the drain never ends, and rows that were being
		// written name an agent that has left.
		go made.agent.Keep(ctx)
		go func() { failed <- made.agent.Serve(ctx, made.listener) }()
		select {
		case err := <-failed:
			return err
		case <-stop:
		}
		err := made.drain()
		made.cut = err
		_ = made.listener.Close()
		return err
	}, func(error) { close(stop) })
}

// DrainError returns an error that says how many calls the stop cut off, or nil when
// all had ended. It may be asked once the agent's group has ended.
func (made *Agent) DrainError() error {
	return made.cut
}

func (made *Agent) drain() error {
	made.readiness.leaving.Store(true)
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
	made.handOver()
	if err != nil {
		return err
	}
	return made.env.Clock.Sleep(context.Background(), linger)
}

// handOverTime bounds the last words to the store. A store that is slow must
// not hold up a stop; what is not said costs callers an "unknown".
const handOverTime = 2 * timekeeper.Second

func (made *Agent) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime.Duration())
	defer cancel()
	made.agent.HandOver(ctx)
}

// linger is how long a drained agent keeps its connections. A socket that is
// closed with unread bytes resets its peer, and the peer then loses the end of
// an answer that it had not read yet; half a second lets the last frames be
// read and the last window updates arrive.
const linger = 500 * timekeeper.Millisecond
