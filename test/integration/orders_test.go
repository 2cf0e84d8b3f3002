package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// orderConfig returns quickConfig with adapters, a lease of one second and engine
// orders of at most 500 ms.
func orderConfig(adapters string, checks bool) resolver.Bundle {
	bundle := quickConfig()
	bundle.Base = strings.Replace(bundle.Base, `kind = "model"`, "kind = \"model\"\nadapters = "+adapters+
		"\nchecks-orders = "+strconv.FormatBool(checks)+"\nlongest-order = \"500ms\"\nloads-a-minute = 600\n", 1)
	bundle.Base += "order-lease = \"1s\"\n"
	return bundle
}

func TestAPausedLeaseHolderGivesNoStaleOrders(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{false, true} {
		t.Run("engine checks fences: "+strconv.FormatBool(checks), func(t *testing.T) {
			t.Parallel()
			pauseLeaseHolder(t, checks)
		})
	}
}

func pauseLeaseHolder(t *testing.T, checks bool) {
	t.Helper()
	// Guards against stale orders from a former lease holder, for engines that check
	// the fence numbers of orders and for engines that ignore them. The entry that
	// holds the lease is paused; operators change the adapters; another entry takes
	// the lease and sends orders. The first entry resumes after its lease has
	// expired: it must send no order after those of the new holder, and the engine
	// ends with the configured adapters. In an outage of the store nothing changes.
	rig := newRig(t, orderConfig(`["vans"]`, checks))
	rig.addPlanner("planner-1", imitator.EngineSettings{ChecksOrders: checks})
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	engine := rig.engines["planner-1"]
	loaded := func(want string) func() bool {
		return func() bool { return fmt.Sprint(engine.Orders().Loaded) == want }
	}
	Convey("the orders of the new holder are the last", t, func() {
		rig.eventually("the first adapter is loaded", loaded("[vans]"))
		holder := slices.IndexFunc(entries, func(entry *process) bool { return len(entry.logged("planner")) > 0 })
		entries[holder].signal(syscall.SIGSTOP)
		file := filepath.Join(t.TempDir(), "base.toml")
		So(os.WriteFile(file, []byte(orderConfig(`["menus"]`, checks).Base), 0o600), ShouldBeNil)
		text, code := configure(t, "apply", "-platform", rig.platformURL, "-base", file, "-edited-from", "1")
		So(text, ShouldContainSubstring, "accepted")
		So(code, ShouldEqual, 0)
		rig.eventually("the other entry orders the new adapter", loaded("[menus]"))
		before := len(entries[holder].logged("configuration in force"))
		entries[holder].signal(syscall.SIGCONT)
		rig.eventually("the first entry has resumed", func() bool {
			return len(entries[holder].logged("configuration in force")) > before
		})
		rig.eventually("a lease is held again", func() bool { return len(entries[1-holder].logged("planner")) > 0 })
		carriedOut := engine.Orders().Orders
		fences := make([]uint64, 0, len(carriedOut))
		for _, order := range carriedOut {
			fences = append(fences, order.Fence)
		}
		So(slices.IsSorted(fences), ShouldBeTrue)
		So(len(slices.Compact(fences)), ShouldBeGreaterThan, 1)
		So(loaded("[menus]")(), ShouldBeTrue)
	})
	Convey("with the store down, engines receive no orders", t, func() {
		orders := len(engine.Orders().Orders)
		rig.platform.SetFaults(imitator.PlatformFaults{Down: true})
		rig.eventually("the entries log the failed lease access", func() bool {
			return len(entries[0].logged("lease not read or written"))+len(entries[1].logged("lease not read or written")) > 2
		})
		So(engine.Orders().Orders, ShouldHaveLength, orders)
		rig.platform.SetFaults(imitator.PlatformFaults{})
		head, _, err := publisher.ReadHead(t.Context(), rig.platform.InProcess())
		So(err, ShouldBeNil)
		So(head.Revision, ShouldEqual, 2)
	})
}
