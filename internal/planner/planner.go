package planner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// leaseTable holds one row for each service: its lease.
const leaseTable = "planners"

// Address is the address of an engine's agent.
type Address struct {
	Engine  string
	Address string
}

// Settings configures a planner. All fields without a stated default must be set.
type Settings struct {
	// Holder identifies this process and incarnation.
	Holder  string
	Service string
	Table   storekeeper.Table
	Clock   timekeeper.Clock
	Log     logrus.FieldLogger
	Seed    uint64
	// Config returns the configuration in force.
	Config func() resolver.Config
	// Engines returns the service's agents.
	Engines func(service string) []Address
	// Send sends an order to an agent and returns its answer.
	Send func(ctx context.Context, address string, order *encoder.EngineOrder) (*encoder.EngineOrderDone, error)
}

// Planner plans for one service while it holds the lease. Run is its only loop; orders run
// in the background, one at a time, so that a slow engine doesn't delay the renewal of the
// lease.
type Planner struct {
	settings Settings
	random   *rand.Rand
	rounds   sync.WaitGroup

	mu           sync.Mutex
	lease        Lease
	limiter      RateLimiter
	roundRunning bool
	spreads      map[string]Spread
}

// New returns a planner without a lease.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 5)),
		spreads:  map[string]Spread{},
	}
}

// Run renews the lease, or waits for it, until ctx ends.
func (planner *Planner) Run(ctx context.Context) {
	defer planner.rounds.Wait()
	for planner.settings.Clock.Sleep(ctx, planner.Step(ctx)) == nil {
		continue
	}
}

// terms returns the settings of the service's lease, and false when the service's engines
// take no orders.
func (planner *Planner) terms() (Terms, resolver.Service, bool) {
	config := planner.settings.Config()
	service, ok := config.Service(planner.settings.Service)
	terms := Terms{
		Span:              config.Limits.WithDefaults().OrderLease,
		OrderTimeout:      service.OrderTimeout,
		EnginesCheckFence: service.ChecksOrders,
	}
	return terms, service, ok && service.ReceivesOrders()
}

// Step checks the lease once, gives the orders that are due, and returns the time to the
// next check. While the store is unavailable, no process acquires a lease, and the holder
// stops when its own expires: engines stay as they are.
func (planner *Planner) Step(ctx context.Context) timekeeper.Span {
	terms, service, ok := planner.terms()
	if !ok {
		return terms.Span
	}
	lease, err := planner.maintainLease(ctx, terms)
	if err != nil {
		planner.settings.Log.WithError(err).WithField("service", planner.settings.Service).Warn("lease not read or written")
	}
	now := planner.settings.Clock.Now()
	if lease.MayOrder(planner.settings.Holder, now) {
		planner.startRound(ctx, terms, service)
	}
	return lease.NextCheck(planner.settings.Holder, terms, planner.random.Float64(), now)
}

// maintainLease reads the row and renews or acquires the lease when due. After a failed
// write, whose outcome may be unknown, the planner keeps the lease that it read; the next
// check reads the row again.
func (planner *Planner) maintainLease(ctx context.Context, terms Terms) (Lease, error) {
	row, err := planner.settings.Table.Get(ctx, leaseTable, planner.settings.Service)
	if err != nil && !eris.Is(err, storekeeper.ErrAbsent) {
		return planner.currentLease(), err
	}
	var lease Lease
	if err == nil {
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			return planner.currentLease(), eris.Wrap(err, "decode lease")
		}
	}
	now := planner.settings.Clock.Now()
	next, action := lease.Next(planner.settings.Holder, terms, now)
	if action == NoAction {
		return planner.setLease(lease), nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return lease, eris.Wrap(err, "encode lease")
	}
	write := storekeeper.Write{Table: leaseTable, Key: planner.settings.Service, Value: value, Expect: row.Version}
	if err := planner.settings.Table.Commit(ctx, []storekeeper.Write{write}); err != nil {
		return planner.setLease(lease), err
	}
	if action == Acquire {
		planner.startTerm(next, now)
	}
	return planner.setLease(next), nil
}

func (planner *Planner) currentLease() Lease {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.lease
}

func (planner *Planner) setLease(lease Lease) Lease {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.lease = lease
	return lease
}

