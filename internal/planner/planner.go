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

// table holds one row for each service: its lease.
const table = "planners"

// Address is where an engine's agent is reached.
type Address struct {
	Engine  string
	Address string
}

// Settings set up a planner. All fields without a stated default must be set.
type Settings struct {
	// Holder tells this process and incarnation from all others.
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
	// Send gives an order to an agent and returns its answer.
	Send func(ctx context.Context, address string, order *encoder.EngineOrder) (*encoder.EngineOrderDone, error)
}

// Planner plans for one service while it holds the lease. Run is its one loop;
// orders are given beside it, one after the other, so that a slow engine
// doesn't keep the lease from being renewed.
type Planner struct {
	settings Settings
	draws    *rand.Rand
	giving   sync.WaitGroup

	mu      sync.Mutex
	lease   Lease
	pace    Pace
	busy    bool
	spreads map[string]Spread
}

// New returns a planner that holds nothing.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		draws:    rand.New(rand.NewPCG(settings.Seed, 5)),
		spreads:  map[string]Spread{},
	}
}

// Run keeps the lease, or waits for it, until ctx ends.
func (planner *Planner) Run(ctx context.Context) {
	defer planner.giving.Wait()
	for planner.settings.Clock.Sleep(ctx, planner.Step(ctx)) == nil {
		continue
	}
}

// terms returns how the service's lease is held, and false when the service
// has nothing to order.
func (planner *Planner) terms() (Terms, resolver.Service, bool) {
	config := planner.settings.Config()
	service, ok := config.Service(planner.settings.Service)
	terms := Terms{
		Span:         config.Limits.WithDefaults().OrderLease,
		LongestOrder: service.OrderTimeout,
		EnginesCheck: service.ChecksOrders,
	}
	return terms, service, ok && service.ReceivesOrders()
}

// Step looks at the lease once, orders what is due, and returns the time to
// the next look. While the store gives no answer nobody takes a lease, and the
// holder stops when its own runs out: engines stay as they are.
func (planner *Planner) Step(ctx context.Context) timekeeper.Span {
	terms, service, ok := planner.terms()
	if !ok {
		return terms.Span
	}
	lease, err := planner.keep(ctx, terms)
	if err != nil {
		planner.settings.Log.WithError(err).WithField("service", planner.settings.Service).Warn("lease not read or written")
	}
	now := planner.settings.Clock.Now()
	if lease.MayOrder(planner.settings.Holder, now) {
		planner.give(ctx, terms, service)
	}
	return lease.LookIn(planner.settings.Holder, terms, planner.draws.Float64(), now)
}

// keep reads the row and renews or takes the lease when it is time. A write
// without an answer leaves the lease as it was known; the next look reads back.
func (planner *Planner) keep(ctx context.Context, terms Terms) (Lease, error) {
	row, err := planner.settings.Table.Get(ctx, table, planner.settings.Service)
	if err != nil && !eris.Is(err, storekeeper.ErrAbsent) {
		return planner.held(), err
	}
	var lease Lease
	if err == nil {
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			return planner.held(), eris.Wrap(err, "decode lease")
		}
	}
	now := planner.settings.Clock.Now()
	next, step := lease.Next(planner.settings.Holder, terms, now)
	if step == Leave {
		return planner.hold(lease), nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return lease, eris.Wrap(err, "encode lease")
	}
	write := storekeeper.Write{Table: table, Key: planner.settings.Service, Value: value, Expect: row.Version}
	if err := planner.settings.Table.Commit(ctx, []storekeeper.Write{write}); err != nil {
		return planner.hold(lease), err
	}
	if step == Take {
		planner.taken(next, now)
	}
	return planner.hold(next), nil
}

func (planner *Planner) held() Lease {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.lease
}

func (planner *Planner) hold(lease Lease) Lease {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.lease = lease
	return lease
}

func (planner *Planner) taken(lease Lease, now timekeeper.Instant) {
	_, service, _ := planner.terms()
	planner.mu.Lock()
	planner.pace = After(service.LoadsPerMinute, now)
	// What stood before may be minutes old; the engines tell anew.
	planner.spreads = map[string]Spread{}
	planner.mu.Unlock()
	planner.settings.Log.WithFields(logrus.Fields{
		"service": planner.settings.Service, "fence": lease.Fence, "quiet": lease.Quiet.Since(now).String(),
	}).Info("planner")
}

// give starts a round of orders unless one is under way.
func (planner *Planner) give(ctx context.Context, terms Terms, service resolver.Service) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.busy {
		return
	}
	planner.busy = true
	planner.giving.Go(func() {
		planner.round(ctx, terms, service)
		planner.mu.Lock()
		planner.busy = false
		planner.mu.Unlock()
	})
}

// round looks at the engines and gives the orders that are due.
func (planner *Planner) round(ctx context.Context, terms Terms, service resolver.Service) {
	addresses := planner.settings.Engines(planner.settings.Service)
	engines := make([]Engine, 0, len(addresses))
	for _, at := range addresses {
		done, err := planner.send(ctx, terms, at, Order{Engine: at.Engine, Action: Show})
		if err == nil && done.GetKind() == "" {
			engines = append(engines, engineOf(at.Engine, done))
		}
	}
	wanted := Wanted{Targets: planner.targets(service, engines), Role: service.Role, Version: service.Version}
	for _, order := range Plan(engines, wanted) {
		if !planner.due(order, service) {
			continue
		}
		i := slices.IndexFunc(addresses, func(at Address) bool { return at.Engine == order.Engine })
		if _, err := planner.send(ctx, terms, addresses[i], order); err != nil {
			planner.settings.Log.WithError(err).WithField("engine", order.Engine).Warn("order not given")
		}
	}
}

// engineOf returns what an agent's answer says about its engine.
func engineOf(name string, done *encoder.EngineOrderDone) Engine {
	engine := Engine{Name: name, Loaded: done.GetLoaded(), Role: done.GetRole(), Version: done.GetVersion()}
	for _, demand := range done.GetDemands() {
		engine.Demands = append(engine.Demands, Demand{Adapter: demand.GetAdapter(), Calls: int(demand.GetCalls())})
	}
	return engine
}

// targets returns where each adapter of the configuration should be, and
// forgets adapters that are no longer in it.
func (planner *Planner) targets(service resolver.Service, engines []Engine) []Target {
	now := planner.settings.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	spreads := make(map[string]Spread, len(service.Adapters))
	targets := make([]Target, 0, len(service.Adapters))
	for _, adapter := range service.Adapters {
		calls, holders := demandFor(engines, adapter)
		spread, known := planner.spreads[adapter]
		if !known {
			spread = Spread{Engines: holders}
		}
		spread = spread.WithWish(Wished(calls, service.Slots, len(engines)), now)
		spreads[adapter] = spread
		targets = append(targets, Target{Adapter: adapter, Engines: spread.Engines})
	}
	planner.spreads = spreads
	return targets
}

// due reports whether the lease still stands and the rate allows the order.
func (planner *Planner) due(order Order, service resolver.Service) bool {
	now := planner.settings.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if !planner.lease.MayOrder(planner.settings.Holder, now) {
		return false
	}
	if !order.takesWeights() {
		return true
	}
	pace, allowed := planner.pace.Allow(service.LoadsPerMinute, now)
	planner.pace = pace
	return allowed
}

func (planner *Planner) send(ctx context.Context, terms Terms, at Address, order Order) (*encoder.EngineOrderDone, error) {
	lease := planner.held()
	ctx, cancel := context.WithTimeout(ctx, (terms.LongestOrder + Skew).Duration())
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
