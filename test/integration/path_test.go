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

func TestSeparateProcessesServeTheWholePath(t *testing.T) {
	t.Parallel()
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{})
	rig.addPlanner("planner-2", imitator.EngineSettings{})
	rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("a chat's second turn finds its prefix cached", t, func() {
		turn := chat(4, "rebuild the route of van seven from the ledger")
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
	Convey("an unknown team key is refused, truthfully as not run", t, func() {
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

func TestACutAnswerIsNotPassedOffAsWhole(t *testing.T) {
	t.Parallel()
	// The caller sees its stream break instead of ending.
	// The answer is under way when the connection from the agent to the entry
	// is cut after 600 bytes; the entry has passed on a part and can't take it
	// back, so it cuts the caller's connection too, without a proper end.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 20 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	var got reply
	var caller sync.WaitGroup
	caller.Go(func() {
		got = entry.call(t.Context(), "POST", "/v1/chat/completions", chat(128, "a long answer"))
	})
	// Only now, so that no digest has used the bytes up before the call came.
	rig.eventually("the engine runs", func() bool { return rig.engines["planner-1"].Counts().Runs == 1 })
	rig.proxies["planner-1"].Set(disturber.FromTarget, disturber.Fault{CutAfter: 600})
	caller.Wait()
	Convey("the part is not called whole", t, func() {
		So(got.err, ShouldNotBeNil)
		So(got.body, ShouldNotContainSubstring, "[DONE]")
	})
}

func TestACallerThatLeavesFreesTheEngine(t *testing.T) {
	t.Parallel()
	// The caller closes its connection in the middle of a long answer.
	// The entry tells the agent, the agent ends the upstream call, and the
	// engine drops the sequence: nobody waits behind work that no one reads.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 10 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	Convey("the engine cancels the sequence", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		got := entry.call(ctx, "POST", "/v1/chat/completions", chat(10000, "an endless answer"))
		So(got.err, ShouldNotBeNil)
		rig.eventually("the engine cancelled", func() bool { return rig.engines["planner-1"].Counts().Canceled == 1 })
	})
}
