package relayer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// post sends a request to a server and returns the answer, or an error if it isn't whole within the patience.
func post(t *testing.T, server *httptest.Server, patience timekeeper.Span) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("lunch"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "kitchen.example"
	request.Header.Set("Id", "r-1")
	response, err := (&http.Client{Timeout: patience.Duration()}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func TestAnAnswerBeforeTheCallerLeaves(t *testing.T) {
	// Guards against a caller that leaves at its deadline without an answer, since the failure would follow later.
	const deadline = 600 * timekeeper.Millisecond
	silent := func(conn net.Conn, _ string) { _, _ = io.Copy(io.Discard, conn) }
	tests := []struct {
		name    string
		route   router.Route
		replica func(conn net.Conn, id string)
	}{
		{"once, a silent replica", router.Route{Kind: router.Once}, silent},
		{"safe, two silent replicas", router.Route{Kind: router.Safe}, silent},
		{"a stream, a silent replica", router.Route{Kind: router.Stream}, silent},
		{"once, half of an answer", router.Route{Kind: router.Once}, func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Content-Length: 10\r\n\r\nhalf")
			silent(conn, id)
		}},
		{"once, a route with a timeout just below the deadline", router.Route{Kind: router.Once, Timeout: deadline - 20}, silent},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, _ := endlessEntry(t, twoReplicas(t, test.replica, test.replica), test.route, Call{Deadline: deadline})
			front := httptest.NewServer(entry)
			defer front.Close()
			status, body, err := post(t, front, deadline)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusBadGateway)
			So(body, ShouldContainSubstring, `"ran":"unknown"`)
		})
	}
}

func TestARequestThatALateEntryCantAnswerInTime(t *testing.T) {
	// Guards against a request that runs although its entry lags too far behind to pass the answer on in time.
	const deadline = 2500 * timekeeper.Millisecond
	tests := []struct {
		name       string
		late       timekeeper.Span
		route      router.Route
		wantStatus int
		wantRuns   int32
	}{
		{"on time", 0, router.Route{Kind: router.Once}, http.StatusOK, 1},
		{"late, with time left", deadline / 3, router.Route{Kind: router.Once}, http.StatusOK, 1},
		{"later than the time left, before and after the request", deadline / 2, router.Route{Kind: router.Once}, http.StatusServiceUnavailable, 0},
		{"later than the time left", deadline, router.Route{Kind: router.Once}, http.StatusServiceUnavailable, 0},
		{"later than the time left, safe", deadline, router.Route{Kind: router.Safe}, http.StatusServiceUnavailable, 0},
		{"later than the time left, a stream", deadline, router.Route{Kind: router.Stream}, http.StatusServiceUnavailable, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var runs atomic.Int32
			answer := func(conn net.Conn, id string) {
				runs.Add(1)
				_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Connection: close\r\nContent-Length: 5\r\n\r\nsound")
			}
			entry, _ := endlessEntry(t, twoReplicas(t, answer, answer), test.route, Call{Deadline: deadline})
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://kitchen.example/", http.NoBody)
			request.Header.Set("Id", "r-1")
			// The load shedder lets some requests of a late entry pass; this one has passed.
			task := &task{entry: entry, w: recorder, r: request, releaseBody: func() {}, call: Call{ID: "r-1", Deadline: deadline}}
			task.config = entry.settings.Config()
			task.route, _ = task.config.Route(request.Host, request.URL.Path)
			task.arrived = entry.settings.Clock.Now()
			entry.shedder.record(test.late)
			task.run()
			So(recorder.Code, ShouldEqual, test.wantStatus)
			So(runs.Load(), ShouldEqual, test.wantRuns)
			if test.wantRuns == 0 {
				So(recorder.Body.String(), ShouldContainSubstring, `"ran":"no"`)
				So(recorder.Header().Get("Retry-After"), ShouldNotBeEmpty)
			}
		})
	}
}
