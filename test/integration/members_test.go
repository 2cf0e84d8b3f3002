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

// beliefs is what a process's status page says about the others.
type beliefs struct {
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

// beliefs reads the status page of a process; it is empty when there is none.
func (proc *process) beliefs() beliefs {
	var read beliefs
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

// sees returns what a process holds a replica to be, and with what weight.
func (proc *process) sees(name string) (state string, weight float64) {
	for _, member := range proc.beliefs().Members {
		if member.Name == name {
			return member.State, member.Weight
		}
	}
	return "", 0
}

// fleet starts so many replicas of the order service and waits until an entry sees them live.
func (rig *rig) fleet(replicas int) *process {
	for i := range replicas {
		rig.addOrders("orders-"+strconv.Itoa(i+1), 0)
	}
	entry := rig.addEntry("entry-1")
	rig.eventually("all are seen live", func() bool { return rig.live(entry) == replicas })
	return entry
}

// live returns how many replicas a process sees live.
func (rig *rig) live(proc *process) int {
	count := 0
	for _, member := range proc.beliefs().Members {
		if member.State == "live" {
			count++
		}
	}
	return count
}

func TestALeavingUpstreamGetsNoNewWorkAfterTwoSeconds(t *testing.T) {
	t.Parallel()
	// The caller sees nothing: its calls go elsewhere.
	// One replica is told to stop while it still holds a long call, and the
	// platform's list goes on naming it as live. It refuses at once, tells its
	// peers, and each entry hears of it from any agent within a round.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 20 * timekeeper.Millisecond})
	rig.addPlanner("planner-2", imitator.EngineSettings{})
	rig.addPlanner("planner-3", imitator.EngineSettings{})
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	rig.eventually("all are seen live", func() bool { return rig.live(entries[0]) == 3 && rig.live(entries[1]) == 3 })
	Convey("neither entry offers it work two seconds later", t, func() {
		held := make(chan reply, 1)
		home := rig.chatAt(entries[0], "planner-1")
		finished := rig.engines["planner-1"].Counts().Finished
		go func() {
			held <- entries[0].call(t.Context(), "POST", "/v1/chat/completions", chat(200, "long"), "Trefoilseam-Chat", home)
		}()
		rig.eventually("the long call runs", func() bool { return rig.engines["planner-1"].Counts().Runs > finished })
		rig.agents["planner-1"].signal(syscall.SIGTERM)
		told := rig.clock.Now()
		rig.eventually("both entries know", func() bool {
			first, _ := entries[0].sees("planner-1")
			second, _ := entries[1].sees("planner-1")
			return first == "leaving" && second == "leaving"
		})
		So(rig.clock.Now().Since(told), ShouldBeLessThan, 2*timekeeper.Second)
		before := rig.agents["planner-1"].offers()
		for i := range 40 {
			got := entries[i%2].call(t.Context(), "POST", "/v1/chat/completions", chat(1, "menu"), "Trefoilseam-Chat", strconv.Itoa(i))
			So(got.status, ShouldEqual, 200)
		}
		So(rig.agents["planner-1"].offers()-before, ShouldEqual, 0)
		So((<-held).body, ShouldEndWith, "data: [DONE]\n\n")
	})
}

// offers returns how many offers an agent has decided about.
func (proc *process) offers() int {
	return len(proc.logged("admission"))
}

// chatAt returns the name of a chat whose home is the replica.
func (rig *rig) chatAt(entry *process, name string) string {
	for i := range 200 {
		chatName := "chat-" + strconv.Itoa(i)
		got := entry.call(rig.t.Context(), "POST", "/v1/chat/completions", chat(1, "hello"), "Trefoilseam-Chat", chatName)
		if got.header.Get("Trefoilseam-Upstream") == name {
			return chatName
		}
	}
	rig.t.Fatal("no chat has its home at", name)
	return ""
}

func TestPauseAndWake(t *testing.T) {
	t.Parallel()
	// The caller sees nothing but, for a moment, a slower answer.
	// A replica's agent is stopped by the platform and says nothing more; its
	// peers hold it dead and the entry hears that from them. It wakes, is
	// believed since nobody took its name, and earns its traffic back slowly.
	rig := newRig(t, siteConfig())
	entry := rig.fleet(4)
	Convey("it is held dead, and comes back with little weight", t, func() {
		rig.agents["orders-1"].signal(syscall.SIGSTOP)
		rig.eventually("it is held dead", func() bool { state, _ := entry.sees("orders-1"); return state == "dead" })
		So(rig.live(entry), ShouldEqual, 3)
		rig.agents["orders-1"].signal(syscall.SIGCONT)
		rig.eventually("it is live again", func() bool { state, _ := entry.sees("orders-1"); return state == "live" })
		_, weight := entry.sees("orders-1")
		So(weight, ShouldBeLessThan, 0.5)
	})
}

func TestAListThatLies(t *testing.T) {
	t.Parallel()
	// The caller sees nothing.
	// The list names a replica that is dead, omits one that is live, and stays
	// so. The entry goes by what the agents say of each other.
	rig := newRig(t, siteConfig())
	entry := rig.fleet(4)
	Convey("the dead is dead and the live is live", t, func() {
		rig.platform.SetInstances(slices.DeleteFunc(slices.Clone(rig.instances), func(instance storekeeper.Instance) bool {
			return instance.Name == "orders-4"
		}))
		rig.agents["orders-1"].kill()
		rig.eventually("the dead is held dead", func() bool { state, _ := entry.sees("orders-1"); return state == "dead" })
		state, _ := entry.sees("orders-4")
		So(state, ShouldEqual, "live")
		for i := range 10 {
			So(entry.call(t.Context(), "POST", "/orders", fmt.Sprintf(`{"meals":%d}`, i)).status, ShouldEqual, 200)
		}
	})
}

func TestAOneWayCutEmptiesNoService(t *testing.T) {
	t.Parallel()
	// The caller sees at most a refusal that says to come again.
	// Three of four replicas hear and are not heard: what they answer is
	// swallowed. The entry can't tell that from death, whatever the agents say
	// of each other; the floor keeps half of the service all the same.
	rig := newRig(t, siteConfig())
	entry := rig.fleet(4)
	Convey("at most half is held dead, and all come back", t, func() {
		for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
			rig.proxies[name].Set(disturber.FromTarget, disturber.Fault{Discard: true})
		}
		rig.eventually("some are held dead", func() bool { return rig.live(entry) < 4 })
		So(rig.live(entry), ShouldBeGreaterThanOrEqualTo, 2)
		for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
			rig.proxies[name].Cut()
			rig.proxies[name].Set(disturber.FromTarget, disturber.Fault{})
		}
		rig.eventually("all are live again", func() bool { return rig.live(entry) == 4 })
	})
}

