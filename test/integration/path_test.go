package integration

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestCallsThroughSeparateProcesses(t *testing.T) {
	t.Parallel()
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{})
	rig.addPlanner("planner-2", imitator.EngineSettings{})
	rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("a chat's second turn finds its prefix cached", t, func() {
		turn := chatBody(4, "rebuild the route of van seven from the ledger")
		first := entry.call(t.Context(), "POST", "/v1/chat/completions", turn, "Trefoilseam-Chat", "van-7")
		So(first.err, ShouldBeNil)
		So(first.body, ShouldEndWith, "data: [DONE]\n\n")
		So(first.header.Get("Trefoilseam-Cached"), ShouldEqual, "0")
		second := entry.call(t.Context(), "POST", "/v1/chat/completions", turn, "Trefoilseam-Chat", "van-7")
		So(second.header.Get("Trefoilseam-Cached"), ShouldEqual, "8")
		So(second.header.Get("Trefoilseam-Upstream"), ShouldEqual, first.header.Get("Trefoilseam-Upstream"))
	})
	Convey("a plain call runs once", t, func() {
		got := entry.call(t.Context(), "POST", "/orders", `{"meals":40}`)
		So(got.status, ShouldEqual, 200)
		So(rig.ledger.Total(), ShouldEqual, 1)
	})
	Convey("a call with an unknown team key is refused as not run", t, func() {
		got := entry.call(t.Context(), "POST", "/orders", "{}", "Authorization", "Bearer nobody")
		So(got.status, ShouldEqual, 401)
		So(got.ran(), ShouldEqual, "no")
	})
	Convey("there is a log line for each placement", t, func() {
		rig.eventually("three placements logged", func() bool { return len(entry.logged("placement")) == 3 })
	})
	Convey("every process stops gracefully", t, func() {
		So(entry.stop(), ShouldEqual, 0)
		So(rig.agents["planner-1"].stop(), ShouldEqual, 0)
	})
}

func TestACutAnswerBreaksTheCallersConnection(t *testing.T) {
	t.Parallel()
	// Guards against a partial answer that looks complete. The connection from the
	// agent to the entry is cut after 600 bytes of a stream. The entry has already
	// passed a part on, so it aborts the caller's connection without a proper end.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 20 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	var got reply
	var caller sync.WaitGroup
	caller.Go(func() {
		got = entry.call(t.Context(), "POST", "/v1/chat/completions", chatBody(128, "a long answer"))
	})
	// The fault is set only now, so that no digest uses up the 600 bytes before the call.
	rig.eventually("the engine runs", func() bool { return rig.engines["planner-1"].Counts().Runs == 1 })
	rig.proxies["planner-1"].Set(disturber.FromTarget, disturber.Fault{CutAfter: 600})
	caller.Wait()
	Convey("the caller gets an error and no end of the stream", t, func() {
		So(got.err, ShouldNotBeNil)
		So(got.body, ShouldNotContainSubstring, "[DONE]")
	})
}

func TestACallerThatLeavesFreesTheEngine(t *testing.T) {
	t.Parallel()
	// Guards against an engine that works on for a caller that has left. The caller
	// closes its connection during a long answer; the entry informs the agent, the
	// agent cancels the upstream call, and the engine drops the sequence.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 10 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	Convey("the engine cancels the sequence", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		got := entry.call(ctx, "POST", "/v1/chat/completions", chatBody(10000, "an endless answer"))
		So(got.err, ShouldNotBeNil)
		rig.eventually("the engine cancelled", func() bool { return rig.engines["planner-1"].Counts().Canceled == 1 })
	})
}
