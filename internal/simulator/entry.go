package simulator

import "github.com/trefoilseam/trefoilseam/internal/balancer"

// entry is one entry in virtual time.
type entry struct {
	fleet   *balancer.Fleet
	running []int
	waiting map[*balancer.Waiter]*request
	placed  []placedPrompt
}

type placedPrompt struct {
	engine int
	parts  []balancer.Part
}

// thousand tokens are what ReadPrice is for.
const thousand = 1000

// newEntry returns an entry that knows the engines and nothing else.
func (run *run) newEntry(number uint64) *entry {
	site := run.settings.Site
	settings := balancer.Settings{
		Seed: run.settings.Seed + number, LoadFactor: site.LoadFactor, PrefillRate: run.settings.PrefillRate,
		KnownParts: run.settings.KnownParts,
	}
	if site.PrefillPrice > 0 {
		settings.MovePrice = thousand * site.MovePrice / site.PrefillPrice
	}
	fleet := balancer.New(settings)
	fleet.SetEngine("planner", balancer.Engine{
		Memory: site.Engine.Memory, TokenBytes: site.Engine.TokenBytes, LinkRate: site.Engine.LinkRate,
	})
	fleet.SetReplicas(run.replicas, 1)
	return &entry{fleet: fleet, running: make([]int, site.Engines), waiting: map[*balancer.Waiter]*request{}}
}

// restart replaces the entry whose turn it is. What it has under way goes on; who
// waits there leaves.
func (run *run) restart(now float64) {
	run.restarts++
	run.entries[run.restarts%len(run.entries)] = run.newEntry(uint64(len(run.entries) + run.restarts))
	if now < run.last() {
		run.at(now+float64(run.settings.RestartInterval), run.restart)
	}
}
