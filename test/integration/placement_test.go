package integration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

const placedChats = 24

// sendTurns sends one turn of every chat and returns how many found their prefix
// cached, and which replica served each.
func (proc *process) sendTurns(t *testing.T) (cached int, served []string) {
	t.Helper()
	for chatNumber := range placedChats {
		name := fmt.Sprint("van-", chatNumber)
		got := proc.call(t.Context(), "POST", "/v1/chat/completions",
			chatBody(2, name+" needs its route rebuilt from the ledger of yesterday"), "Trefoilseam-Chat", name)
		So(got.status, ShouldEqual, 200)
		if tokens, _ := strconv.Atoi(got.header.Get("Trefoilseam-Cached")); tokens > 0 {
			cached++
		}
		served = append(served, got.header.Get("Trefoilseam-Upstream"))
	}
	return cached, served
}

func count(served []string, name string) int {
	number := 0
	for _, upstream := range served {
		if upstream == name {
			number++
		}
	}
	return number
}

func TestAPlannedLeaveLosesNoPrefix(t *testing.T) {
	t.Parallel()
	// Guards against cold prefixes after a replica is replaced: every chat, also
	// those of the replica that left, finds its prefix cached.
	// Four planners hold 24 chats. One stops gracefully and hands the prefixes of
	// its chats over to their next homes before it exits. A new one joins, becomes
	// home to some chats and fetches the prefix of each from its previous replica.
	bundle := siteConfig()
	bundle.Base = strings.Replace(bundle.Base, `kind = "model"`, "kind = \"model\"\ncache-path = \"/cache\"", 1)
	rig := newRig(t, bundle)
	for i := range 4 {
		rig.addPlanner(fmt.Sprint("planner-", i+1), imitator.EngineSettings{})
	}
	entry := rig.addEntry("entry-1")
	Convey("all prefixes are reused after a leave and after a join", t, func() {
		entry.sendTurns(t)
		cached, served := entry.sendTurns(t)
		So(cached, ShouldEqual, placedChats)
		So(count(served, "planner-2"), ShouldBeGreaterThan, 0)

		So(rig.agents["planner-2"].stop(), ShouldEqual, 0)
		rig.instances = append([]storekeeper.Instance{rig.instances[0]}, rig.instances[2:]...)
		rig.platform.SetInstances(rig.instances)
		cached, served = entry.sendTurns(t)
		So(cached, ShouldEqual, placedChats)
		So(count(served, "planner-2"), ShouldEqual, 0)

		joined := rig.addPlanner("planner-5", imitator.EngineSettings{})
		probe := 0
		rig.eventually("the entry knows the new replica", func() bool {
			probe++
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", chatBody(1, fmt.Sprint("hello ", probe)))
			return got.header.Get("Trefoilseam-Upstream") == "planner-5"
		})
		cached, served = entry.sendTurns(t)
		So(cached, ShouldEqual, placedChats)
		So(count(served, "planner-5"), ShouldBeGreaterThan, 0)
		fetched := 0
		for _, line := range joined.logged("fetch") {
			if line.Outcome == "fetched" {
				fetched++
			}
		}
		So(fetched, ShouldEqual, count(served, "planner-5"))
	})
}

func TestChatsFindTheirPrefixAfterAReplicaIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against lost prefixes of other replicas when engines can't export any.
	// Only the chats of the replaced replica need a new prefill, once.
	// Four planners hold 24 chats. One stops gracefully and a new one joins. The
	// new one becomes home to some chats that ran on other replicas; it doesn't
	// know them and redirects them to the next in rank, which has their prefix.
	rig := newRig(t, siteConfig())
	for i := range 4 {
		rig.addPlanner(fmt.Sprint("planner-", i+1), imitator.EngineSettings{})
	}
	entry := rig.addEntry("entry-1")
	Convey("only the chats of the replaced replica miss their prefix", t, func() {
		entry.sendTurns(t)
		cached, served := entry.sendTurns(t)
		So(cached, ShouldEqual, placedChats)
		lost := count(served, "planner-2")
		So(lost, ShouldBeGreaterThan, 0)

		So(rig.agents["planner-2"].stop(), ShouldEqual, 0)
		rig.instances = append([]storekeeper.Instance{rig.instances[0]}, rig.instances[2:]...)
		rig.addPlanner("planner-5", imitator.EngineSettings{})
		probe := 0
		rig.eventually("the entry knows the new replica", func() bool {
			probe++
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", chatBody(1, fmt.Sprint("hello ", probe)))
			return got.header.Get("Trefoilseam-Upstream") == "planner-5"
		})
		cached, _ = entry.sendTurns(t)
		So(cached, ShouldEqual, placedChats-lost)
		again, _ := entry.sendTurns(t)
		So(again, ShouldEqual, placedChats)
	})
	Convey("the new replica redirected some chats", t, func() {
		moved := 0
		for _, line := range entry.logged("attempt failed") {
			if line.Reason == "moved" {
				moved++
			}
		}
		So(moved, ShouldBeGreaterThan, 0)
	})
}
