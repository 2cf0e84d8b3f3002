package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// repeatingReplica starts a replica that answers health checks with a text, and again with the same text
// when the next request arrives on the connection, before the answer to that. It counts what it runs.
func repeatingReplica(t *testing.T, health string, runs *atomic.Int32) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, late := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, late)
			late = ""
			if request.URL.Path == "/health" {
				late = health
				_, _ = io.WriteString(conn, health)
				continue
			}
			runs.Add(1)
			_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", request.Header.Get("Id"))+"Content-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func TestALateAnswerToAHealthCheck(t *testing.T) {
	// Guards against a second answer to a health check, which has no request ID, that is taken for the
	// answer to the next request on the connection.
	tests := []struct{ name, health string }{
		{"a refusal", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"healthy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"healthy, signed", "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var runs atomic.Int32
			addresses := [2]string{repeatingReplica(t, test.health, &runs), repeatingReplica(t, test.health, &runs)}
			entry, _ := endlessEntry(t, addresses, router.Route{Kind: router.Once}, Call{Deadline: 5 * timekeeper.Second})
			entry.settings.Dialect.CheckHealth = func(string) http.Header { return http.Header{} }
			for i, id := range []string{"i-1", "i-2"} {
				entry.checkOnce(t.Context(), balancer.HealthCheck{
					Replica: balancer.Replica{ID: id, Service: "planner", Address: addresses[i]}, Path: "/health",
				})
			}
			So(entry.settings.Pool.OpenConnections(), ShouldEqual, 2)
			front := httptest.NewServer(entry)
			defer front.Close()
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/", http.NoBody)
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(runs.Load(), ShouldEqual, 1)
		})
	}
}

func TestAnAnswerWithoutARequestID(t *testing.T) {
	// Guards against a refusal that is ignored, since it has no request ID, though it can belong to no
	// other request.
	Convey("the first answer on a connection is the request's", t, func() {
		refuse := func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		sound := func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Content-Length: 2\r\n\r\nok")
		}
		entry, _ := endlessEntry(t, twoReplicas(t, refuse, sound), router.Route{Kind: router.Once}, Call{Deadline: 5 * timekeeper.Second})
		front := httptest.NewServer(entry)
		defer front.Close()
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/", http.NoBody)
		request.Host = "kitchen.example"
		request.Header.Set("Id", "r-1")
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		_ = response.Body.Close()
		So(response.StatusCode, ShouldEqual, http.StatusOK)
	})
}
