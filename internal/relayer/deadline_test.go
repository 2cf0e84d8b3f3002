package relayer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

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
			client := &http.Client{Timeout: deadline.Duration()}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL, strings.NewReader("lunch"))
			So(err, ShouldBeNil)
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			response, err := client.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(string(body), ShouldContainSubstring, `"ran":"unknown"`)
		})
	}
}