func TestAnEntryStartsWhileTheListIsDown(t *testing.T) {
	t.Parallel()
	// The caller sees its call answered by an entry that has never read a list.
	// The list fails when the entry starts; the settings name one agent, which
	// tells of the others of its service.
	rig := newRig(t, siteConfig())
	rig.fleet(3)
	Convey("it learns the service from one peer", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{ListDown: true})
		entry := rig.start("entry", fmt.Sprintf("name = \"entry-9\"\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
			"admin-listen = \"127.0.0.1:0\"\nplatform = %q\npeers = [%q]\n", rig.base, rig.proxies["orders-2"].Address()))
		rig.eventually("it sees three", func() bool { return rig.live(entry) == 3 })
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
	})
}

func TestEverythingRestartsWithoutAStampede(t *testing.T) {
	t.Parallel()
	// The caller sees refused connections until an entry listens again.
	// All agents die at once and are started again with the same names. The
	// platform's reads are bounded by a few for each process that starts.
	rig := newRig(t, siteConfig())
	entry := rig.fleet(4)
	Convey("all are live in their new lives, at a few reads a process", t, func() {
		for _, agent := range rig.agents {
			agent.kill()
		}
		before, started := rig.platform.Counts(), rig.clock.Now()
		rig.instances = nil
		for i := range 4 {
			rig.addOrders("orders-"+strconv.Itoa(i+1), 0)
		}
		rig.eventually("all are live again", func() bool { return rig.live(entry) == 4 })
		seconds := int(rig.clock.Now().Since(started)/timekeeper.Second) + 1
		after := rig.platform.Counts()
		const atStart, steadily = 6, 2
		So(after.Reads-before.Reads, ShouldBeLessThanOrEqualTo, 4*atStart+5*steadily*seconds)
		So(after.Writes-before.Writes, ShouldEqual, 0)
		So(entry.beliefs().Control.PerSecond, ShouldBeLessThan, 2<<10)
	})
}
