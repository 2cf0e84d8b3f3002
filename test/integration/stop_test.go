package integration

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const wholeStream = "data: [DONE]\n\n"

func TestAPlannedStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	// The caller reads a long stream when a process on its way is told to stop.
	// The process takes no new work from then on, relays the stream to its end,
	// and only then exits, with code 0. The caller notices nothing.
	tests := []struct {
		name string
		slow timekeeper.Span
		pick func(rig *rig, entry *process) *process
	}{
		{"the agent stops", 0, func(rig *rig, _ *process) *process { return rig.agents["planner-1"] }},
		{"the agent stops while its reader is slow", 5 * timekeeper.Millisecond,
			func(rig *rig, _ *process) *process { return rig.agents["planner-1"] }},
		{"the entry stops", 0, func(_ *rig, entry *process) *process { return entry }},
	}
	for _, test := range tests {
		rig := newRig(t, siteConfig())
		rig.addPlanner("planner-1", imitator.EngineSettings{Step: 5 * timekeeper.Millisecond})
		entry := rig.addEntry("entry-1")
		rig.proxies["planner-1"].Set(disturber.FromTarget, disturber.Fault{Delay: test.slow})
		stopped := test.pick(rig, entry)
		var got reply
		var caller sync.WaitGroup
		caller.Go(func() { got = entry.call(t.Context(), "POST", "/v1/chat/completions", chat(100, "a long route")) })
		rig.eventually("the engine runs", func() bool { return rig.engines["planner-1"].Counts().Runs == 1 })
		code := stopped.stop()
		caller.Wait()
		Convey(test.name, t, func() {
			So(got.err, ShouldBeNil)
			So(strings.Count(got.body, "data: {"), ShouldEqual, 100)
			So(got.body, ShouldEndWith, wholeStream)
			So(code, ShouldEqual, 0)
		})
	}
}

func TestADrainingAgentGetsNoNewWork(t *testing.T) {
	t.Parallel()
	// One of two replicas is told to stop while it still streams an answer.
	// The instance list goes on naming it. Callers whose chats live there are
	// served by the other replica at once: the draining agent refuses, which
	// says that nothing ran, and the entry goes to the next candidate.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 300*timekeeper.Millisecond)
	rig.addOrders("orders-2", 0)
	entry := rig.addEntry("entry-1")
	var held reply
	var caller sync.WaitGroup
	caller.Go(func() {
		for held.header.Get("Trefoilseam-Upstream") != "orders-1" {
			held = entry.call(t.Context(), "POST", "/orders", "{}")
			if held.err != nil {
				return
			}
		}
	})
	rig.eventually("work at orders-1", func() bool { return len(rig.agents["orders-1"].logged("admission")) > 0 })
	rig.agents["orders-1"].signal(syscall.SIGTERM)
	caller.Wait()
	before := len(rig.agents["orders-1"].logged("admission"))
	Convey("every later call is answered by the other replica", t, func() {
		So(held.status, ShouldEqual, 200)
		for range 20 {
			got := entry.call(t.Context(), "POST", "/orders", "{}")
			So(got.status, ShouldEqual, 200)
			So(got.header.Get("Trefoilseam-Upstream"), ShouldEqual, "orders-2")
		}
		<-rig.agents["orders-1"].done
		granted := 0
		for _, line := range rig.agents["orders-1"].logged("admission")[before:] {
			if line.Outcome != "refused" {
				granted++
			}
		}
		So(granted, ShouldEqual, 0)
	})
}

func TestAStopThatCutsCallsOffSaysSo(t *testing.T) {
	t.Parallel()
	// The callers' streams are cut, which they can tell from whole ones.
	// Two streams are longer than the service's longest drain. The agent waits
	// that long, cuts them off, and its platform sees by the exit code and the
	// last line that the stop was not clean.
	bundle := siteConfig()
	bundle.Base = strings.Replace(bundle.Base, `kind = "model"`, "kind = \"model\"\nlongest-drain = \"300ms\"", 1)
	rig := newRig(t, bundle)
	agent := rig.addPlanner("planner-1", imitator.EngineSettings{Step: 50 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	got := [2]reply{}
	var callers sync.WaitGroup
	for i := range got {
		callers.Go(func() { got[i] = entry.call(t.Context(), "POST", "/v1/chat/completions", chat(1000, "a long route")) })
	}
	rig.eventually("the engine runs both", func() bool { return rig.engines["planner-1"].Counts().Runs == 2 })
	code := agent.stop()
	callers.Wait()
	Convey("the agent exits with 1 and says how many calls it cut off", t, func() {
		So(code, ShouldEqual, 1)
		So(agent.logged("trefoilseam: the longest drain has passed with 2 calls in flight"), ShouldHaveLength, 1)
		for _, reply := range got {
			So(reply.body, ShouldNotEndWith, wholeStream)
		}
	})
}

func TestAClaimThatIsWrittenDuringAStopIsWhole(t *testing.T) {
	t.Parallel()
	// The caller's order has its slot, and its claim is on the way to a slow
	// store, when the agent is told to stop. The agent waits for the store, runs
	// the order and answers it, and then ends: a stop that took the writer of
	// claims away first would leave a row that names an agent that is gone.
	rig := newRig(t, siteConfig())
	agent := rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	rig.platform.SetFaults(imitator.PlatformFaults{Slow: 300 * timekeeper.Millisecond})
	var got reply
	var caller sync.WaitGroup
	caller.Go(func() { got = entry.order(t.Context(), "while-stopping", "{}") })
	rig.eventually("the slot is given", func() bool { return len(agent.logged("admission")) > 0 })
	code := agent.stop()
	caller.Wait()
	Convey("it is answered", t, func() {
		So(got.status, ShouldEqual, 200)
		So(rig.ledger.Runs("while-stopping"), ShouldEqual, 1)
		So(code, ShouldEqual, 0)
	})
}

func TestAnEntryThatStopsLetsItsBalancerKnowFirst(t *testing.T) {
	t.Parallel()
	// A balancer looks at /ready now and then and sends callers where it is 200.
	// A stopping entry says "not ready" first and still takes callers for its stop
	// delay; then it closes its door and ends what is in flight.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 0)
	entry := rig.start("entry", fmt.Sprintf("name = \"entry-1\"\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
		"admin-listen = \"127.0.0.1:0\"\nplatform = %q\nstop-delay = \"1s\"\n", rig.base))
	admin := &process{t: t, address: entry.admin}
	Convey("not ready, and callers are still served", t, func() {
		rig.eventually("the entry serves", func() bool { return entry.call(t.Context(), "GET", "/orders", "").status == 200 })
		So(admin.call(t.Context(), "GET", "/ready", "").status, ShouldEqual, 200)
		entry.signal(syscall.SIGTERM)
		rig.eventually("the entry is not ready", func() bool { return admin.call(t.Context(), "GET", "/ready", "").status == 503 })
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
		<-entry.done
		So(entry.call(t.Context(), "GET", "/orders", "").err, ShouldNotBeNil)
	})
}
