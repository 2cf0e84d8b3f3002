package runner

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/planner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// unfencedEngine is an engine that executes every order, whatever its fencing token. It
// reports each order that starts, and ends it on a send to finish.
type unfencedEngine struct {
	started chan engineOrder
	finish  chan struct{}

	mu       sync.Mutex
	executed []engineOrder
}

func newUnfencedEngine(t *testing.T, harness *harness) *unfencedEngine {
	t.Helper()
	engine := &unfencedEngine{started: make(chan engineOrder, 8), finish: make(chan struct{}, 8)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order engineOrder
		_ = json.NewDecoder(r.Body).Decode(&order)
		if r.Method == http.MethodPost {
			engine.started <- order
			<-engine.finish
			engine.mu.Lock()
			engine.executed = append(engine.executed, order)
			engine.mu.Unlock()
		}
		_ = json.NewEncoder(w).Encode(engineState{Loaded: []string{"vans"}})
	}))
	t.Cleanup(server.Close)
	harness.agent.upstream.base = server.URL
	return engine
}

func (engine *unfencedEngine) fences() []uint64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	fences := make([]uint64, 0, len(engine.executed))
	for _, order := range engine.executed {
		fences = append(fences, order.Fence)
	}
	return fences
}

func TestAgentRejectsStaleOrdersForEngineWithoutFencing(t *testing.T) {
	// Guards against stale orders at an engine that doesn't check fencing tokens. The
	// agent must reject an order with a lower token, one whose lease has expired, and one
	// whose lease expired, or that a later holder overtook, while it waited for the order
	// in progress.
	harness := newHarness(t)
	engine := newUnfencedEngine(t, harness)
	now := func() timekeeper.Instant { return harness.agent.settings.Clock.Now() }
	order := func(fence uint64, left timekeeper.Span) *encoder.EngineOrder {
		return &encoder.EngineOrder{
			Service: "orders", Fence: fence, LeaseUntil: int64(now().Add(left)), Action: planner.Load, Subject: "vans",
		}
	}
	execute := func(order *encoder.EngineOrder) <-chan *encoder.EngineOrderDone {
		done := make(chan *encoder.EngineOrderDone, 1)
		go func() { done <- harness.agent.executeOrder(t.Context(), order) }()
		return done
	}
	Convey("an order within its lease reaches the engine, with its fencing token", t, func() {
		engine.finish <- struct{}{}
		So((<-execute(order(5, timekeeper.Minute))).GetKind(), ShouldBeEmpty)
		So((<-engine.started).Fence, ShouldEqual, 5)
	})
	Convey("an order with a lower token or an expired lease never reaches the engine", t, func() {
		So((<-execute(order(4, timekeeper.Minute))).GetKind(), ShouldEqual, "fenced")
		So((<-execute(order(6, 0))).GetKind(), ShouldEqual, "fenced")
		So((<-execute(order(5, timekeeper.Minute))).GetKind(), ShouldEqual, "fenced")
		So(engine.fences(), ShouldResemble, []uint64{5})
	})
	// queued sends an order and returns once it has passed the check at its arrival.
	queued := func(fence uint64, left timekeeper.Span) <-chan *encoder.EngineOrderDone {
		done := execute(order(fence, left))
		waitFor(t, harness, func() bool {
			harness.agent.orders.mu.Lock()
			defer harness.agent.orders.mu.Unlock()
			return harness.agent.orders.gate.Highest == fence
		})
		return done
	}
	Convey("a lease that expires while its order waits", t, func() {
		first := queued(7, timekeeper.Hour)
		<-engine.started
		expired := queued(8, timekeeper.Minute)
		harness.clockOffset.Add(int64(2 * timekeeper.Minute))
		engine.finish <- struct{}{}
		So((<-first).GetKind(), ShouldBeEmpty)
		So((<-expired).GetKind(), ShouldEqual, "fenced")
	})
	Convey("an order that a later holder overtakes while it waits", t, func() {
		first := queued(9, timekeeper.Hour)
		<-engine.started
		overtaken := queued(10, timekeeper.Hour)
		later := queued(11, timekeeper.Hour)
		engine.finish <- struct{}{}
		engine.finish <- struct{}{}
		So((<-first).GetKind(), ShouldBeEmpty)
		So((<-later).GetKind(), ShouldBeEmpty)
		So((<-overtaken).GetKind(), ShouldEqual, "fenced")
		So(engine.fences(), ShouldResemble, []uint64{5, 7, 9, 11})
	})
}

func waitFor(t *testing.T, harness *harness, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		_ = harness.agent.settings.Clock.Sleep(t.Context(), timekeeper.Millisecond)
	}
	t.Fatal("the condition did not hold within 5000 checks")
}

func TestDemandIsCountedByAdapter(t *testing.T) {
	harness := newHarness(t)
	newUnfencedEngine(t, harness)
	harness.agent.service.Adapters = []string{"vans", "menus"}
	show := func() *encoder.EngineOrderDone {
		return harness.agent.executeOrder(t.Context(), &encoder.EngineOrder{Service: "orders", Action: planner.Show})
	}
	offer := func(id, adapter string) {
		harness.agent.decide(&encoder.Offer{RequestId: id, Service: "orders", Adapter: adapter}, 1)
	}
	Convey("running and waiting calls count, unknown adapters and refused calls don't", t, func() {
		for i, adapter := range []string{"vans", "vans", "", "strangers"} {
			offer(string(rune('a'+i)), adapter)
		}
		So(show().GetDemands()[0].GetCalls(), ShouldEqual, 2)
		So(harness.agent.adapters.calls, ShouldHaveLength, 2)
		So(harness.agent.Digest().GetLoaded(), ShouldResemble, []string{"vans"})
		Convey("a call for an adapter that the engine has not loaded is refused, and nothing ran", func() {
			decision, _ := harness.agent.decide(&encoder.Offer{RequestId: "x", Service: "orders", Adapter: "menus"}, 1)
			So(decision.Failure.Kind.String(), ShouldEqual, "not-ready")
			So(show().GetDemands()[1].GetCalls(), ShouldEqual, 0)
		})
		Convey("a released call is no longer counted", func() {
			harness.agent.release("a")
			harness.agent.release("b")
			So(harness.agent.adapters.calls, ShouldBeEmpty)
		})
	})
}
