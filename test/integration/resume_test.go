package integration

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// readEvents reads the first events of a stream, then closes the connection. It
// returns the text that it read and the id of the last event.
func readEvents(ctx context.Context, t *testing.T, proc *process, body string, events int) (part, last string) {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+proc.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for seen := 0; seen < events; {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		part += line
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = strings.TrimSpace(id)
		}
		if line == "\n" {
			seen++
		}
	}
	return part, last
}

func TestAStreamIsResumedThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	// Guards against lost or repeated events when an entry is killed after the caller
	// has received five events of a stream. The agent keeps the run alive for the
	// grace period. The caller sends Last-Event-ID to another entry, which finds the
	// replica by the id alone. The two parts together are the whole answer.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 10 * timekeeper.Millisecond})
	first, second := rig.addEntry("entry-1"), rig.addEntry("entry-2")
	body := chatBody(40, "rebuild the route of van seven")
	part, last := readEvents(t.Context(), t, first, body, 5)
	first.kill()
	Convey("the rest follows through the other entry", t, func() {
		rest := second.call(t.Context(), "POST", "/v1/chat/completions", body, "Last-Event-ID", last)
		So(rest.err, ShouldBeNil)
		So(rest.status, ShouldEqual, 200)
		So(rig.engines["planner-1"].Counts().Runs, ShouldEqual, 1)
		So(strings.Count(part+rest.body, "data: {"), ShouldEqual, 40)
		So(strings.HasSuffix(rest.body, "data: [DONE]\n\n"), ShouldBeTrue)
		again := second.call(t.Context(), "GET", "/v1/streams/"+last, "")
		So(again.body, ShouldEqual, rest.body)
	})
	tests := []struct{ name, method, id, key string }{
		{"an id that no agent issued", "GET", "planner-1.0.0.0000000", teamKey},
		{"an id of an unknown replica", "GET", strings.Replace(last, "planner-1", "planner-9", 1), teamKey},
		{"a malformed id", "GET", "nonsense", teamKey},
		{"another team's stream", "GET", last, "other-key"},
		{"another team's cancel", "DELETE", last, "other-key"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			got := second.call(t.Context(), test.method, "/v1/streams/"+test.id, "", "Authorization", "Bearer "+test.key)
			So(got.status, ShouldEqual, http.StatusGone)
		})
	}
}

func TestACancelReachesTheEngine(t *testing.T) {
	t.Parallel()
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: 10 * timekeeper.Millisecond})
	entry := rig.addEntry("entry-1")
	_, last := readEvents(t.Context(), t, entry, chatBody(10000, "an endless answer"), 2)
	Convey("a cancel by the caller ends the sequence at once", t, func() {
		got := entry.call(t.Context(), "DELETE", "/v1/streams/"+last, "")
		So(got.status, ShouldEqual, http.StatusNoContent)
		rig.eventually("the engine canceled", func() bool { return rig.engines["planner-1"].Counts().Canceled == 1 })
	})
}
