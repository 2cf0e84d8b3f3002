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

// heedless is an engine that carries out every order, whatever its number. It
// tells of each that begins, and ends it once let.
type heedless struct {
	begun chan engineOrder
	let   chan struct{}

	mu      sync.Mutex
	carried []engineOrder
}

func newHeedless(t *testing.T, bench *bench) *heedless {
	t.Helper()
	engine := &heedless{begun: make(chan engineOrder, 8), let: make(chan struct{}, 8)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order engineOrder
		_ = json.NewDecoder(r.Body).Decode(&order)
		if r.Method == http.MethodPost {
			engine.begun <- order
			<-engine.let
			engine.mu.Lock()
			engine.carried = append(engine.carried, order)
			engine.mu.Unlock()
		}
		_ = json.NewEncoder(w).Encode(engineState{Loaded: []string{"vans"}})
	}))
	t.Cleanup(server.Close)
	bench.agent.upstream.base = server.URL
	return engine
}

func (engine *heedless) fences() []uint64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	fences := make([]uint64, 0, len(engine.carried))
	for _, order := range engine.carried {
		fences = append(fences, order.Fence)
	}
	return fences
}

func TestTheAgentGuardsAnEngineThatIgnoresNumbers(t *testing.T) {
	// The engine does whatever it is told, so the agent alone keeps old orders
	// away: one with a lower number, one whose lease has run out, and one whose
	// lease ran out, or that a later holder overtook, while it waited its turn.
	bench := newBench(t)
	engine := newHeedless(t, bench)
	now := func() timekeeper.Instant { return bench.agent.settings.Clock.Now() }
	order := func(fence uint64, left timekeeper.Span) *encoder.EngineOrder {
		return &encoder.EngineOrder{
			Service: "orders", Fence: fence, LeaseUntil: int64(now().Add(left)), Action: planner.Load, Subject: "vans",
		}
	}
	give := func(order *encoder.EngineOrder) <-chan *encoder.EngineOrderDone {
		done := make(chan *encoder.EngineOrderDone, 1)
		go func() { done <- bench.agent.carryOut(t.Context(), order) }()
		return done
	}
	Convey("an order in time goes through, with its number", t, func() {
		engine.let <- struct{}{}
		So((<-give(order(5, timekeeper.Minute))).GetKind(), ShouldBeEmpty)
		So((<-engine.begun).Fence, ShouldEqual, 5)
	})
	Convey("a lower number and a lease that has run out never reach the engine", t, func() {
		So((<-give(order(4, timekeeper.Minute))).GetKind(), ShouldEqual, "fenced")
		So((<-give(order(6, 0))).GetKind(), ShouldEqual, "fenced")
		So((<-give(order(5, timekeeper.Minute))).GetKind(), ShouldEqual, "fenced")
		So(engine.fences(), ShouldResemble, []uint64{5})
	})
	// waiting gives an order and returns once it has passed the look at its arrival.
	waiting := func(fence uint64, left timekeeper.Span) <-chan *encoder.EngineOrderDone {
		done := give(order(fence, left))
		waitFor(t, bench, func() bool {
			bench.agent.orders.mu.Lock()
			defer bench.agent.orders.mu.Unlock()
			return bench.agent.orders.gate.Highest == fence
		})
		return done
	}
	Convey("a lease that runs out while its order waits", t, func() {
		first := waiting(7, timekeeper.Hour)
		<-engine.begun
		lapses := waiting(8, timekeeper.Minute)
		bench.ahead.Add(int64(2 * timekeeper.Minute))
		engine.let <- struct{}{}
		So((<-first).GetKind(), ShouldBeEmpty)
		So((<-lapses).GetKind(), ShouldEqual, "fenced")
	})
	Convey("an order that a later holder overtakes while it waits", t, func() {
		first := waiting(9, timekeeper.Hour)
		<-engine.begun
		overtaken := waiting(10, timekeeper.Hour)
		later := waiting(11, timekeeper.Hour)
		engine.let <- struct{}{}
		engine.let <- struct{}{}
		So((<-first).GetKind(), ShouldBeEmpty)
		So((<-later).GetKind(), ShouldBeEmpty)
		So((<-overtaken).GetKind(), ShouldEqual, "fenced")
		So(engine.fences(), ShouldResemble, []uint64{5, 7, 9, 11})
	})
}

func waitFor(t *testing.T, bench *bench, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		_ = bench.agent.settings.Clock.Sleep(t.Context(), timekeeper.Millisecond)
	}
	t.Fatal("never came true")
}

func TestDemandIsCountedByAdapter(t *testing.T) {
	bench := newBench(t)
	newHeedless(t, bench)
	bench.agent.service.Adapters = []string{"vans", "menus"}
	show := func() *encoder.EngineOrderDone {
		return bench.agent.carryOut(t.Context(), &encoder.EngineOrder{Service: "orders", Action: planner.Show})
	}
	offer := func(id, adapter string) {
		bench.agent.decide(&encoder.Offer{RequestId: id, Service: "orders", Adapter: adapter}, 1)
	}
	Convey("calls that run or wait count, other names and refused calls don't", t, func() {
		for i, adapter := range []string{"vans", "vans", "", "strangers"} {
			offer(string(rune('a'+i)), adapter)
		}
		So(show().GetDemands()[0].GetCalls(), ShouldEqual, 2)
		So(bench.agent.adapters.calls, ShouldHaveLength, 2)
		So(bench.agent.Digest().GetLoaded(), ShouldResemble, []string{"vans"})
		Convey("an adapter that the engine is known not to hold is refused, and nothing ran", func() {
			decision, _ := bench.agent.decide(&encoder.Offer{RequestId: "x", Service: "orders", Adapter: "menus"}, 1)
			So(decision.Failure.Kind.String(), ShouldEqual, "not-ready")
			So(show().GetDemands()[1].GetCalls(), ShouldEqual, 0)
		})
		Convey("a call that is over leaves nothing behind", func() {
			bench.agent.release("a")
			bench.agent.release("b")
			So(bench.agent.adapters.calls, ShouldBeEmpty)
		})
	})
}
