package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/planner"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// orders let one order at a time through to the engine.
// Lock order: turn before mu.
type orders struct {
	turn sync.Mutex

	mu   sync.Mutex
	gate planner.Gate
}

// engineOrder is an order as the engine takes it.
type engineOrder struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// engineState is what the engine answers.
type engineState struct {
	Loaded  []string `json:"loaded"`
	Role    string   `json:"role"`
	Version string   `json:"version"`
}

func (agent *Agent) check(order *encoder.EngineOrder) (classifier.Failure, bool) {
	until := timekeeper.Instant(order.GetLeaseUntil())
	agent.orders.mu.Lock()
	defer agent.orders.mu.Unlock()
	gate, verdict := agent.orders.gate.Check(order.GetFence(), until, agent.settings.Clock.Now())
	agent.orders.gate = gate
	switch verdict {
	case planner.Lower:
		return classifier.New(classifier.Fenced, "an order with a higher number came before"), false
	case planner.Lapsed:
		return classifier.New(classifier.Fenced, "the lease of the order has run out"), false
	}
	return classifier.Failure{}, true
}

// carryOut takes an order to the engine.
//
// The failure: the holder of the lease, or this agent, is paused, and wakes
// after another has taken over. The symptom: an old order undoes a new one.
// The order is checked when it comes, so that a later holder is known at once,
// and again when its turn has come, with nothing but the sending after it. An
// order is cut off after the longest order, and its number goes along for
// engines that check it; for those that don't a new holder waits for that long
// past the lease before its first order.
func (agent *Agent) carryOut(ctx context.Context, order *encoder.EngineOrder) *encoder.EngineOrderDone {
	done := &encoder.EngineOrderDone{OrderId: order.GetOrderId()}
	state, failure, ok := agent.pass(ctx, order)
	if !ok {
		done.Kind, done.Detail = failure.Kind.String(), failure.Detail
	}
	done.Loaded, done.Role, done.Version = state.Loaded, state.Role, state.Version
	done.Demands = agent.demands(state, ok)
	agent.orders.mu.Lock()
	done.HighestFence = agent.orders.gate.Highest
	agent.orders.mu.Unlock()
	if order.GetAction() == planner.Show {
		return done
	}
	agent.settings.Log.WithFields(logrus.Fields{
		"action": order.GetAction(), "subject": order.GetSubject(), "fence": order.GetFence(), "refused": done.GetKind(),
	}).Info("order")
	agent.settings.Record(recorder.Event{
		At: agent.settings.Clock.Now(), Kind: recorder.Ordered, Service: agent.settings.Service,
		Instance: agent.settings.Name, Incarnation: agent.settings.Incarnation, Reason: done.GetKind(),
		Detail: order.GetAction() + " " + order.GetSubject(), Count: int64(order.GetFence()),
	})
	return done
}

func (agent *Agent) pass(ctx context.Context, order *encoder.EngineOrder) (engineState, classifier.Failure, bool) {
	if order.GetService() != agent.settings.Service {
		return engineState{}, classifier.New(classifier.WrongService, ""), false
	}
	if order.GetAction() == planner.Show {
		return agent.upstream.order(ctx, http.MethodGet, nil)
	}
	if failure, ok := agent.check(order); !ok {
		return engineState{}, failure, false
	}
	body, err := json.Marshal(engineOrder{Fence: order.GetFence(), Action: order.GetAction(), Subject: order.GetSubject()})
	if err != nil {
		return engineState{}, classifier.New(classifier.Internal, err.Error()), false
	}
	agent.orders.turn.Lock()
	defer agent.orders.turn.Unlock()
	ctx, cancel := context.WithTimeout(ctx, agent.serviceNow().OrderTimeout.Duration())
	defer cancel()
	if failure, ok := agent.check(order); !ok {
		return engineState{}, failure, false
	}
	return agent.upstream.order(ctx, http.MethodPost, body)
}

// order speaks to the engine's address for orders.
func (up *upstream) order(ctx context.Context, method string, body []byte) (engineState, classifier.Failure, bool) {
	var state engineState
	request, err := http.NewRequestWithContext(ctx, method, up.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return state, classifier.New(classifier.Internal, err.Error()), false
	}
	request.GetBody = nil
	response, err := up.fresh.RoundTrip(request)
	if err != nil {
		return state, classifier.New(classifier.UpstreamBroken, err.Error()), false
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return state, classifier.New(classifier.Fenced, "the engine knows a higher number"), false
	default:
		return state, classifier.New(classifier.UpstreamBroken, response.Status), false
	}
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return state, classifier.New(classifier.UpstreamBroken, err.Error()), false
	}
	return state, classifier.Failure{}, true
}
