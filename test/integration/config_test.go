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

// configure runs "trefoilseam config" and returns its output and exit code.
func configure(t *testing.T, args ...string) (text string, code int) {
	t.Helper()
	command := exec.CommandContext(t.Context(), binary, append([]string{"config"}, args...)...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// quickConfig returns siteConfig with a short interval between reads of the store.
func quickConfig() resolver.Bundle {
	bundle := siteConfig()
	bundle.Base += "\n[limits]\npoll-every = \"300ms\"\n"
	return bundle
}

// baseFile writes quickConfig with the number of slots to a file and returns its path.
func baseFile(t *testing.T, name string, slots int) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	text := strings.Replace(quickConfig().Base, `kind = "plain"`, fmt.Sprintf("kind = \"plain\"\nslots = %d\n", slots), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// configStatus returns the configuration status that a process reports.
func (proc *process) configStatus(ctx context.Context) publisher.Status {
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

func (rig *rig) eventuallyAtRevision(revision uint64, procs ...*process) {
	rig.t.Helper()
	for _, proc := range procs {
		rig.eventually(fmt.Sprintf("revision %d at %s", revision, proc.address), func() bool {
			return proc.configStatus(rig.t.Context()).Revision == revision
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
		return configure(t, append([]string{"apply", "-platform", rig.platformURL, "-operator", "almaz"}, args...)...)
	}
	four := baseFile(t, "four.toml", 4)
	Convey("check reports each fault with its line and exits with 2", t, func() {
		bad := filepath.Join(t.TempDir(), "bad.toml")
		So(os.WriteFile(bad, []byte("[services.x]\nkind = \"other\"\nslts = 3\n"), 0o600), ShouldBeNil)
		text, code := configure(t, "check", "-base", bad)
		So(code, ShouldEqual, 2)
		So(text, ShouldContainSubstring, "bad.toml:2: service x is of kind")
		So(text, ShouldContainSubstring, "bad.toml:3: unknown key services.x.slts")
	})
	Convey("a change is in force at every live process when apply returns", t, func() {
		rig.eventually("the entry serves an order", func() bool {
			return entry.call(t.Context(), "POST", "/orders", "{}").status == 200
		})
		text, code := apply("-base", four, "-edited-from", "1", "-wait", "-comment", "more")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "accepted: revision 2")
		So(text, ShouldContainSubstring, "in force: revision 2 at")
		So(rig.agents["orders-1"].configStatus(t.Context()).Revision, ShouldEqual, 2)
	})
	Convey("the same apply again succeeds without a new revision", t, func() {
		text, code := apply("-base", four, "-edited-from", "1")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "revision 2")
	})
	Convey("apply from an old revision reports the newer changes", t, func() {
		text, code := apply("-base", baseFile(t, "five.toml", 5), "-edited-from", "1")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "revision 2 by almaz")
		So(text, ShouldContainSubstring, "+ services.orders.slots = 4")
	})
	Convey("a rollback creates a new revision", t, func() {
		text, code := apply("-rollback-to", "1", "-wait")
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "accepted: revision 3")
		text, _ = configure(t, "history", "-platform", rig.platformURL)
		So(strings.Count(text, "\n"), ShouldEqual, 4)
		So(text, ShouldContainSubstring, "back to 1.")
		rig.eventuallyAtRevision(3, entry)
	})
	Convey("apply names the process that lacks the revision; status lists the processes", t, func() {
		rig.proxies["orders-2"].Refuse(true)
		rig.proxies["orders-2"].Cut()
		text, code := apply("-base", four, "-edited-from", "3", "-wait", "-timeout", "4s")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "orders-2")
		So(text, ShouldNotContainSubstring, "orders-1")
		text, code = configure(t, "status", "-platform", rig.platformURL)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "revision 4")
		So(text, ShouldContainSubstring, "entry-1")
	})
}

func TestConcurrentApplyHasOneWinner(t *testing.T) {
	t.Parallel()
	// Guards against lost or doubled changes when two operators run the command at
	// the same time from the same revision, while the store loses writes and
	// answers. One apply is accepted and the other reports the newer change; the
	// history has each accepted change once, in order.
	const rounds = 8
	rig := newRig(t, quickConfig())
	Convey("one apply is accepted in each round", t, func() {
		for round := range rounds {
			rig.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: round % 3, LoseWrites: round % 2})
			var operators sync.WaitGroup
			codes := [2]int{}
			for i := range codes {
				file := baseFile(t, "base.toml", 2+2*round+i)
				operators.Go(func() {
					_, codes[i] = configure(t, "apply", "-platform", rig.platformURL, "-base", file,
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

func TestASiteThatLosesTheStoreCatchesUp(t *testing.T) {
	t.Parallel()
	// Guards against failed calls at a site that can't reach the store. A change is
	// accepted meanwhile, and the command names the processes that lag. The site
	// keeps the revision in force, and applies the change within the bound once it
	// reaches the store again.
	rig := newRig(t, quickConfig())
	directURL := rig.platformURL
	storeProxy, closeStoreProxy, err := disturber.New(strings.TrimPrefix(rig.platformURL, "http://"), rig.clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeStoreProxy)
	rig.platformURL = "http://" + storeProxy.Address()
	agent := rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("the site serves on the old revision and then applies the new one", t, func() {
		rig.eventually("an order is served", func() bool { return entry.call(t.Context(), "POST", "/orders", "{}").status == 200 })
		storeProxy.Refuse(true)
		storeProxy.Cut()
		text, code := configure(t, "apply", "-platform", directURL, "-base", baseFile(t, "b.toml", 4), "-edited-from", "1", "-wait", "-timeout", "3s")
		So(code, ShouldEqual, 1)
		So(text, ShouldContainSubstring, "revision 2 is accepted, and")
		So(text, ShouldContainSubstring, "orders-1")
		So(entry.call(t.Context(), "POST", "/orders", "{}").status, ShouldEqual, 200)
		So(entry.configStatus(t.Context()).Revision, ShouldEqual, 1)
		storeProxy.Refuse(false)
		rig.eventuallyAtRevision(2, agent, entry)
	})
}

func TestASlowStoreDoesNotHoldUpCalls(t *testing.T) {
	t.Parallel()
	// Guards against calls that wait for the store. Every call to the store takes
	// a minute, so each ends in a timeout; chats and plain calls that need no claim
	// are served meanwhile. Their deadlines are shorter than one call to the store.
	rig := newRig(t, quickConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{})
	rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	Convey("calls are served while the store hangs", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{Slow: timekeeper.Minute})
		rig.eventually("the entry logs the failed read", func() bool { return len(entry.logged("configuration not read")) > 0 })
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), (storekeeper.CallTimeout / 2).Duration())
			So(entry.call(ctx, "POST", "/v1/chat/completions", chatBody(2, "a quick question")).status, ShouldEqual, 200)
			So(entry.call(ctx, "GET", "/orders", "").status, ShouldEqual, 200)
			cancel()
		}
	})
}
