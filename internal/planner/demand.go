package planner

import "slices"

// Demand is how many calls for an adapter run or wait at an engine.
type Demand struct {
	Adapter string
	Calls   int
}

const (
	// fewest is on how many engines an adapter is at least, so that the crash of
	// one engine doesn't leave its callers waiting for a load.
	fewest = 2
	// fullPercent is how many of its slots an engine should use for one
	// adapter. Below all of them, so that engines whose slots are all taken,
	// where calls show no higher demand, still ask for one more.
	fullPercent = 70
)

// DesiredEngines returns on how many of a service's engines an adapter should be for
// the calls that run or wait.
//
// The load: a team's chats come back all day and surge for seconds. Calls that
// run or wait are counted and not calls a second, for long answers fill an
// engine as many short ones do. Spread.WithWish decides whether a wish lasts.
func DesiredEngines(calls, slots, engines int) int {
	const percent = 100
	full := max(1, slots) * fullPercent
	wish := (max(0, calls)*percent + full - 1) / full
	return min(max(wish, fewest), max(1, engines))
}

// demandFor returns the calls for an adapter at all engines, and how many hold it.
func demandFor(engines []Engine, adapter string) (calls, holders int) {
	for _, engine := range engines {
		if slices.Contains(engine.Loaded, adapter) {
			holders++
		}
		for _, demand := range engine.Demands {
			if demand.Adapter == adapter {
				calls += demand.Calls
			}
		}
	}
	return calls, holders
}
