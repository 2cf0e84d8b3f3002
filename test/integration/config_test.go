package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// configure runs trefoilseam config and returns what it printed and its exit code.
func configure(t *testing.T, args ...string) (text string, code int) {
	t.Helper()
	command := exec.CommandContext(t.Context(), binary, append([]string{"config"}, args...)...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// quickConfig is siteConfig with more looks at the store.
func quickConfig() resolver.Bundle {
	bundle := siteConfig()
	bundle.Base += "\n[limits]\npoll-every = \"300ms\"\n"
	return bundle
}

// baseFile writes the rig's base with another number of slots.
func baseFile(t *testing.T, name string, slots int) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	text := strings.Replace(quickConfig().Base, `kind = "plain"`, fmt.Sprintf("kind = \"plain\"\nslots = %d\n", slots), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// configOf returns what a process says about its configuration.
func (proc *process) configOf(ctx context.Context) publisher.Status {
	var status publisher.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proc.admin+"/config", nil)
	if err != nil {
		return status
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

func (rig *rig) eventuallyAt(revision uint64, procs ...*process) {
	rig.t.Helper()
	for _, proc := range procs {
		rig.eventually(fmt.Sprintf("revision %d at %s", revision, proc.address), func() bool {
			return proc.configOf(rig.t.Context()).Revision == revision
		})
	}
}

func TestOperatorsChangeTheConfiguration(t *testing.T) {
	t.Parallel()
	rig := newRig(t, quickConfig())
	rig.addOrders("orders-1", 0)
	rig.addOrders("orders-2", 0)
	entry := rig.addEntry("entry-1")
	apply := func(args ...string) (string, int) {
		return configure(t, append([]string{"apply", "-platform", rig.base, "-operator", "almaz"}, args...)...)
	}
	four := baseFile(t, "four.toml", 4)
	Convey("faults end with exit code 2, each with its line", t, func() {
		bad := filepath.Join(t.TempDir(), "bad.toml")
		So(os.WriteFile(bad, []byte("[services.x]\nkind = \"other\"\nslts = 3\n"), 0o600), ShouldBeNil)
		text, code := configure(t, "check", "-base", bad)
		So(code, ShouldEqual, 2)
		So(text, ShouldContainSubstring, "bad.toml:2: service x is of kind")
		So(text, ShouldContainSubstring, "bad.toml:3: unknown key services.x.slts")
	})
	Convey("a change is in force at every live process when apply returns", t, func() {
		rig.eventually("an order through the entry", func() bool {
			return entry.call(t.Context(), "POST", "/orders", "{}").status == 200
		})
		text, code := apply("-base", four, "-edited-from", "1", "-wait", "-comment", "more")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "accepted: revision 2")
		So(text, ShouldContainSubstring, "in force: revision 2 at")
		So(rig.agents["orders-1"].configOf(t.Context()).Revision, ShouldEqual, 2)
	})
	Convey("running it again is harmless", t, func() {
		text, code := apply("-base", four, "-edited-from", "1")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "revision 2")
	})
	Convey("the loser is told what changed", t, func() {
		text, code := apply("-base", baseFile(t, "five.toml", 5), "-edited-from", "1")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "revision 2 by almaz")
		So(text, ShouldContainSubstring, "+ services.orders.slots = 4")
	})
	Convey("a roll back is a higher revision", t, func() {
		text, code := apply("-rollback-to", "1", "-wait")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "accepted: revision 3")
		text, _ = configure(t, "history", "-platform", rig.base)
		So(strings.Count(text, "\n"), ShouldEqual, 4)
		So(text, ShouldContainSubstring, "back to 1.")
		rig.eventuallyAt(3, entry)
	})
	Convey("apply names the process that doesn't have it, and status lists it", t, func() {
		rig.proxies["orders-2"].Refuse(true)
		rig.proxies["orders-2"].Cut()
		text, code := apply("-base", four, "-edited-from", "3", "-wait", "-timeout", "4s")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "orders-2")
		So(text, ShouldNotContainSubstring, "orders-1")
		text, code = configure(t, "status", "-platform", rig.base)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "revision 4")
		So(text, ShouldContainSubstring, "entry-1")
	})
}

func TestTwoOperatorsRaceWithTheCommand(t *testing.T) {
	t.Parallel()
	// Two operators run the command at the same time from the same revision.
	// One is told "accepted", the other what changed; the history has each
	// accepted change once, in order. Answers of the store are lost on the way.
	const rounds = 8
	rig := newRig(t, quickConfig())
	Convey("each round has one winner", t, func() {
		for round := range rounds {
			rig.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: round % 3, LoseWrites: round % 2})
			var operators sync.WaitGroup
			codes := [2]int{}
			for i := range codes {
				file := baseFile(t, "base.toml", 2+2*round+i)
				operators.Go(func() {
					_, codes[i] = configure(t, "apply", "-platform", rig.base, "-base", file,
						"-edited-from", fmt.Sprint(round+1), "-operator", fmt.Sprintf("operator-%d", i))
				})
			}
			operators.Wait()
			So(codes[0]+codes[1], ShouldEqual, 1)
		}
		changes, err := publisher.History(t.Context(), rig.platform.InProcess(), 0, 100)
		So(err, ShouldBeNil)
		So(changes, ShouldHaveLength, rounds+1)
		for i, change := range changes {
			So(change.Revision, ShouldEqual, i+1)
		}
	})
}

func TestASiteIsCutOffAndComesBack(t *testing.T) {
	t.Parallel()
	// Callers of the site that is cut off go on being served.
	// A site loses its way to the store; a change is accepted meanwhile; the
	// operators see who lags. The site keeps what it has in force, and takes the
	// change within the bound once it is back.
	rig := newRig(t, quickConfig())
	whole := rig.base
	bridge, closeBridge, err := disturber.New(strings.TrimPrefix(rig.base, "http://"), rig.clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeBridge)
	rig.base = "http://" + bridge.Address()
	agent := rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("the site lags, serves, and follows", t, func() {
		rig.eventually("an order", func() bool { return entry.call(t.Context(), "POST", "/orders", "{}").status == 200 })
		bridge.Refuse(true)
		bridge.Cut()
		text, code := configure(t, "apply", "-platform", whole, "-base", baseFile(t, "b.toml", 4), "-edited-from", "1", "-wait", "-timeout", "3s")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "revision 2 is accepted, and")
		So(text, ShouldContainSubstring, "orders-1")
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
		So(entry.configOf(t.Context()).Revision, ShouldEqual, 1)
		bridge.Refuse(false)
		rig.eventuallyAt(2, agent, entry)
	})
}

func TestASlowStoreDoesNotHoldUpCalls(t *testing.T) {
	t.Parallel()
	// Callers notice nothing.
	// Every call to the store takes a minute, so each ends in a timeout; chats
	// and plain calls that need no claim are served meanwhile. Each call's own
	// deadline is shorter than one call to the store.
	rig := newRig(t, quickConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{})
	rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("calls are served while the store hangs", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{Slow: timekeeper.Minute})
		rig.eventually("the store is missed", func() bool { return len(entry.logged("configuration not read")) > 0 })
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), (storekeeper.CallTimeout / 2).Duration())
			So(entry.call(ctx, "POST", "/v1/chat/completions", chat(2, "a quick question")).status, ShouldEqual, 200)
			So(entry.call(ctx, "GET", "/orders", "").status, ShouldEqual, 200)
			cancel()
		}
	})
}
