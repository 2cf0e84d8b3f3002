package planner

import "slices"

// Demand is the number of calls for an adapter that run or wait at an engine.
type Demand struct {
	Adapter string
	Calls   int
}

const (
	// minEngines is the minimum number of engines per adapter, so that after the crash of
	// one engine, its callers need not wait for a load.
	minEngines = 2
	// targetSlotPercent is the share of an engine's slots that one adapter should use. It
	// is below 100 so that engines whose slots are all taken, but where no call waits yet,
	// still ask for one more.
	targetSlotPercent = 70
)

// DesiredEngines returns how many of a service's engines should load an adapter for the
// calls that run or wait.
//
// A team's chats come back all day and surge for seconds. The number goes by running and
// waiting calls rather than calls a second, because a few long answers fill an engine as
// well as many short ones. Spread.WithDesired ignores short surges.
func DesiredEngines(calls, slots, engines int) int {
	const percent = 100
	capacity := max(1, slots) * targetSlotPercent
	desired := (max(0, calls)*percent + capacity - 1) / capacity
	return min(max(desired, minEngines), max(1, engines))
}

// demandFor returns the calls for an adapter at all engines, and how many engines have it
// loaded.
func demandFor(engines []Engine, adapter string) (calls, loaded int) {
	for _, engine := range engines {
		if slices.Contains(engine.Loaded, adapter) {
			loaded++
		}
		for _, demand := range engine.Demands {
			if demand.Adapter == adapter {
				calls += demand.Calls
			}
		}
	}
	return calls, loaded
}
