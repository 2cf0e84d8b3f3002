package simulator

import (
	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
)

// entry is one simulated entry.
type entry struct {
	fleet       *balancer.Fleet
	outstanding []int
	waiting     map[*balancer.Waiter]*request
	// unreported has the prompts that were placed since the last digest.
	unreported []placedPrompt
}

type placedPrompt struct {
	engine int
	parts  []balancer.Part
}

// tokensPerPrefillPrice is the number of tokens that PrefillPrice refers to.
const tokensPerPrefillPrice = 1000

// newEntry returns an entry that knows the engines but not what they have cached.
func (run *run) newEntry(number uint64) *entry {
	site := run.settings.Site
	settings := balancer.Settings{
		Seed: run.settings.Seed + number, LoadFactor: site.LoadFactor, PrefillRate: run.settings.PrefillRate,
		KnownParts: run.settings.KnownParts,
	}
	if site.PrefillPrice > 0 {
		settings.TransferPrice = tokensPerPrefillPrice * site.MovePrice / site.PrefillPrice
	}
	fleet := balancer.New(settings)
	fleet.SetEngine("planner", balancer.Engine{
		Memory: site.Engine.Memory, TokenBytes: site.Engine.TokenBytes, LinkRate: site.Engine.LinkRate,
	})
	fleet.SetReplicas(run.replicas, sequencer.Version{Number: 1})
	return &entry{fleet: fleet, outstanding: make([]int, site.Engines), waiting: map[*balancer.Waiter]*request{}}
}

// replaceEntry replaces the next entry in rotation with a new one. Requests in flight
// at engines continue. Callers that wait at the old entry are sent or refused only when one
// of these requests ends; the others are lost and count only as arrived.
func (run *run) replaceEntry(now float64) {
	run.replaced++
	run.entries[run.replaced%len(run.entries)] = run.newEntry(uint64(len(run.entries) + run.replaced))
	if now < run.lastTick() {
		run.at(now+float64(run.settings.ReplaceInterval), run.replaceEntry)
	}
}
