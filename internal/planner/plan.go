package planner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
	// ChangeRole makes an engine take another role.
	ChangeRole = "change-role"
	// ChangeVersion makes an engine run another version of the weights.
	ChangeVersion = "version"
	// Show changes nothing and returns the engine's state.
	Show = "show"
)

const (
	// scaleUpAfter is how long a demand must stay high before another engine loads the
	// adapter, and scaleDownAfter how long it must stay low before one unloads it. A load
	// reads weights from a store that allows a few loads a minute; a surge of one team
	// that lasts seconds must not evict adapters that other teams need.
	scaleUpAfter   = 30 * timekeeper.Second
	scaleDownAfter = 10 * timekeeper.Minute
)

// Order is an order to one engine.
type Order struct {
	Engine  string
	Action  string
	Subject string
}

// loadsWeights reports whether an order loads from the weight store, and so counts against
// its rate.
func (order Order) loadsWeights() bool {
	return order.Action == Load || order.Action == ChangeVersion
}

// Engine is the last known state of an engine and the demand at it.
type Engine struct {
	Name    string
	Loaded  []string
	Role    string
	Version string
	Demands []Demand
}

// DesiredState is the desired state of a service's engines. An empty role or version
// leaves the engines' own.
type DesiredState struct {
	Targets []Target
	Role    string
	Version string
}

// Spread tracks how many engines should load an adapter, and applies hysteresis to the
// demand. It is an immutable value: one for each adapter.
type Spread struct {
	Engines    int
	aboveSince timekeeper.Instant
	belowSince timekeeper.Instant
}

// WithDesired returns the spread updated with the number of engines that the demand now
// asks for. The first number is taken as it is. After that, Engines changes by one each
// time the desired number has stayed above Engines, or below it, for the whole delay; a
// desired number that is equal or on the other side restarts the delay.
func (spread Spread) WithDesired(desired int, now timekeeper.Instant) Spread {
	desired = max(1, desired)
	switch {
	case spread.Engines == 0:
		spread.Engines = desired
	case desired > spread.Engines:
		spread.belowSince = 0
		spread.aboveSince, spread.Engines = stepAfter(spread.aboveSince, now, scaleUpAfter, spread.Engines, spread.Engines+1)
	case desired < spread.Engines:
		spread.aboveSince = 0
		spread.belowSince, spread.Engines = stepAfter(spread.belowSince, now, scaleDownAfter, spread.Engines, spread.Engines-1)
	default:
		spread.aboveSince, spread.belowSince = 0, 0
	}
	return spread
}

// stepAfter returns moved and restarts the delay once the desired number has stayed above
// current, or below it, for the delay after. Before that, it returns current. since is when
// the delay started; zero means that it starts now.
func stepAfter(since, now timekeeper.Instant, after timekeeper.Span, current, moved int) (timekeeper.Instant, int) {
	switch {
	case since == 0:
		return now, current
	case now.Since(since) < after:
		return since, current
	}
	return now, moved
}

// Target is the number of engines that should load an adapter.
type Target struct {
	Adapter string
	Engines int
}

// Plan returns the orders that bring the engines to the desired state. First come
// versions, of one engine at most, since the others must serve its calls while it loads
// new weights; then roles; then loads, on the engines with the fewest adapters; then
// unloads, from the engines with the most, and of every adapter without a target. A plan
// never loads an adapter that it also unloads elsewhere, so executing the loads and unloads
// of a plan leaves none to do.
func Plan(engines []Engine, desired DesiredState) []Order {
	orders := planStates(engines, desired)
	hasTarget := map[string]bool{}
	for _, target := range desired.Targets {
		hasTarget[target.Adapter] = true
		orders = append(orders, planTarget(engines, target)...)
	}
	for _, engine := range engines {
		for _, loaded := range engine.Loaded {
			if !hasTarget[loaded] {
				orders = append(orders, Order{Engine: engine.Name, Action: Unload, Subject: loaded})
			}
		}
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return rank(a) - rank(b) })
	return orders
}

func rank(order Order) int {
	switch order.Action {
	case ChangeVersion:
		return 0
	case ChangeRole:
		return 1
	case Load:
		return 2
	}
	return 3
}

// planStates returns the orders about roles and versions.
func planStates(engines []Engine, desired DesiredState) []Order {
	var orders []Order
	changing := false
	for _, engine := range engines {
		if desired.Version != "" && engine.Version != desired.Version && !changing {
			changing = true
			orders = append(orders, Order{Engine: engine.Name, Action: ChangeVersion, Subject: desired.Version})
		}
		if desired.Role != "" && engine.Role != desired.Role {
			orders = append(orders, Order{Engine: engine.Name, Action: ChangeRole, Subject: desired.Role})
		}
	}
	return orders
}

func planTarget(engines []Engine, target Target) []Order {
	var withAdapter, without []Engine
	for _, engine := range engines {
		if slices.Contains(engine.Loaded, target.Adapter) {
			withAdapter = append(withAdapter, engine)
		} else {
			without = append(without, engine)
		}
	}
	byAdapterCount := func(a, b Engine) int { return len(a.Loaded) - len(b.Loaded) }
	slices.SortStableFunc(without, byAdapterCount)
	slices.SortStableFunc(withAdapter, byAdapterCount)
	count := min(target.Engines, len(engines))
	orders := make([]Order, 0, len(engines))
	for i := range max(0, count-len(withAdapter)) {
		orders = append(orders, Order{Engine: without[i].Name, Action: Load, Subject: target.Adapter})
	}
	for i := range max(0, len(withAdapter)-count) {
		orders = append(orders, Order{Engine: withAdapter[len(withAdapter)-1-i].Name, Action: Unload, Subject: target.Adapter})
	}
	return orders
}

// RateLimiter keeps loads within the weight store's rate. It is an immutable value.
type RateLimiter struct {
	next timekeeper.Instant
}

// Allow reports whether a load may start now. Loads are evenly spaced, with no burst: the
// weight store serves every engine of the fleet, so a burst of one service delays the
// others.
func (limiter RateLimiter) Allow(perMinute int, now timekeeper.Instant) (RateLimiter, bool) {
	if now < limiter.next {
		return limiter, false
	}
	limiter.next = now.Add(timekeeper.Minute / timekeeper.Span(max(1, perMinute)))
	return limiter, true
}

// NewRateLimiter returns the limiter of a planner that has just acquired the lease. Its
// first interval starts now, because the previous holder may have just started a load.
func NewRateLimiter(perMinute int, now timekeeper.Instant) RateLimiter {
	limiter, _ := RateLimiter{}.Allow(perMinute, now)
	return limiter
}
