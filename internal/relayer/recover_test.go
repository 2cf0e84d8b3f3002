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
	panics := func(entry *Entry) map[string]func() {
		dialect := &entry.settings.Dialect
		return map[string]func(){
			"while the head of the request is read": func() { dialect.ReadCall = func(*http.Request) (Call, error) { panic("odd request") } },
			"while the request is prepared":         func() { dialect.Dispatch = func(*http.Request, Dispatch) http.Header { panic("odd request") } },
			"while the answer is passed on":         func() { dialect.CopyAnswer = func(_, _ http.Header) { panic("odd answer") } },
		}
	}
	for _, name := range []string{"while the head of the request is read", "while the request is prepared", "while the answer is passed on"} {
		Convey(name, t, func() {
			entry, scope := endlessEntry(t, twoReplicas(t, sound, sound), router.Route{Kind: router.Once}, Call{Deadline: timekeeper.Minute})
			log, lines := logtest.NewNullLogger()
			entry.settings.Log = log
			panics(entry)[name]()
			front := httptest.NewServer(entry)
			defer front.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, strings.NewReader("lunch"))
			So(err, ShouldBeNil)
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusInternalServerError)
			So(string(body), ShouldContainSubstring, `"ran":"unknown"`)
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
