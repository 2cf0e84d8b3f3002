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
	*base
	settings   loader.Agent
	callRunner *runner.Agent
	// drainErr is the result of the drain. The actor that serves calls writes it
	// before the group ends; DrainError reads it afterwards.
	drainErr error
}

// AgentStatus is the content of an agent's status page.
type AgentStatus struct {
	Name     string          `json:"name"`
	Site     string          `json:"site"`
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Digest   *encoder.Digest `json:"digest"`
	// Control is the agent's control traffic.
	Control budgeter.Status `json:"control"`
	// Members holds the agent's view of each replica of its service.
	Members []reporter.ReplicaStatus `json:"members"`
}

// NewAgent waits for the first configuration, then returns a listening agent
// and a function that releases its resources.
func NewAgent(ctx context.Context, settings loader.Agent, env Environment) (*Agent, func(), error) {
	agent := &Agent{settings: settings}
	agent.base = newBase(baseSettings{
		process: settings.Process, env: env, kind: "agent", group: settings.Service,
		service: settings.Service, self: agent.digest,
	})
	// An agent exchanges no digests before it listens.
	if err := agent.start(ctx, func(context.Context) {}); err != nil {
		agent.release()
		return nil, nil, err
	}
	callRunner, release, err := runner.New(runner.Settings{
		Name:        settings.Name,
		Service:     settings.Service,
		Site:        settings.Site,
		Incarnation: agent.incarnation,
		Upstream:    settings.Upstream,
		Clock:       agent.env.Clock,
		Log:         agent.env.Log,
		Scope:       agent.scope,
		Config:      agent.watcher.Current,
		Record:      agent.record.Record,
		Table:       agent.env.Platform.Table,

		OnRevision:   agent.watcher.ReceiveRevision,
		AnswerConfig: agent.watcher.Answer,
		Mean:         agent.control.exchanger.Mean,
		Alternative:  func() string { return agent.control.view.Alternative(settings.Service, settings.Name) },
		Digests:      agent.control.exchanger.Answer,
		AllowDigest:  agent.control.admitDigest,
		Replicas:     func() placer.Roster { return agent.control.view.Roster(settings.Service) },
		Open:         agent.pool.Open,
	})
	if err != nil {
		agent.release()
		return nil, nil, err
	}
	agent.callRunner = callRunner
	agent.onRelease(release)
	agent.record.SetHeartbeat(callRunner.Sample)
	return agent, agent.release, nil
}

// digest returns the agent's digest, with the address at which peers reach it.
func (agent *Agent) digest() *encoder.Digest {
	digest := agent.callRunner.Digest()
	digest.Address = agent.settings.Advertise
	if digest.GetAddress() == "" {
		digest.Address = agent.Address()
	}
	return digest
}

// Status returns the agent's own state and its view of its service's replicas.
func (agent *Agent) Status() AgentStatus {
	return AgentStatus{
		Name: agent.settings.Name, Site: agent.settings.Site, Service: agent.settings.Service,
		Revision: agent.watcher.Current().Revision, Digest: agent.digest(),
		Control: agent.control.status(), Members: agent.control.view.Status(),
	}
}

// AddTo adds the agent's actors to a group.
func (agent *Agent) AddTo(group *run.Group) {
	addLoop(group, agent.watcher.Run)
	agent.control.addTo(group)
	agent.addCalls(group)
	agent.addAdmin(group, handler.Show(agent.Status))
}

// addCalls adds the actor that serves calls. When it is interrupted, it refuses
// new calls at once and waits for calls in flight, up to the service's longest drain.
func (agent *Agent) addCalls(group *run.Group) {
	stop := make(chan struct{})
	failed := make(chan error, 1)
	group.Add(func() error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		// Maintain writes claims, so it must run until the drain is over. If it ended
		// with the stop, granted calls that still claim would wait for it and the
		// drain would never end; rows that were being written would name an agent
		// that has left.
		go agent.callRunner.Maintain(ctx)
		go func() { failed <- agent.callRunner.Serve(ctx, agent.retryAccepts(agent.listener, "sessions")) }()
		select {
		case err := <-failed:
			return err
		case <-stop:
		}
		err := agent.drain()
		agent.drainErr = err
		_ = agent.listener.Close()
		return err
	}, func(error) { close(stop) })
}

// DrainError returns an error that states how many calls the stop cut off, or nil
// if all had ended. It must not be called before the agent's group has ended.
func (agent *Agent) DrainError() error {
	return agent.drainErr
}

func (agent *Agent) drain() error {
	agent.readiness.stopping.Store(true)
	service, _ := agent.watcher.Current().Service(agent.settings.Service)
	ctx, cancel := context.WithTimeout(context.Background(), service.DrainTimeout.Duration())
	defer cancel()
	started := agent.env.Clock.Now()
	// Refuse before announcing, so that the replica takes no more work from a peer that
	// the announcement reaches late.
	agent.callRunner.StopAdmitting()
	agent.control.exchanger.Announce(ctx)
	err := agent.callRunner.Drain(ctx)
	took := agent.env.Clock.Now().Since(started)
	agent.env.Log.WithFields(logrus.Fields{"took": took.String(), "whole": err == nil}).Info("drained")
	agent.handOver()
	if err != nil {
		return err
	}
	return agent.env.Clock.Sleep(context.Background(), linger)
}

// handOverTimeout bounds the last writes to the store, so that a slow store does not
// delay a stop. Callers who ask about a key that was not handed over get "unknown".
const handOverTimeout = 2 * timekeeper.Second

func (agent *Agent) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout.Duration())
	defer cancel()
	agent.callRunner.FlushKeys(ctx)
}

// linger is how long a drained agent keeps its connections open. Closing a socket
// with unread bytes resets the connection, and the peer loses the part of an answer
// that it has not read yet. Half a second is enough for the peer to read the last
// frames and for the last window updates to arrive.
const linger = 500 * timekeeper.Millisecond
