package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// statusPage is the part of a process's status page about the other processes.
type statusPage struct {
	Members []struct {
		Name        string  `json:"name"`
		State       string  `json:"state"`
		Weight      float64 `json:"weight"`
		Incarnation uint64  `json:"incarnation"`
		Listed      bool    `json:"listed"`
	} `json:"members"`
	Control struct {
		PerSecond int64 `json:"bytes-per-second"`
		Causes    []struct {
			Cause string `json:"cause"`
			Bytes int64  `json:"bytes"`
		} `json:"causes"`
	} `json:"control"`
}

// statusPage reads the status page of a process; it is empty when that fails.
func (proc *process) statusPage() statusPage {
	var read statusPage
	request, err := http.NewRequestWithContext(proc.t.Context(), http.MethodGet, "http://"+proc.admin+"/status", nil)
	if err != nil {
		return read
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return read
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&read)
	return read
}

// viewOf returns the state and the weight that a process has for a replica.
func (proc *process) viewOf(name string) (state string, weight float64) {
	for _, member := range proc.statusPage().Members {
		if member.Name == name {
			return member.State, member.Weight
		}
	}
	return "", 0
}

// startFleet starts replicas of the orders service and an entry, and waits until the
// entry has all of them as live.
func (rig *rig) startFleet(replicas int) *process {
	for i := range replicas {
		rig.addOrders("orders-"+strconv.Itoa(i+1), 0)
	}
	entry := rig.addEntry("entry-1")
	rig.eventually("all replicas are live", func() bool { return rig.liveCount(entry) == replicas })
	return entry
}

// liveCount returns how many replicas a process has as live.
func (rig *rig) liveCount(proc *process) int {
	count := 0
	for _, member := range proc.statusPage().Members {
		if member.State == "live" {
			count++
		}
	}
	return count
}

func TestALeavingUpstreamGetsNoNewWorkAfterTwoSeconds(t *testing.T) {
	t.Parallel()
	// Guards against offers to a replica that stops. It receives SIGTERM while it
	// still serves a long call, and the platform's list keeps naming it. It refuses
	// new work at once and informs its peers, and each entry learns of it from any
	// agent within a round, so calls go to other replicas.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 20 * timekeeper.Millisecond})
	rig.addPlanner("planner-2", imitator.EngineSettings{})
	rig.addPlanner("planner-3", imitator.EngineSettings{})
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	rig.eventually("all replicas are live", func() bool { return rig.liveCount(entries[0]) == 3 && rig.liveCount(entries[1]) == 3 })
	Convey("neither entry offers it work after two seconds", t, func() {
		longCall := make(chan reply, 1)
		chatName := rig.chatWithHome(entries[0], "planner-1")
		finished := rig.engines["planner-1"].Counts().Finished
		go func() {
			longCall <- entries[0].call(t.Context(), "POST", "/v1/chat/completions", chatBody(200, "long"), "Trefoilseam-Chat", chatName)
		}()
		rig.eventually("the long call runs", func() bool { return rig.engines["planner-1"].Counts().Runs > finished })
		rig.agents["planner-1"].signal(syscall.SIGTERM)
		signalled := rig.clock.Now()
		rig.eventually("both entries have it as leaving", func() bool {
			first, _ := entries[0].viewOf("planner-1")
			second, _ := entries[1].viewOf("planner-1")
			return first == "leaving" && second == "leaving"
		})
		So(rig.clock.Now().Since(signalled), ShouldBeLessThan, 2*timekeeper.Second)
		before := rig.agents["planner-1"].offers()
		for i := range 40 {
			got := entries[i%2].call(t.Context(), "POST", "/v1/chat/completions", chatBody(1, "menu"), "Trefoilseam-Chat", strconv.Itoa(i))
			So(got.status, ShouldEqual, 200)
		}
		So(rig.agents["planner-1"].offers()-before, ShouldEqual, 0)
		So((<-longCall).body, ShouldEndWith, "data: [DONE]\n\n")
	})
}

// offers returns how many offers an agent has accepted or refused.
func (proc *process) offers() int {
	return len(proc.logged("admission"))
}

// chatWithHome returns the name of a chat whose home is the replica.
func (rig *rig) chatWithHome(entry *process, name string) string {
	for i := range 200 {
		chatName := "chat-" + strconv.Itoa(i)
		got := entry.call(rig.t.Context(), "POST", "/v1/chat/completions", chatBody(1, "hello"), "Trefoilseam-Chat", chatName)
		if got.header.Get("Trefoilseam-Upstream") == name {
			return chatName
		}
	}
	rig.t.Fatal("no chat of 200 has its home at", name)
	return ""
}

