package integration

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/caller"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var (
	eventIDs = regexp.MustCompile(`(?m)^id: .*\n`)
	answerID = regexp.MustCompile(`"id":"[^"]*"`)
)

// wordsOf returns a stream without its ids, which differ from run to run. The
// parts of two runs under one another keep theirs, and so are seen.
func wordsOf(body string) string {
	return strings.ReplaceAll(eventIDs.ReplaceAllString(body, ""), answerID.FindString(body), "")
}

func TestAStreamCutAtAnyByteIsWhole(t *testing.T) {
	t.Parallel()
	// The caller sees the whole stream, or a refusal that truly says "not run".
	// The connection between entry and agent is cut after each byte of a clean
	// run in turn, so after each frame's edge too, in each direction. The entry
	// dials again, looks the request up from the byte that the caller has, and
	// goes on; what had not arrived is buried before the caller is told so.
	for _, direction := range []disturber.Direction{disturber.ToTarget, disturber.FromTarget} {
		t.Run(strconv.Itoa(int(direction)), func(t *testing.T) {
			t.Parallel()
			cutStreams(t, direction)
		})
	}
}

func cutStreams(t *testing.T, direction disturber.Direction) {
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: timekeeper.Millisecond})
	entry, proxy, engine := rig.addEntry("entry-1"), rig.proxies["planner-1"], rig.engines["planner-1"]
	body := chat(4, "route of van seven")
	proxy.Cut()
	proxy.Set(direction, disturber.Fault{})
	clean := entry.call(t.Context(), "POST", "/v1/chat/completions", body)
	// Ids grow, and the frame that closes a stream comes after the answer.
	const margin = 48
	total := proxy.BytesForwarded(direction) + margin
	Convey("cut after each of "+strconv.FormatInt(total, 10)+" bytes", t, func() {
		So(clean.body, ShouldEndWith, wholeStream)
		whole := int64(0)
		for at := int64(1); at <= total; at++ {
			proxy.Cut()
			proxy.Set(direction, disturber.Fault{CutAfter: at, Once: true})
			before := engine.Counts().Runs
			got := entry.call(t.Context(), "POST", "/v1/chat/completions", body)
			So(got.err, ShouldBeNil)
			if got.ran() == "no" {
				So(engine.Counts().Runs, ShouldEqual, before)
				continue
			}
			So(wordsOf(got.body), ShouldEqual, wordsOf(clean.body))
			So(engine.Counts().Runs, ShouldEqual, before+1)
			whole++
		}
		t.Log("whole after", whole, "of", total, "cuts, the others not run")
		So(whole, ShouldBeBetween, 0, total)
	})
}

func TestACallerWhoseConnectionIsCutResumes(t *testing.T) {
	t.Parallel()
	// The caller's own connection is cut after each stretch of bytes in turn,
	// in each direction, and it comes back with the id of the last event that
	// it has. It sees each event once, in order, to the end: the agent keeps
	// the run for its grace, and any entry finds it by the id alone.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: timekeeper.Millisecond})
	cut, closeCut, err := disturber.New(rig.addEntry("entry-1").address, rig.clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeCut)
	other := rig.addEntry("entry-2")
	van := caller.New(caller.Settings{
		Entries: []string{"http://" + cut.Address(), "http://" + other.address}, Key: teamKey, Pause: timekeeper.Millisecond,
	})
	stream := func() (string, error) {
		var got strings.Builder
		call := caller.Call{Method: "POST", Path: "/v1/chat/completions", Body: []byte(chat(6, "route of van nine"))}
		err := van.Stream(t.Context(), call, func(event caller.Event) error {
			got.WriteString(event.Data + "\n")
			return nil
		})
		return wordsOf(got.String()), err
	}
	for _, direction := range []disturber.Direction{disturber.ToTarget, disturber.FromTarget} {
		cut.Set(direction, disturber.Fault{})
		clean, err := stream()
		total := cut.BytesForwarded(direction)
		Convey("direction "+strconv.Itoa(int(direction))+", "+strconv.FormatInt(total, 10)+" bytes", t, func() {
			So(err, ShouldBeNil)
			const step = 7
			for at := int64(1); at <= total; at += step {
				cut.Set(direction, disturber.Fault{CutAfter: at, Once: true})
				got, err := stream()
				So(err, ShouldBeNil)
				So(got, ShouldEqual, clean)
			}
		})
	}
}
