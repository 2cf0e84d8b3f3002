package planner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
	// ChangeRole makes an engine do another part of the work.
	ChangeRole = "change-role"
	// ChangeVersion makes an engine run other weights.
	ChangeVersion = "version"
	// Show changes nothing and returns what the engine holds.
	Show = "show"
)

const (
	// riseAfter is how long a demand must stay high before another engine gets
	// the adapter, and fallAfter how long it must stay low before one loses it.
	// A load takes weights from a store that gives a few a minute; a surge of
	// one team that lasts seconds must not push out what others need.
	riseAfter = 30 * timekeeper.Second
	fallAfter = 10 * timekeeper.Minute
)

// Order is one order to one engine.
type Order struct {
	Engine  string
	Action  string
	Subject string
}

// takesWeights reports whether an order takes weights from the weight store,
// and so is held to its rate.
func (order Order) takesWeights() bool {
	return order.Action == Load || order.Action == ChangeVersion
}

// Engine is what an engine was last known to hold, and what is asked of it.
type Engine struct {
	Name    string
	Loaded  []string
	Role    string
	Version string
	Demands []Demand
}

// DesiredState is what the engines of a service should be. An empty role or version
// leaves that of the engines as it is.
type DesiredState struct {
	Targets []Target
	Role    string
	Version string
}

// Spread decides on how many engines an adapter should be. It is an immutable
// value: one for each adapter.
type Spread struct {
	Engines int
	high    timekeeper.Instant
	low     timekeeper.Instant
}

// WithDesired takes in on how many engines the adapter's demand would like to be
// now, and returns the spread after hysteresis. A wish counts once it has stood
// on one side for its whole time; a wish in between starts the time anew.
func (spread Spread) WithDesired(wish int, now timekeeper.Instant) Spread {
	wish = max(1, wish)
	switch {
	case spread.Engines == 0:
		spread.Engines = wish
	case wish > spread.Engines:
		spread.low = 0
		spread.high, spread.Engines = hold(spread.high, now, riseAfter, spread.Engines, spread.Engines+1)
	case wish < spread.Engines:
		spread.high = 0
		spread.low, spread.Engines = hold(spread.low, now, fallAfter, spread.Engines, spread.Engines-1)
	default:
		spread.high, spread.low = 0, 0
	}
	return spread
}

// hold returns since when a wish stands, and the count that follows from it.
func hold(since, now timekeeper.Instant, after timekeeper.Span, stay, move int) (timekeeper.Instant, int) {
	switch {
	case since == 0:
		return now, stay
	case now.Since(since) < after:
		return since, stay
	}
	return now, move
}

// Target says on how many engines an adapter should be.
type Target struct {
	Adapter string
	Engines int
}

// Plan returns the orders that bring the engines to what is wanted: versions,
// of one engine at most, since the others must carry its calls while it takes
// new weights; roles; then loads,
// on the engines that hold the least; then unloads, from the engines that hold
// the most, and of every adapter that is no target. A load is never planned
// for an adapter that is to be unloaded in the same plan, so a plan that is
// carried out leaves nothing to do.
func Plan(engines []Engine, want DesiredState) []Order {
	orders := orderStates(engines, want)
	wanted := map[string]bool{}
	for _, target := range want.Targets {
		wanted[target.Adapter] = true
		orders = append(orders, orderTarget(engines, target)...)
	}
	for _, engine := range engines {
		for _, loaded := range engine.Loaded {
			if !wanted[loaded] {
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

// orderStates returns the orders about roles and versions.
func orderStates(engines []Engine, want DesiredState) []Order {
	var orders []Order
	changing := false
	for _, engine := range engines {
		if want.Version != "" && engine.Version != want.Version && !changing {
			changing = true
			orders = append(orders, Order{Engine: engine.Name, Action: ChangeVersion, Subject: want.Version})
		}
		if want.Role != "" && engine.Role != want.Role {
			orders = append(orders, Order{Engine: engine.Name, Action: ChangeRole, Subject: want.Role})
		}
	}
	return orders
}

func orderTarget(engines []Engine, target Target) []Order {
	var holders, others []Engine
	for _, engine := range engines {
		if slices.Contains(engine.Loaded, target.Adapter) {
			holders = append(holders, engine)
		} else {
			others = append(others, engine)
		}
	}
	byLoad := func(a, b Engine) int { return len(a.Loaded) - len(b.Loaded) }
	slices.SortStableFunc(others, byLoad)
	slices.SortStableFunc(holders, byLoad)
	count := min(target.Engines, len(engines))
	orders := make([]Order, 0, len(engines))
	for i := range max(0, count-len(holders)) {
		orders = append(orders, Order{Engine: others[i].Name, Action: Load, Subject: target.Adapter})
	}
	for i := range max(0, len(holders)-count) {
		orders = append(orders, Order{Engine: holders[len(holders)-1-i].Name, Action: Unload, Subject: target.Adapter})
	}
	return orders
}

// RateLimiter keeps loads under the weight store's rate. It is an immutable value.
type RateLimiter struct {
	next timekeeper.Instant
}

// Allow reports whether a load may start now. Loads are spaced evenly, with no
// burst: the weight store serves every engine of the fleet, and what one
// service takes at once another waits for.
func (pace RateLimiter) Allow(perMinute int, now timekeeper.Instant) (RateLimiter, bool) {
	if now < pace.next {
		return pace, false
	}
	pace.next = now.Add(timekeeper.Minute / timekeeper.Span(max(1, perMinute)))
	return pace, true
}

// NewRateLimiter returns the pace of a planner that takes over: the holder before may
// have started a load just now.
func NewRateLimiter(perMinute int, now timekeeper.Instant) RateLimiter {
	pace, _ := RateLimiter{}.Allow(perMinute, now)
	return pace
}
