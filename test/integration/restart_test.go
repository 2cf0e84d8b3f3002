package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
)

// peersSetting returns the settings line that names peers to ask while the store is down.
func peersSetting(procs ...*process) string {
	names := make([]string, len(procs))
	for i, proc := range procs {
		names[i] = fmt.Sprintf("%q", proc.address)
	}
	return "peers = [" + strings.Join(names, ", ") + "]\n"
}

// startAll starts processes in parallel.
func startAll(starts ...func() *process) []*process {
	started := make([]*process, len(starts))
	var starting sync.WaitGroup
	for i, start := range starts {
		starting.Go(func() { started[i] = start() })
	}
	starting.Wait()
	return started
}

func TestAllProcessesRestartInAStoreOutage(t *testing.T) {
	t.Parallel()
	// Guards against a fleet that can't restart during an outage of the store, or
	// serves under an older revision. A change is accepted and the store goes down.
	// Then all entries are killed at once and restarted, and after them the agents,
	// first one and then two. None can read the store, so each fetches the
	// configuration from the peers in its settings, and serves under the revision
	// from before the outage.
	rig := newRig(t, quickConfig())
	upstreams := map[string]string{}
	agents := []*process{}
	for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
		service := imitator.NewService(imitator.ServiceSettings{Name: name, Ledger: rig.ledger, Clock: rig.clock})
		upstreams[name] = rig.serve(service)
		agents = append(agents, rig.addAgent("orders", name, upstreams[name]))
	}
	entrySettings := func(name string) string {
		return fmt.Sprintf("name = %q\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\nadmin-listen = \"127.0.0.1:0\"\nplatform = %q\n",
			name, rig.platformURL) + peersSetting(agents...)
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	text, code := configure(t, "apply", "-platform", rig.platformURL, "-base", baseFile(t, "b.toml", 4), "-edited-from", "1", "-wait", "-timeout", "10s")
	if code != 0 {
		t.Fatal(text)
	}
	rig.eventuallyAtRevision(2, entries...)
	applied := make(chan outcome, 1)
	serves := func(entry *process) func() bool {
		return func() bool { return entry.call(t.Context(), "GET", "/orders", "").status == 200 }
	}
	Convey("calls are served in the outage, while an operator attempts a change", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{Down: true})
		So(entries[0].call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
		file := baseFile(t, "c.toml", 5)
		go func() {
			text, code := configure(t, "apply", "-platform", rig.platformURL, "-base", file, "-edited-from", "2")
			applied <- outcome{text: text, code: code}
		}()
	})
	Convey("all entries serve calls again", t, func() {
		entries[0].kill()
		entries[1].kill()
		entries = startAll(
			func() *process { return rig.start("entry", entrySettings("entry-1")) },
			func() *process { return rig.start("entry", entrySettings("entry-2")) })
		for _, entry := range entries {
			So(entry.configStatus(t.Context()).Revision, ShouldEqual, 2)
			rig.eventually("an entry that started in the outage serves calls", serves(entry))
		}
	})
	restartAgent := func(i int, peers ...*process) func() *process {
		name := fmt.Sprint("orders-", i+1)
		agents[i].kill()
		settings := strings.Replace(rig.agentSettings("orders", name, upstreams[name]),
			`listen = "127.0.0.1:0"`, fmt.Sprintf("listen = %q", agents[i].address), 1)
		return func() *process { return rig.start("agent", settings+peersSetting(peers...)) }
	}
	Convey("each agent serves calls again", t, func() {
		agents[0] = restartAgent(0, agents[1], agents[2])()
		copy(agents[1:], startAll(restartAgent(1, agents[0]), restartAgent(2, agents[0])))
		for _, agent := range agents {
			So(agent.configStatus(t.Context()).Revision, ShouldEqual, 2)
			rig.eventually("calls reach an agent that started in the outage", func() bool {
				return serves(entries[0])() && len(agent.logged("admission")) > 0
			})
		}
	})
	Convey("a change after the outage is in force at all processes", t, func() {
		inOutage := <-applied
		So(inOutage.code, ShouldEqual, 1)
		So(inOutage.text, ShouldContainSubstring, "not accepted")
		rig.platform.SetFaults(imitator.PlatformFaults{})
		text, code := configure(t, "apply", "-platform", rig.platformURL, "-base", baseFile(t, "c.toml", 6), "-edited-from", "2", "-wait", "-timeout", "20s")
		So(text, ShouldContainSubstring, "in force: revision 3")
		So(code, ShouldEqual, 0)
		rig.eventuallyAtRevision(3, append(agents, entries...)...)
	})
}
