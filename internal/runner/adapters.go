package runner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// adapters records the adapter of each accepted call and the adapters that the engine has
// loaded. Agent.mu guards it. It holds only calls that the controller has accepted, so
// slots plus queue length bound its size whatever adapter names callers send.
type adapters struct {
	// calls maps the ids of running and waiting requests to their adapters.
	calls map[string]string
	// loaded is what the engine last reported; reported is true once there is a report.
	loaded   []string
	reported bool
}

// isMissing reports whether the engine has reported and doesn't have the adapter loaded.
func (adapters *adapters) isMissing(adapter string) bool {
	return adapter != "" && adapters.reported && !slices.Contains(adapters.loaded, adapter)
}

// adapterUnloaded refuses a call whose adapter the engine doesn't have loaded: the entry's
// last digest of it was older, or the entry knew of no engine that has the adapter. Nothing
// ran, so the entry tries other replicas.
func adapterUnloaded() classifier.Failure {
	return classifier.New(classifier.NotReady, "the upstream does not hold the adapter").WithRetryAfter(timekeeper.Second)
}

// trackAdapter records the adapter of a call that the controller has accepted, if it is one
// of the configured adapters; Agent.mu must be held.
func (agent *Agent) trackAdapter(offer *encoder.Offer, decision admitter.Decision) {
	if decision.Outcome == admitter.Refused || !slices.Contains(agent.service.Adapters, offer.GetAdapter()) {
		return
	}
	if agent.adapters.calls == nil {
		agent.adapters.calls = map[string]string{}
	}
	agent.adapters.calls[offer.GetRequestId()] = offer.GetAdapter()
}

// callsByAdapter returns the number of calls for each configured adapter. When ok is set,
// it also stores the adapters that the engine reported as loaded.
func (agent *Agent) callsByAdapter(state engineState, ok bool) []*encoder.Demand {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if ok {
		agent.adapters.loaded, agent.adapters.reported = slices.Sorted(slices.Values(state.Loaded)), true
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
