package integration

import (
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
)

func TestEnginesReachTheConfiguredRoleVersionAndAdapters(t *testing.T) {
	t.Parallel()
	// Guards against calls for an adapter that reach an engine without it.
	// Three engines receive orders for a role and a version. The adapter is rarely
	// requested, so it is loaded on two of them, and its calls go only to these two.
	bundle := orderConfig(`["vans"]`, true)
	bundle.Base = strings.Replace(bundle.Base, `models = ["planner"]`, "models = [\"planner\", \"vans\"]\nrole = \"decode\"\nversion = \"7\"\n", 1)
	rig := newRig(t, bundle)
	for _, name := range []string{"planner-1", "planner-2", "planner-3"} {
		rig.addPlanner(name, imitator.EngineSettings{ChecksOrders: true})
	}
	entry := rig.addEntry("entry-1")
	holders := func() []string {
		var names []string
		for name, engine := range rig.engines {
			if slices.Contains(engine.Orders().Loaded, "vans") {
				names = append(names, name)
			}
		}
		return names
	}
	Convey("engines have the role, version and adapter of the configuration", t, func() {
		rig.eventually("every engine has its role and version", func() bool {
			for _, engine := range rig.engines {
				if state := engine.Orders(); state.Role != "decode" || state.Version != "7" {
					return false
				}
			}
			return len(holders()) == 2
		})
		body := strings.Replace(chatBody(2, "a van to the market"), `"model":"planner"`, `"model":"vans"`, 1)
		rig.eventually("a call for the adapter is served", func() bool {
			return entry.call(t.Context(), "POST", "/v1/chat/completions", body).status == 200
		})
		for range 20 {
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", body)
			So(got.status, ShouldEqual, 200)
			So(holders(), ShouldContain, got.header.Get("Trefoilseam-Upstream"))
		}
		So(holders(), ShouldHaveLength, 2)
	})
}