func (planner *Planner) startTerm(lease Lease, now timekeeper.Instant) {
	_, service, _ := planner.terms()
	planner.mu.Lock()
	planner.limiter = NewRateLimiter(service.LoadsPerMinute, now)
	// The spreads of an earlier term may be minutes old; they start again from the
	// engines' states.
	planner.spreads = map[string]Spread{}
	planner.mu.Unlock()
	planner.settings.Log.WithFields(logrus.Fields{
		"service": planner.settings.Service, "fence": lease.Fence, "quiet": lease.NoOrdersBefore.Since(now).String(),
	}).Info("planner")
}

// startRound starts a round of orders unless one is in progress.
func (planner *Planner) startRound(ctx context.Context, terms Terms, service resolver.Service) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.roundRunning {
		return
	}
	planner.roundRunning = true
	planner.rounds.Go(func() {
		planner.round(ctx, terms, service)
		planner.mu.Lock()
		planner.roundRunning = false
		planner.mu.Unlock()
	})
}

// round reads the engines' states and gives the orders that are due.
func (planner *Planner) round(ctx context.Context, terms Terms, service resolver.Service) {
	addresses := planner.settings.Engines(planner.settings.Service)
	engines := make([]Engine, 0, len(addresses))
	for _, at := range addresses {
		done, err := planner.send(ctx, terms, at, Order{Engine: at.Engine, Action: Show})
		if err == nil && done.GetKind() == "" {
			engines = append(engines, engineFromAnswer(at.Engine, done))
		}
	}
	desired := DesiredState{Targets: planner.targets(service, engines), Role: service.Role, Version: service.Version}
	for _, order := range Plan(engines, desired) {
		if !planner.allowOrder(order, service) {
			continue
		}
		i := slices.IndexFunc(addresses, func(at Address) bool { return at.Engine == order.Engine })
		if _, err := planner.send(ctx, terms, addresses[i], order); err != nil {
			planner.settings.Log.WithError(err).WithField("engine", order.Engine).Warn("order to engine failed")
		}
	}
}

// engineFromAnswer returns the engine's state from its agent's answer.
func engineFromAnswer(name string, done *encoder.EngineOrderDone) Engine {
	engine := Engine{Name: name, Loaded: done.GetLoaded(), Role: done.GetRole(), Version: done.GetVersion()}
	for _, demand := range done.GetDemands() {
		engine.Demands = append(engine.Demands, Demand{Adapter: demand.GetAdapter(), Calls: int(demand.GetCalls())})
	}
	return engine
}

// targets returns the number of engines for each adapter of the configuration, and forgets
// adapters that are no longer in it.
func (planner *Planner) targets(service resolver.Service, engines []Engine) []Target {
	now := planner.settings.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	spreads := make(map[string]Spread, len(service.Adapters))
	targets := make([]Target, 0, len(service.Adapters))
	for _, adapter := range service.Adapters {
		calls, loaded := demandFor(engines, adapter)
		spread, known := planner.spreads[adapter]
		if !known {
			spread = Spread{Engines: loaded}
		}
		spread = spread.WithDesired(DesiredEngines(calls, service.Slots, len(engines)), now)
		spreads[adapter] = spread
		targets = append(targets, Target{Adapter: adapter, Engines: spread.Engines})
	}
	planner.spreads = spreads
	return targets
}

// allowOrder reports whether the lease is still held and the rate limit allows the order.
// An allowed load counts against the limit.
func (planner *Planner) allowOrder(order Order, service resolver.Service) bool {
	now := planner.settings.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if !planner.lease.MayOrder(planner.settings.Holder, now) {
		return false
	}
	if !order.loadsWeights() {
		return true
	}
	limiter, allowed := planner.limiter.Allow(service.LoadsPerMinute, now)
	planner.limiter = limiter
	return allowed
}

func (planner *Planner) send(ctx context.Context, terms Terms, at Address, order Order) (*encoder.EngineOrderDone, error) {
	lease := planner.currentLease()
	ctx, cancel := context.WithTimeout(ctx, (terms.OrderTimeout + MaxClockSkew).Duration())
	defer cancel()
	done, err := planner.settings.Send(ctx, at.Address, &encoder.EngineOrder{
		Service:    planner.settings.Service,
		Fence:      lease.Fence,
		LeaseUntil: int64(lease.Until),
		Action:     order.Action,
		Subject:    order.Subject,
	})
	if err == nil && order.Action != Show {
		planner.settings.Log.WithFields(logrus.Fields{
			"service": planner.settings.Service, "engine": order.Engine, "action": order.Action,
			"subject": order.Subject, "fence": lease.Fence, "refused": done.GetKind(),
		}).Info("order")
	}
	return done, err
}
