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

const streamEnd = "data: [DONE]\n\n"

func TestAPlannedStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	// Guards against a graceful stop that cuts a stream off. The caller reads a long
	// stream when its entry or agent receives SIGTERM. The process accepts no new
	// work, relays the stream to its end, and only then exits, with code 0.
	tests := []struct {
		name  string
		delay timekeeper.Span
		pick  func(rig *rig, entry *process) *process
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
		rig.proxies["planner-1"].Set(disturber.FromTarget, disturber.Fault{Delay: test.delay})
		stopped := test.pick(rig, entry)
		var got reply
		var caller sync.WaitGroup
		caller.Go(func() { got = entry.call(t.Context(), "POST", "/v1/chat/completions", chatBody(100, "a long route")) })
		rig.eventually("the engine runs", func() bool { return rig.engines["planner-1"].Counts().Runs == 1 })
		code := stopped.stop()
		caller.Wait()
		Convey(test.name, t, func() {
			So(got.err, ShouldBeNil)
			So(strings.Count(got.body, "data: {"), ShouldEqual, 100)
			So(got.body, ShouldEndWith, streamEnd)
			So(code, ShouldEqual, 0)
		})
	}
}

func TestADrainingAgentGetsNoNewWork(t *testing.T) {
	t.Parallel()
	// Guards against calls that fail because a replica drains, and against new calls
	// that run at it. One of two replicas receives SIGTERM while it still serves a
	// call, and the instance list keeps naming it. It refuses new calls as not run,
	// and the entry offers them to the other replica at once.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 300*timekeeper.Millisecond)
	rig.addOrders("orders-2", 0)
	entry := rig.addEntry("entry-1")
	var slowOrder reply
	var caller sync.WaitGroup
	caller.Go(func() {
		for slowOrder.header.Get("Trefoilseam-Upstream") != "orders-1" {
			slowOrder = entry.call(t.Context(), "POST", "/orders", "{}")
			if slowOrder.err != nil {
				return
			}
		}
	})
	rig.eventually("orders-1 has admitted a call", func() bool { return len(rig.agents["orders-1"].logged("admission")) > 0 })
	rig.agents["orders-1"].signal(syscall.SIGTERM)
	caller.Wait()
	before := len(rig.agents["orders-1"].logged("admission"))
	Convey("every later call is answered by the other replica", t, func() {
		So(slowOrder.status, ShouldEqual, 200)
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

func TestAStopThatCutsCallsOffIsReported(t *testing.T) {
	t.Parallel()
	// Guards against a forced stop that looks clean. Two streams take longer than the
	// service's longest drain. The agent waits that long and cuts them off, which
	// the callers can detect. The exit code and the last log line show the platform
	// that the stop was not clean.
	bundle := siteConfig()
	bundle.Base = strings.Replace(bundle.Base, `kind = "model"`, "kind = \"model\"\nlongest-drain = \"300ms\"", 1)
	rig := newRig(t, bundle)
	agent := rig.addPlanner("planner-1", imitator.EngineSettings{Step: 50 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	got := [2]reply{}
	var callers sync.WaitGroup
	for i := range got {
		callers.Go(func() {
			got[i] = entry.call(t.Context(), "POST", "/v1/chat/completions", chatBody(1000, "a long route"))
		})
	}
	rig.eventually("the engine runs both", func() bool { return rig.engines["planner-1"].Counts().Runs == 2 })
	code := agent.stop()
	callers.Wait()
	Convey("the agent exits with 1 and logs how many calls it cut off", t, func() {
		So(code, ShouldEqual, 1)
		So(agent.logged("trefoilseam: the longest drain has passed with 2 calls in flight"), ShouldHaveLength, 1)
		for _, reply := range got {
			So(reply.body, ShouldNotEndWith, streamEnd)
		}
	})
}

func TestAStopWaitsForAClaimInFlight(t *testing.T) {
	t.Parallel()
	// Guards against a claim whose owner has exited. An order has its slot, and its
	// claim is being written to a slow store, when the agent receives SIGTERM. The
	// agent waits for the store, runs and answers the order, and then exits. A stop
	// that ended the claim writer first would leave a row that names a removed agent.
	rig := newRig(t, siteConfig())
	agent := rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	rig.platform.SetFaults(imitator.PlatformFaults{Slow: 300 * timekeeper.Millisecond})
	var got reply
	var caller sync.WaitGroup
	caller.Go(func() { got = entry.order(t.Context(), "while-stopping", "{}") })
	rig.eventually("the slot is granted", func() bool { return len(agent.logged("admission")) > 0 })
	code := agent.stop()
	caller.Wait()
	Convey("the order is answered and ran once", t, func() {
		So(got.status, ShouldEqual, 200)
		So(rig.ledger.Runs("while-stopping"), ShouldEqual, 1)
		So(code, ShouldEqual, 0)
	})
}

func TestAStoppingEntryIsNotReadyBeforeItCloses(t *testing.T) {
	t.Parallel()
	// Guards against refused connections while a load balancer still routes to a
	// stopping entry. A balancer polls /ready and routes to entries that return 200.
	// A stopping entry first returns "not ready" and still accepts calls for its
	// stop delay; then it closes its listener and completes the calls in flight.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 0)
	entry := rig.start("entry", fmt.Sprintf("name = \"entry-1\"\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
		"admin-listen = \"127.0.0.1:0\"\nplatform = %q\nstop-delay = \"1s\"\n", rig.platformURL))
	admin := &process{t: t, address: entry.admin}
	Convey("the entry is not ready and still serves calls", t, func() {
		rig.eventually("the entry serves", func() bool { return entry.call(t.Context(), "GET", "/orders", "").status == 200 })
		So(admin.call(t.Context(), "GET", "/ready", "").status, ShouldEqual, 200)
		entry.signal(syscall.SIGTERM)
		rig.eventually("the entry is not ready", func() bool { return admin.call(t.Context(), "GET", "/ready", "").status == 503 })
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
		<-entry.done
		So(entry.call(t.Context(), "GET", "/orders", "").err, ShouldNotBeNil)
	})
}
