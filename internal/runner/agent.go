package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configures an agent. All fields without a stated default must be set.
type Settings struct {
	Name        string
	Service     string
	Site        string
	Incarnation uint64
	// Upstream is the base address of the upstream, such as "http://127.0.0.1:9000".
	Upstream string
	Clock    timekeeper.Clock
	Log      logrus.FieldLogger
	Scope    tally.Scope
	// Config returns the configuration in force.
	Config func() resolver.Config
	// OnRevision receives the configuration revision in a message of an entry or agent; nil
	// ignores it.
	OnRevision func(revision uint64)
	// AnswerConfig answers a request for the configuration; nil means an empty answer.
	AnswerConfig func(ask *encoder.ConfigAsk) *encoder.ConfigBody
	// Mean returns the estimated load of the whole service; nil means unknown.
	Mean func() admitter.Mean
	// Record takes events for the fleet's record; nil means they are dropped.
	Record func(event recorder.Event)
	// Digests answers a request for digests of the service; nil means that the agent
	// answers with its own digest only.
	Digests func(ask *encoder.DigestAsk) *encoder.Digests
	// Alternative names a replica of the service with free capacity, which a refusal at the
	// load bound names to the entry; nil means that none is known.
	Alternative func() string
	// AllowDigest charges a digest that is about to be sent with an answer to the
	// control-traffic budget, and returns false when the budget is used up; nil means no
	// limit.
	AllowDigest func(digest *encoder.Digest) bool
	// Replicas returns the replicas of the service that may get new work, and Open opens a
	// stream to one of them; nil disables prefix transfers between replicas.
	Replicas func() placer.Roster
	Open     func(ctx context.Context, address string) (net.Conn, error)
	// Draw returns random numbers in [0, 1) for jitter; nil means a source
	// seeded with the incarnation.
	Draw func() float64
	// Table is the platform's table, where keys are claimed; a zero Table means
	// that only minted keys can be used.
	Table storekeeper.Table
	// RunTimeout is how long a granted slot waits for its Run frame; zero means 5 seconds.
	RunTimeout timekeeper.Span
	// RunRetention is how long an ended run can be looked up; zero means 2 minutes.
	RunRetention timekeeper.Span
}

func (settings Settings) withDefaults() Settings {
	if settings.RunTimeout == 0 {
		settings.RunTimeout = 5 * timekeeper.Second
	}
	if settings.RunRetention == 0 {
		settings.RunRetention = 2 * timekeeper.Minute
	}
	if settings.Mean == nil {
		settings.Mean = func() admitter.Mean { return admitter.Mean{} }
	}
	if settings.Alternative == nil {
		settings.Alternative = func() string { return "" }
	}
	if settings.AllowDigest == nil {
		settings.AllowDigest = func(*encoder.Digest) bool { return true }
	}
	if settings.Draw == nil {
		settings.Draw = rand.New(rand.NewPCG(settings.Incarnation, 0)).Float64
	}
	if settings.OnRevision == nil {
		settings.OnRevision = func(uint64) {}
	}
	if settings.AnswerConfig == nil {
		settings.AnswerConfig = func(*encoder.ConfigAsk) *encoder.ConfigBody { return &encoder.ConfigBody{} }
	}
	if settings.Record == nil {
		settings.Record = recorder.Discard
	}
	return settings
}

// Agent is the only process that talks to its upstream instance.
type Agent struct {
	settings Settings
	upstream *upstream
	keys     *keys
	strikes  *strikes
	askers   askers
	orders   orders
	adapters adapters

	// service is the service's configuration in revision; mu guards both.
	service  resolver.Service
	revision uint64

	mu         sync.Mutex
	controller *admitter.Controller
	demand     admitter.Demand
	queue      map[string]chan slotResult
	directory  *placer.Directory
	startedAt  timekeeper.Instant
	unstarted  map[string]*unstartedOffer
	runs       map[string]*run
	retained   endedRuns
	bySerial   map[uint64]*run
	serial     uint64
	admissions map[string]admission
	draining   bool
	sequence   uint64
	reported   reportedLoad
	calls      sync.WaitGroup
	// transfers limits concurrent prefix transfers: each holds one element.
	transfers chan struct{}
}

