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

// withoutIDs removes the event ids and the id of the answer from a stream, since they
// differ from run to run. A stream that mixes two runs keeps the id of the second,
// so a comparison fails.
func withoutIDs(body string) string {
	return strings.ReplaceAll(eventIDs.ReplaceAllString(body, ""), answerID.FindString(body), "")
}

func TestAStreamCutAtAnyByteIsComplete(t *testing.T) {
	t.Parallel()
	// Guards against a stream that is incomplete or runs twice. The connection
	// between entry and agent is cut after each byte of a clean run, so at each
	// frame boundary too, in each direction. The entry dials again, looks the
	// request up from the last byte that the caller has, and continues; a request
	// that had not arrived gets a tombstone before the caller gets "not run".
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
	body := chatBody(4, "route of van seven")
	proxy.Cut()
	proxy.Set(direction, disturber.Fault{})
	clean := entry.call(t.Context(), "POST", "/v1/chat/completions", body)
	// Ids get longer, and the frame that closes a stream comes after the answer.
	const extraBytes = 48
	total := proxy.BytesForwarded(direction) + extraBytes
	Convey("cut after each of "+strconv.FormatInt(total, 10)+" bytes", t, func() {
		So(clean.body, ShouldEndWith, streamEnd)
		completed := int64(0)
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
			So(withoutIDs(got.body), ShouldEqual, withoutIDs(clean.body))
			So(engine.Counts().Runs, ShouldEqual, before+1)
			completed++
		}
		t.Log("complete after", completed, "of", total, "cuts, the others not run")
		So(completed, ShouldBeBetween, 0, total)
	})
}

func TestACallerWhoseConnectionIsCutResumes(t *testing.T) {
	t.Parallel()
	// Guards against lost or repeated events when the caller's own connection is cut,
	// after every seventh byte and in each direction. The caller reconnects with the
	// id of its last event; the agent keeps the run for the grace period, and any
	// entry finds it by the id alone. The caller gets each event once, in order.
	rig := newRig(t, siteConfig())
	rig.addPlanner("planner-1", imitator.EngineSettings{Step: timekeeper.Millisecond})
	proxy, closeProxy, err := disturber.New(rig.addEntry("entry-1").address, rig.clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeProxy)
	other := rig.addEntry("entry-2")
	client := caller.New(caller.Settings{
		Entries: []string{"http://" + proxy.Address(), "http://" + other.address}, Key: teamKey, Pause: timekeeper.Millisecond,
	})
	stream := func() (string, error) {
		var got strings.Builder
		call := caller.Call{Method: "POST", Path: "/v1/chat/completions", Body: []byte(chatBody(6, "route of van nine"))}
		err := client.Stream(t.Context(), call, func(event caller.Event) error {
			got.WriteString(event.Data + "\n")
			return nil
		})
		return withoutIDs(got.String()), err
	}
	for _, direction := range []disturber.Direction{disturber.ToTarget, disturber.FromTarget} {
		proxy.Set(direction, disturber.Fault{})
		clean, err := stream()
		total := proxy.BytesForwarded(direction)
		Convey("direction "+strconv.Itoa(int(direction))+", "+strconv.FormatInt(total, 10)+" bytes", t, func() {
			So(err, ShouldBeNil)
			const step = 7
			for at := int64(1); at <= total; at += step {
				proxy.Set(direction, disturber.Fault{CutAfter: at, Once: true})
				got, err := stream()
				So(err, ShouldBeNil)
				So(got, ShouldEqual, clean)
			}
		})
	}
}
