package explainer

import (
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

const first = `starting up
{"level":"info","msg":"replica listed","process":"entry-1","replica":"i-1","time":"2026-12-02T10:00:01.000Z","gone":false}
{"level":"info","msg":"replica listed","process":"entry-1","replica":"i-9","time":"2026-12-02T10:00:03.000Z","gone":true}
{"level":"info","msg":"request placed","process":"entry-1","replica":"i-1","request-id":"r1","held":2,"time":"2026-12-02T10:00:03.500Z"}
{"level":"warning","msg":"request failed","process":"entry-1","replica":"i-1","request-id":"r1","kind":"upstream-broken","time":"2026-12-02T10:00:04.000Z"}
{"level":"info","msg":"request answered","process":"entry-1","replica":"i-1","request-id":"r2","time":"2026-12-02T10:00:04.000Z"}
`

const second = `{"level":"warning","msg":"replica suspected","process":"entry-2","replica":"i-1","time":"2026-12-02T10:00:03.900Z","reason":"refused"}
{"level":"warning","msg":"store lost","process":"entry-2","time":"2026-12-02T10:00:03.900Z"}
{"level":"warning","msg":"replica suspected","process":"entry-2","replica":"i-1","time":"2026-12-02T10:00:30.000Z"}
`

// pairs is a log in logfmt, behind what a collector of logs puts before a line.
const pairs = `starting up
node-7 | time="2026-12-02T10:00:03.500Z" level=info msg="request placed" held=2 process=entry-1 replica=i-1 request-id=r1
node-7 | time="2026-12-02T10:00:04.000Z" level=warning msg="request failed" cause="read tcp {1}: reset" process=entry-1 replica=i-1 request-id=r1
`

func TestAStoryFromALogInLogfmt(t *testing.T) {
	// One entry writes JSON and another logfmt, as after a change of its settings.
	story, err := Read("r1", strings.NewReader(pairs), strings.NewReader(second))
	var out strings.Builder
	writing := story.Write(&out)
	Convey("lines of both are read", t, func() {
		So(err, ShouldBeNil)
		So(writing, ShouldBeNil)
		So(story.Skipped, ShouldEqual, 1)
		So(out.String(), ShouldEqual, ""+
			"       0 ms * entry-1                request placed replica=i-1 held=2\n"+
			"     400 ms   entry-2                replica suspected replica=i-1 reason=refused\n"+
			"     500 ms * entry-1                request failed replica=i-1 cause=read tcp {1}: reset\n")
	})
}

func TestAStoryFromSeveralLogs(t *testing.T) {
	story, err := Read("r1", strings.NewReader(first), strings.NewReader(second))
	var out strings.Builder
	writing := story.Write(&out)
	Convey("what was decided, and what was believed of its replica, in order", t, func() {
		So(err, ShouldBeNil)
		So(writing, ShouldBeNil)
		So(story.Skipped, ShouldEqual, 1)
		So(out.String(), ShouldEqual, ""+
			"       0 ms   entry-1                replica listed replica=i-1 gone=false\n"+
			"    2500 ms * entry-1                request placed replica=i-1 held=2\n"+
			"    2900 ms   entry-2                replica suspected replica=i-1 reason=refused\n"+
			"    3000 ms * entry-1                request failed replica=i-1 kind=upstream-broken\n")
	})
	Convey("a request that nobody names", t, func() {
		_, err := Read("r7", strings.NewReader(first))
		So(eris.Is(err, ErrRequestNotFound), ShouldBeTrue)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`x {"time":"2026-12-02T10:00:01.000Z","msg":1}`))
	f.Fuzz(func(_ *testing.T, text []byte) { parse(text) })
}
