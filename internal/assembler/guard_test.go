package assembler

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestAPanicDoesNotCutOffRequests(t *testing.T) {
	// Guards against a panic in a background goroutine that ends the process with the requests in flight.
	entry := newStoppingEntry(t, testTimeout)
	log, lines := logtest.NewNullLogger()
	entry.guard.log = log
	var group run.Group
	entry.AddTo(&group)
	entry.startGate.open()
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	conn, err := entry.call(t, emulator.RequestHead(http.MethodPost, host, "/news/long", "long", 2)+"{")
	if err != nil {
		t.Fatal(err)
	}
	for entry.frontend.Active() == 0 {
		_ = entry.clock.Sleep(t.Context(), 1)
	}
	Convey("the request is answered, and then the process ends with an error", t, func() {
		entry.guard.start("test", func() { panic("odd row") })
		for !entry.readiness.stopping.Load() {
			_ = entry.clock.Sleep(t.Context(), 1)
		}
		_, err := io.WriteString(conn, "}")
		So(err, ShouldBeNil)
		So(answered(conn), ShouldNotEqual, 0)
		err = <-ended
		So(eris.Is(err, errPanic), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "test: odd row")
		So(lines.LastEntry().Data["stack"], ShouldContainSubstring, "guard_test.go")
	})
}

func TestOtherActorsOutliveAPanic(t *testing.T) {
	// Guards against requests in flight that lose what they need, such as the list of replicas, when one loop panics.
	log := logrus.New()
	log.SetOutput(io.Discard)
	guard := newGuard(log, tally.NoopScope)
	served, stopped := make(chan struct{}), make(chan struct{})
	var stopOrder stages
	callers, rest := stopOrder.add(), stopOrder.add()
	callers.Add(func() error { <-served; return nil }, func(error) {})
	guard.addLoop(rest, "faulty", func(context.Context) { panic("odd row") })
	guard.addLoop(rest, "sound", func(ctx context.Context) {
		<-ctx.Done()
		close(stopped)
	})
	var group run.Group
	stopOrder.addTo(&group)
	guard.addTo(&group)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	const pause = 100 * timekeeper.Millisecond
	Convey("the others go on until the last caller has its answer", t, func() {
		_ = timekeeper.Steady().Sleep(t.Context(), pause)
		So(isClosed(stopped), ShouldBeFalse)
		close(served)
		So(eris.Is(<-ended, errPanic), ShouldBeTrue)
		So(isClosed(stopped), ShouldBeTrue)
	})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