// New returns an agent and a function that releases its resources. It returns an error
// when the configuration doesn't contain the agent's service.
func New(settings Settings) (*Agent, func(), error) {
	settings = settings.withDefaults()
	service, ok := settings.Config().Service(settings.Service)
	if !ok {
		return nil, nil, eris.Errorf("the configuration has no service %q", settings.Service)
	}
	agent := &Agent{
		settings:   settings,
		service:    service,
		revision:   settings.Config().Revision,
		upstream:   newUpstream(settings.Upstream, service),
		controller: admitter.NewController(controllerLimits(service, settings.Draw)),
		queue:      map[string]chan slotResult{},
		directory:  placer.NewDirectory(placer.DirectorySettings{Self: settings.Name, CacheTokens: service.CacheTokens}),
		startedAt:  settings.Clock.Now(),
		keys:       newKeys(settings),
		strikes:    newStrikes(settings),
		unstarted:  map[string]*unstartedOffer{},
		runs:       map[string]*run{},
		bySerial:   map[uint64]*run{},
		admissions: map[string]admission{},

		transfers: make(chan struct{}, maxTransfers),
	}
	return agent, agent.upstream.close, nil
}

// Serve accepts sessions until the listener closes. Sessions end with ctx.
func (agent *Agent) Serve(ctx context.Context, listener net.Listener) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		sessions.Go(func() { agent.serveSession(ctx, conn) })
	}
}

func (agent *Agent) serveSession(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, dialer.Settings{KeepAlive: dialer.ServerKeepAlive}.SessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = session.Close() })
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		agent.calls.Go(func() { agent.serveStream(ctx, stream) })
	}
}

// serveStream reads the first frame of a stream and dispatches on its type.
func (agent *Agent) serveStream(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	frame, err := stream.Read()
	if err != nil {
		return
	}
	switch message := frame.GetBody().(type) {
	case *encoder.Frame_Hello:
		_ = stream.Write(encoder.Of(&encoder.Welcome{Instance: agent.settings.Name, Incarnation: agent.settings.Incarnation}))
	case *encoder.Frame_Offer:
		agent.recordRevision(message.Offer.GetEntry(), message.Offer.GetRevision())
		agent.serveOffer(ctx, stream, message.Offer)
	case *encoder.Frame_Lookup:
		agent.serveLookup(ctx, stream, message.Lookup)
	case *encoder.Frame_PointerPut:
		agent.recordPointer(message.PointerPut)
	case *encoder.Frame_PrefixAsk:
		_ = stream.Write(encoder.Of(agent.servePrefix(ctx, message.PrefixAsk)))
	case *encoder.Frame_PrefixBody:
		_ = stream.Write(encoder.Of(agent.acceptPrefix(ctx, message.PrefixBody)))
	case *encoder.Frame_MintAsk:
		agent.serveMint(stream, message.MintAsk)
	case *encoder.Frame_Cancel:
		agent.serveCancel(stream, message.Cancel)
	case *encoder.Frame_DigestAsk:
		agent.recordRevision(message.DigestAsk.GetAsker(), message.DigestAsk.GetRevision())
		_ = stream.Write(encoder.Of(agent.withAskers(message.DigestAsk, agent.digests(message.DigestAsk))))
	case *encoder.Frame_EngineOrder:
		_ = stream.Write(encoder.Of(agent.executeOrder(ctx, message.EngineOrder)))
	case *encoder.Frame_ConfigAsk:
		_ = stream.Write(encoder.Of(agent.settings.AnswerConfig(message.ConfigAsk)))
	default:
		agent.settings.Log.WithField("frame", frame.String()).Warn("unexpected first frame")
	}
}

// Digest returns the agent's current state and load.
func (agent *Agent) Digest() *encoder.Digest {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.digest()
}

func (agent *Agent) digest() *encoder.Digest {
	agent.sequence++
	load := agent.controller.Load()
	state := encoder.ReplicaState_REPLICA_STATE_LIVE
	if agent.draining {
		state = encoder.ReplicaState_REPLICA_STATE_DRAINING
	} else if agent.strikes.ledger.Down() {
		state = encoder.ReplicaState_REPLICA_STATE_DOWN
	}
	return &encoder.Digest{
		Instance:    agent.settings.Name,
		Incarnation: agent.settings.Incarnation,
		Service:     agent.settings.Service,
		State:       state,
		Load:        load.Work,
		Running:     uint32(load.Running),
		Waiting:     uint32(load.Waiting),
		Revision:    agent.settings.Config().Revision,
		Sequence:    agent.sequence,
		Site:        agent.settings.Site,
		Loaded:      agent.adapters.loaded,
	}
}

func (agent *Agent) digests(ask *encoder.DigestAsk) *encoder.Digests {
	// A query without a service and a limit asks for this agent's digest only.
	if agent.settings.Digests != nil && (ask.GetService() != "" || ask.GetLimit() > 0) {
		return agent.settings.Digests(ask)
	}
	return &encoder.Digests{
		From:        agent.settings.Name,
		Incarnation: agent.settings.Incarnation,
		Digests:     []*encoder.Digest{agent.Digest()},
	}
}
