package explainer

import (
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

const entry1Log = `starting up
{"level":"info","msg":"replica listed","process":"entry-1","replica":"i-1","time":"2026-12-02T10:00:01.000Z","gone":false}
{"level":"info","msg":"replica listed","process":"entry-1","replica":"i-9","time":"2026-12-02T10:00:03.000Z","gone":true}
{"level":"info","msg":"request placed","process":"entry-1","replica":"i-1","request-id":"r1","held":2,"time":"2026-12-02T10:00:03.500Z"}
{"level":"warning","msg":"request failed","process":"entry-1","replica":"i-1","request-id":"r1","kind":"upstream-broken","time":"2026-12-02T10:00:04.000Z"}
{"level":"info","msg":"request answered","process":"entry-1","replica":"i-1","request-id":"r2","time":"2026-12-02T10:00:04.000Z"}
`

const entry2Log = `{"level":"warning","msg":"replica suspected","process":"entry-2","replica":"i-1","time":"2026-12-02T10:00:03.900Z","reason":"refused"}
{"level":"warning","msg":"store lost","process":"entry-2","time":"2026-12-02T10:00:03.900Z"}
{"level":"warning","msg":"replica suspected","process":"entry-2","replica":"i-1","time":"2026-12-02T10:00:30.000Z"}
`

// logfmtLog is a log in logfmt with the prefix of a log collector on each line.
const logfmtLog = `starting up
node-7 | time="2026-12-02T10:00:03.500Z" level=info msg="request placed" held=2 process=entry-1 replica=i-1 request-id=r1
node-7 | time="2026-12-02T10:00:04.000Z" level=warning msg="request failed" cause="read tcp {1}: reset" process=entry-1 replica=i-1 request-id=r1
`

func TestTimelineOfMixedFormats(t *testing.T) {
	// One entry writes logfmt and another JSON, as after a change of settings.
	timeline, err := Read("r1", strings.NewReader(logfmtLog), strings.NewReader(entry2Log))
	var out strings.Builder
	writeErr := timeline.Write(&out)
	Convey("lines of both formats are read", t, func() {
		So(err, ShouldBeNil)
		So(writeErr, ShouldBeNil)
		So(timeline.Skipped, ShouldEqual, 1)
		So(out.String(), ShouldEqual, ""+
			"       0 ms * entry-1                request placed replica=i-1 held=2\n"+
			"     400 ms   entry-2                replica suspected replica=i-1 reason=refused\n"+
			"     500 ms * entry-1                request failed replica=i-1 cause=read tcp {1}: reset\n")
	})
}

func TestTimelineOfSeveralLogs(t *testing.T) {
	timeline, err := Read("r1", strings.NewReader(entry1Log), strings.NewReader(entry2Log))
	var out strings.Builder
	writeErr := timeline.Write(&out)
	Convey("decisions about the request and states of its replica, in order of time", t, func() {
		So(err, ShouldBeNil)
		So(writeErr, ShouldBeNil)
		So(timeline.Skipped, ShouldEqual, 1)
		So(out.String(), ShouldEqual, ""+
			"       0 ms   entry-1                replica listed replica=i-1 gone=false\n"+
			"    2500 ms * entry-1                request placed replica=i-1 held=2\n"+
			"    2900 ms   entry-2                replica suspected replica=i-1 reason=refused\n"+
			"    3000 ms * entry-1                request failed replica=i-1 kind=upstream-broken\n")
	})
	Convey("a request that no line names", t, func() {
		_, err := Read("r7", strings.NewReader(entry1Log))
		So(eris.Is(err, ErrRequestNotFound), ShouldBeTrue)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`x {"time":"2026-12-02T10:00:01.000Z","msg":1}`))
	f.Fuzz(func(_ *testing.T, text []byte) { parse(text) })
}
