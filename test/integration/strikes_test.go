package integration

import (
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// crashes returns how many engines crashed.
func (rig *rig) crashes() int {
	total := 0
	for _, engine := range rig.engines {
		total += engine.Counts().Crashes
	}
	return total
}

// command runs the binary once and returns what it printed.
func command(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), binary, args...).CombinedOutput()
	if err != nil {
		t.Fatal(args, err, string(out))
	}
	return string(out)
}

func TestARequestThatCrashesEnginesCostsTwo(t *testing.T) {
	t.Parallel()
	// The bad request's caller sees "upstream-broken" twice, then "struck, not
	// run"; callers that shared an engine see a broken answer once and then a whole one.
	// Each crash strikes what was in flight. The second try runs alone, on
	// whichever engine and through whichever entry, and the third is refused.
	rig := newRig(t, siteConfig())
	for i := range 4 {
		rig.addPlanner("planner-"+strconv.Itoa(i+1), imitator.EngineSettings{
			Poison: "venom", RestartTime: 100 * timekeeper.Millisecond, Step: 2 * timekeeper.Millisecond,
		})
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	// until resends a chat through the entries in turn, up to a number of times.
	until := func(words string, tries int, stop func(got reply) bool) reply {
		var got reply
		for i := range tries {
			got = entries[i%2].call(t.Context(), "POST", "/v1/chat/completions", chat(40, words))
			if stop(got) {
				return got
			}
		}
		return got
	}
	whole := func(got reply) bool { return got.err == nil && got.status == 200 }
	struck := func(got reply) bool { return got.status == 422 }
	Convey("two engines are lost and no innocent request is refused", t, func() {
		var callers sync.WaitGroup
		results := make([]reply, 24)
		for i := range results {
			callers.Go(func() {
				results[i] = until("innocent "+strconv.Itoa(i), 200, func(got reply) bool { return whole(got) || struck(got) })
			})
		}
		var bad reply
		callers.Go(func() { bad = until("venom", 400, struck) })
		callers.Wait()
		So(bad.status, ShouldEqual, 422)
		So(bad.ran(), ShouldEqual, "no")
		So(rig.crashes(), ShouldEqual, 2)
		for _, got := range results {
			So(got.status, ShouldEqual, 200)
		}
	})
	Convey("an operator sees the verdict and lifts it", t, func() {
		var barred []string
		for line := range strings.Lines(command(t, "strikes", "list", "-platform", rig.base)) {
			if fields := strings.Fields(line); fields[1] == "2" {
				barred = append(barred, fields[0])
			}
		}
		So(len(barred), ShouldEqual, 1)
		command(t, "strikes", "lift", "-platform", rig.base, barred[0])
		So(command(t, "strikes", "list", "-platform", rig.base), ShouldNotContainSubstring, barred[0])
	})
}
