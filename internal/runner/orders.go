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
	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/internal/planner"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// orders serialises the orders that change the engine, and rejects stale ones. Lock order:
// sending before mu.
type orders struct {
	sending sync.Mutex

	mu   sync.Mutex
	gate planner.Gate
}

// engineOrder is the body of an order to the engine.
type engineOrder struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// engineState is the engine's answer to an order.
type engineState struct {
	Loaded  []string `json:"loaded"`
	Role    string   `json:"role"`
	Version string   `json:"version"`
}

func (agent *Agent) checkFence(order *encoder.EngineOrder) (classifier.Failure, bool) {
	until := timekeeper.Instant(order.GetLeaseUntil())
	agent.orders.mu.Lock()
	defer agent.orders.mu.Unlock()
	gate, verdict := agent.orders.gate.Check(order.GetFence(), until, agent.settings.Clock.Now())
	agent.orders.gate = gate
	switch verdict {
	case planner.StaleFence:
		return classifier.New(classifier.Fenced, "an order with a higher number came before"), false
	case planner.LeaseExpired:
		return classifier.New(classifier.Fenced, "the lease of the order has run out"), false
	}
	return classifier.Failure{}, true
}

// executeOrder sends an order to the engine.
//
// It guards against a stale order that undoes a newer one: the holder of the lease, or
// this agent, is paused and resumes after another holder has taken over. The fence is
// checked when the order arrives, so that a later holder is known at once, and again
// immediately before the order is sent. An order times out after the service's
// OrderTimeout, and its fencing token is sent along for engines that check it. For engines
// that don't, a new holder waits for OrderTimeout and the clock skew past the old lease
// before its first order.
func (agent *Agent) executeOrder(ctx context.Context, order *encoder.EngineOrder) *encoder.EngineOrderDone {
	done := &encoder.EngineOrderDone{OrderId: order.GetOrderId()}
	state, failure, ok := agent.forwardOrder(ctx, order)
	if !ok {
		done.Kind, done.Detail = failure.Kind.String(), failure.Detail
	}
	done.Loaded, done.Role, done.Version = state.Loaded, state.Role, state.Version
	done.Demands = agent.callsByAdapter(state, ok)
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

func (agent *Agent) forwardOrder(ctx context.Context, order *encoder.EngineOrder) (engineState, classifier.Failure, bool) {
	if order.GetService() != agent.settings.Service {
		return engineState{}, classifier.New(classifier.WrongService, ""), false
	}
	if order.GetAction() == planner.Show {
		return agent.upstream.order(ctx, http.MethodGet, nil)
	}
	if failure, ok := agent.checkFence(order); !ok {
		return engineState{}, failure, false
	}
	body, err := json.Marshal(engineOrder{Fence: order.GetFence(), Action: order.GetAction(), Subject: order.GetSubject()})
	if err != nil {
		return engineState{}, classifier.New(classifier.Internal, err.Error()), false
	}
	agent.orders.sending.Lock()
	defer agent.orders.sending.Unlock()
	ctx, cancel := context.WithTimeout(ctx, agent.currentService().OrderTimeout.Duration())
	defer cancel()
	if failure, ok := agent.checkFence(order); !ok {
		return engineState{}, failure, false
	}
	return agent.upstream.order(ctx, http.MethodPost, body)
}

// maxStateBytes bounds what an engine answers to an order.
const maxStateBytes = 1 << 20

// order sends a request to the engine's endpoint for orders.
func (up *upstream) order(ctx context.Context, method string, body []byte) (engineState, classifier.Failure, bool) {
	var state engineState
	request, err := http.NewRequestWithContext(ctx, method, up.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return state, classifier.New(classifier.Internal, err.Error()), false
	}
	request.GetBody = nil
	response, err := up.singleUse.RoundTrip(request)
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
	if err := limiter.Decode(response.Body, maxStateBytes, &state); err != nil {
		return state, classifier.New(classifier.UpstreamBroken, err.Error()), false
	}
	return state, classifier.Failure{}, true
}
