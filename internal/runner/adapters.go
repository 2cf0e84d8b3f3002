package runner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// adapters are what is asked of the engine by adapter, and what it holds. It is
// guarded by Agent.mu. Only calls that the controller has taken are in it, so the
// slots and the queue bound it, whatever callers name.
type adapters struct {
	// calls are the adapters of the calls that run or wait, by request.
	calls map[string]string
	// loaded is what the engine last said that it holds; known is set once it has.
	loaded []string
	known  bool
}

// lacks reports whether the engine is known not to hold the adapter.
func (adapters *adapters) lacks(adapter string) bool {
	return adapter != "" && adapters.known && !slices.Contains(adapters.loaded, adapter)
}

// adapterAway refuses a call whose adapter was unloaded while the entry still
// took this engine for one that holds it. Nothing ran, so others are tried.
func adapterAway() classifier.Failure {
	return classifier.New(classifier.NotReady, "the upstream does not hold the adapter").WithRetryAfter(timekeeper.Second)
}

// noteAdapter takes in a call that the controller has taken; Agent.mu must be held.
func (agent *Agent) noteAdapter(offer *encoder.Offer, decision admitter.Decision) {
	if decision.Outcome == admitter.Refused || !slices.Contains(agent.service.Adapters, offer.GetAdapter()) {
		return
	}
	if agent.adapters.calls == nil {
		agent.adapters.calls = map[string]string{}
	}
	agent.adapters.calls[offer.GetRequestId()] = offer.GetAdapter()
}

// demands returns the calls for each adapter of the configuration, and notes
// what the engine holds when it has said so.
func (agent *Agent) demands(state engineState, said bool) []*encoder.Demand {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if said {
		agent.adapters.loaded, agent.adapters.known = slices.Sorted(slices.Values(state.Loaded)), true
	}
	demands := make([]*encoder.Demand, 0, len(agent.service.Adapters))
	for _, adapter := range agent.service.Adapters {
		demand := &encoder.Demand{Adapter: adapter}
		for _, called := range agent.adapters.calls {
			if called == adapter {
				demand.Calls++
			}
		}
		demands = append(demands, demand)
	}
	return demands
}
