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

// turns makes one turn of every chat and returns how many found their prefix
// cached, and which replica served each.
func (proc *process) turns(t *testing.T) (cached int, served []string) {
	t.Helper()
	for chatNumber := range placedChats {
		name := fmt.Sprint("van-", chatNumber)
		got := proc.call(t.Context(), "POST", "/v1/chat/completions",
			chat(2, name+" needs its route rebuilt from the ledger of yesterday"), "Trefoilseam-Chat", name)
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
	// No caller notices that a replica was replaced: every chat, also those of
	// the replica that left, finds its prefix cached.
	// Four planners hold 24 chats. One stops gracefully and hands the prefixes of
	// its chats to their next homes before it ends. A new one joins, is home to
	// some chats and fetches the prefix of each from where it was.
	bundle := siteConfig()
	bundle.Base = strings.Replace(bundle.Base, `kind = "model"`, "kind = \"model\"\ncache-path = \"/cache\"", 1)
	rig := newRig(t, bundle)
	for i := range 4 {
		rig.addPlanner(fmt.Sprint("planner-", i+1), imitator.EngineSettings{})
	}
	entry := rig.addEntry("entry-1")
	Convey("reuse before and after", t, func() {
		entry.turns(t)
		cached, served := entry.turns(t)
		So(cached, ShouldEqual, placedChats)
		So(count(served, "planner-2"), ShouldBeGreaterThan, 0)

		So(rig.agents["planner-2"].stop(), ShouldEqual, 0)
		rig.instances = append([]storekeeper.Instance{rig.instances[0]}, rig.instances[2:]...)
		rig.platform.SetInstances(rig.instances)
		cached, served = entry.turns(t)
		So(cached, ShouldEqual, placedChats)
		So(count(served, "planner-2"), ShouldEqual, 0)

		joined := rig.addPlanner("planner-5", imitator.EngineSettings{})
		probe := 0
		rig.eventually("the entry knows the new replica", func() bool {
			probe++
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", chat(1, fmt.Sprint("hello ", probe)))
			return got.header.Get("Trefoilseam-Upstream") == "planner-5"
		})
		cached, served = entry.turns(t)
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
	// The engines here can't export a prefix.
	// Callers of a replaced replica's chats wait for their prompt to be read
	// again, once; all other callers notice nothing.
	// Four planners hold 24 chats. One stops gracefully and a new one joins. The
	// new one is home to some chats that ran elsewhere; it doesn't know them and
	// sends them on to the runner-up, where their prefix is.
	rig := newRig(t, siteConfig())
	for i := range 4 {
		rig.addPlanner(fmt.Sprint("planner-", i+1), imitator.EngineSettings{})
	}
	entry := rig.addEntry("entry-1")
	Convey("reuse before and after", t, func() {
		entry.turns(t)
		cached, served := entry.turns(t)
		So(cached, ShouldEqual, placedChats)
		lost := count(served, "planner-2")
		So(lost, ShouldBeGreaterThan, 0)

		So(rig.agents["planner-2"].stop(), ShouldEqual, 0)
		rig.instances = append([]storekeeper.Instance{rig.instances[0]}, rig.instances[2:]...)
		rig.addPlanner("planner-5", imitator.EngineSettings{})
		probe := 0
		rig.eventually("the entry knows the new replica", func() bool {
			probe++
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", chat(1, fmt.Sprint("hello ", probe)))
			return got.header.Get("Trefoilseam-Upstream") == "planner-5"
		})
		cached, _ = entry.turns(t)
		So(cached, ShouldEqual, placedChats-lost)
		again, _ := entry.turns(t)
		So(again, ShouldEqual, placedChats)
	})
	Convey("some chats were sent on by the new replica", t, func() {
		moved := 0
		for _, line := range entry.logged("attempt failed") {
			if line.Reason == "moved" {
				moved++
			}
		}
		So(moved, ShouldBeGreaterThan, 0)
	})
}