func TestAPausedReplicaReturnsWithSlowStart(t *testing.T) {
	t.Parallel()
	// Guards against full traffic to a replica that has just resumed. The platform
	// pauses its agent, which sends nothing more; its peers mark it dead and the
	// entry learns that from them. When it resumes, its digests are accepted since
	// no other process has its name, and its weight grows slowly. Callers may see
	// slower answers for a moment.
	rig := newRig(t, siteConfig())
	entry := rig.startFleet(4)
	Convey("it is marked dead and returns with a low weight", t, func() {
		rig.agents["orders-1"].signal(syscall.SIGSTOP)
		rig.eventually("it is marked dead", func() bool { state, _ := entry.viewOf("orders-1"); return state == "dead" })
		So(rig.liveCount(entry), ShouldEqual, 3)
		rig.agents["orders-1"].signal(syscall.SIGCONT)
		rig.eventually("it is live again", func() bool { state, _ := entry.viewOf("orders-1"); return state == "live" })
		_, weight := entry.viewOf("orders-1")
		So(weight, ShouldBeLessThan, 0.5)
	})
}

func TestAgentsOverruleAWrongInstanceList(t *testing.T) {
	t.Parallel()
	// Guards against calls that fail because the instance list is wrong: it names a
	// dead replica and omits a live one. The entry uses what the agents report of
	// each other instead.
	rig := newRig(t, siteConfig())
	entry := rig.startFleet(4)
	Convey("the listed dead replica is dead and the omitted one is live", t, func() {
		rig.platform.SetInstances(slices.DeleteFunc(slices.Clone(rig.instances), func(instance storekeeper.Instance) bool {
			return instance.Name == "orders-4"
		}))
		rig.agents["orders-1"].kill()
		rig.eventually("the killed replica is marked dead", func() bool { state, _ := entry.viewOf("orders-1"); return state == "dead" })
		state, _ := entry.viewOf("orders-4")
		So(state, ShouldEqual, "live")
		for i := range 10 {
			So(entry.call(t.Context(), "POST", "/orders", fmt.Sprintf(`{"meals":%d}`, i)).status, ShouldEqual, 200)
		}
	})
}

func TestAOneWayCutKeepsHalfOfTheService(t *testing.T) {
	t.Parallel()
	// Guards against a service without live replicas. Three of four replicas receive
	// calls, but their answers are dropped. The entry can't distinguish that from a
	// crash, whatever the agents report of each other; the floor keeps half of the
	// service live all the same. Callers get at most a refusal with a retry hint.
	rig := newRig(t, siteConfig())
	entry := rig.startFleet(4)
	Convey("at most half is marked dead, and all return", t, func() {
		for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
			rig.proxies[name].Set(disturber.FromTarget, disturber.Fault{Discard: true})
		}
		rig.eventually("some are marked dead", func() bool { return rig.liveCount(entry) < 4 })
		So(rig.liveCount(entry), ShouldBeGreaterThanOrEqualTo, 2)
		for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
			rig.proxies[name].Cut()
			rig.proxies[name].Set(disturber.FromTarget, disturber.Fault{})
		}
		rig.eventually("all are live again", func() bool { return rig.liveCount(entry) == 4 })
	})
}

func TestAnEntryStartsWhileTheListIsDown(t *testing.T) {
	t.Parallel()
	// Guards against an entry that can't start without the instance list. Reads of
	// the list fail when the entry starts; its settings name one agent, which
	// reports the other replicas of its service, and the entry serves calls.
	rig := newRig(t, siteConfig())
	rig.startFleet(3)
	Convey("it learns the service from one peer", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{ListDown: true})
		entry := rig.start("entry", fmt.Sprintf("name = \"entry-9\"\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
			"admin-listen = \"127.0.0.1:0\"\nplatform = %q\npeers = [%q]\n", rig.platformURL, rig.proxies["orders-2"].Address()))
		rig.eventually("three replicas are live", func() bool { return rig.liveCount(entry) == 3 })
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
	})
}

func TestAllAgentsRestartWithBoundedStoreReads(t *testing.T) {
	t.Parallel()
	// Guards against a burst of store reads when all agents crash at once and start
	// again with the same names: each process that starts makes only a few reads.
	rig := newRig(t, siteConfig())
	entry := rig.startFleet(4)
	Convey("all are live again after a few reads for each process", t, func() {
		for _, agent := range rig.agents {
			agent.kill()
		}
		before, started := rig.platform.Counts(), rig.clock.Now()
		rig.instances = nil
		for i := range 4 {
			rig.addOrders("orders-"+strconv.Itoa(i+1), 0)
		}
		rig.eventually("all are live again", func() bool { return rig.liveCount(entry) == 4 })
		seconds := int(rig.clock.Now().Since(started)/timekeeper.Second) + 1
		after := rig.platform.Counts()
		const readsAtStart, readsPerSecond = 6, 2
		So(after.Reads-before.Reads, ShouldBeLessThanOrEqualTo, 4*readsAtStart+5*readsPerSecond*seconds)
		So(after.Writes-before.Writes, ShouldEqual, 0)
		So(entry.statusPage().Control.PerSecond, ShouldBeLessThan, 2<<10)
	})
}
