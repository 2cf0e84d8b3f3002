package relayer

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// counted returns the values of the counters with a name, by the value of a tag.
func counted(scope tally.TestScope, name, tag string) map[string]int64 {
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == name {
			counts[counter.Tags()[tag]] += counter.Value()
		}
	}
	return counts
}

func TestWhyAConnectionIsClosedWithARequestOnIt(t *testing.T) {
	// Guards against callers that are cut off without a log line and a metric that say why.
	half := func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "{id}", id)+"\r\n"+twoEvents)
	}
	silent := func(conn net.Conn, _ string) { _, _ = io.Copy(io.Discard, conn) }
	reset := func(conn net.Conn, id string) {
		half(conn, id)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	tests := []struct {
		name    string
		route   router.Route
		replica func(conn net.Conn, id string)
		leaves  timekeeper.Span
		cause   cutCause
		kind    string
	}{
		{"the caller leaves", router.Route{Kind: router.Once}, silent, 100, cutCallerLeft, "caller-gone"},
		{"a stream breaks off", router.Route{Kind: router.Stream}, reset, 0, cutBrokenAnswer, "upstream-broken"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, scope := endlessEntry(t, twoReplicas(t, test.replica, test.replica), test.route, Call{Deadline: 5 * timekeeper.Second})
			log, lines := logtest.NewNullLogger()
			entry.settings.Log = log
			front := httptest.NewServer(entry)
			defer front.Close()
			_, _, err := post(t, front, test.leaves)
			So(err, ShouldNotBeNil)
			clock := timekeeper.Steady()
			for began := clock.Now(); entry.Active() > 0 && clock.Now().Since(began) < 5*timekeeper.Second; {
				_ = clock.Sleep(t.Context(), 5)
			}
			So(counted(scope, "relay.cut", "cause"), ShouldResemble, map[string]int64{string(test.cause): 1})
			found := ""
			for _, line := range lines.AllEntries() {
				if line.Message == "request failed" {
					found = line.Data[labelKind].(string)
				}
			}
			So(found, ShouldEqual, test.kind)
		})
	}
}
