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

// crashes returns how often engines crashed.
func (rig *rig) crashes() int {
	total := 0
	for _, engine := range rig.engines {
		total += engine.Counts().Crashes
	}
	return total
}

// command runs the binary once and returns its output.
func command(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), binary, args...).CombinedOutput()
	if err != nil {
		t.Fatal(args, err, string(out))
	}
	return string(out)
}

func TestACrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	t.Parallel()
	// Guards against a request that crashes one engine after the other. Each crash
	// adds a strike to all requests in flight at the engine. The second attempt of a
	// struck request runs alone, on any engine and through any entry, and the third
	// is refused. Its caller gets "upstream-broken" twice, then "struck, not run";
	// callers that shared an engine get one broken answer, then a complete one.
	rig := newRig(t, siteConfig())
	for i := range 4 {
		rig.addPlanner("planner-"+strconv.Itoa(i+1), imitator.EngineSettings{
			Poison: "venom", RestartTime: 100 * timekeeper.Millisecond, Step: 2 * timekeeper.Millisecond,
		})
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	// resendUntil sends a chat through the entries in turn, up to a number of times.
	resendUntil := func(words string, tries int, stop func(got reply) bool) reply {
		var got reply
		for i := range tries {
			got = entries[i%2].call(t.Context(), "POST", "/v1/chat/completions", chatBody(40, words))
			if stop(got) {
				return got
			}
		}
		return got
	}
	complete := func(got reply) bool { return got.err == nil && got.status == 200 }
	struck := func(got reply) bool { return got.status == 422 }
	Convey("two engines crash and no other request is refused", t, func() {
		var callers sync.WaitGroup
		results := make([]reply, 24)
		for i := range results {
			callers.Go(func() {
				results[i] = resendUntil("innocent "+strconv.Itoa(i), 200, func(got reply) bool { return complete(got) || struck(got) })
			})
		}
		var bad reply
		callers.Go(func() { bad = resendUntil("venom", 400, struck) })
		callers.Wait()
		So(bad.status, ShouldEqual, 422)
		So(bad.ran(), ShouldEqual, "no")
		So(rig.crashes(), ShouldEqual, 2)
		for _, got := range results {
			So(got.status, ShouldEqual, 200)
		}
	})
	Convey("an operator lists the strikes and lifts those of the refused request", t, func() {
		var refused []string
		for line := range strings.Lines(command(t, "strikes", "list", "-platform", rig.platformURL)) {
			if fields := strings.Fields(line); fields[1] == "2" {
				refused = append(refused, fields[0])
			}
		}
		So(len(refused), ShouldEqual, 1)
		command(t, "strikes", "lift", "-platform", rig.platformURL, refused[0])
		So(command(t, "strikes", "list", "-platform", rig.platformURL), ShouldNotContainSubstring, refused[0])
	})
}
