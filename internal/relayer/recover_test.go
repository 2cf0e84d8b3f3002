package relayer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAPanicWhileARequestIsHandled(t *testing.T) {
	// Guards against a caller without an answer, and a replica that counts as busy for good, after a panic.
	sound := func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Connection: close\r\nContent-Length: 5\r\n\r\nsound")
	}
	tests := []struct {
		name  string
		panic func(dialect *Dialect)
	}{
		{"while the head of the request is read", func(dialect *Dialect) { dialect.ReadCall = func(*http.Request) (Call, error) { panic("odd request") } }},
		{"while the request is prepared", func(dialect *Dialect) {
			dialect.Dispatch = func(*http.Request, Dispatch) http.Header { panic("odd request") }
		}},
		{"while the answer is passed on", func(dialect *Dialect) { dialect.CopyAnswer = func(_, _ http.Header) { panic("odd answer") } }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, scope := endlessEntry(t, twoReplicas(t, sound, sound), router.Route{Kind: router.Once}, Call{Deadline: timekeeper.Minute})
			log, lines := logtest.NewNullLogger()
			entry.settings.Log = log
			test.panic(&entry.settings.Dialect)
			front := httptest.NewServer(entry)
			defer front.Close()
			status, body, err := post(t, front, timekeeper.Minute)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusInternalServerError)
			So(body, ShouldContainSubstring, `"ran":"unknown"`)
			So(counted(scope, "relay.panics", ""), ShouldResemble, map[string]int64{"": 1})
			So(lines.LastEntry().Message, ShouldEqual, "request panicked")
			So(lines.LastEntry().Data["stack"], ShouldContainSubstring, "recover_test.go")
			inFlight := 0
			entry.settings.Fleet.With(func(fleet *balancer.Fleet) {
				for _, held := range fleet.InFlight(timekeeper.Steady().Now()) {
					inFlight += held.Running
				}
			})
			So(inFlight, ShouldEqual, 0)
			So(entry.Active(), ShouldEqual, 0)
		})
	}
}
