package runner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// hangingUp answers the path /warm. It closes the connection after reading any other
// request, like a server that crashes after it has committed.
func hangingUp(t *testing.T, seen *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test's listener has no deadline.
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, seen)
		}
	}()
	return "http://" + listener.Addr().String()
}

func serveOnce(conn net.Conn, seen *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/warm" {
			seen.Add(1)
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func TestNetHTTPReplaysOnlyOnReusedConnections(t *testing.T) {
	// Guards against an order that is charged twice, with one Run frame and one answer.
	// The transport sends a keyed POST on a kept connection; the service reads and commits
	// it, then closes without an answer; the transport takes the connection for stale and
	// resends the request by itself. It doesn't on a new connection.
	tests := []struct {
		name       string
		idempotent bool
		body       string
		runs       int64
	}{
		{"a reused connection replays an empty keyed POST", true, "", 2},
		{"a new connection sends an empty keyed POST once", false, "", 1},
		{"a new connection sends a keyed POST with a body once", false, "{}", 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var seen atomic.Int64
			up := newUpstream(hangingUp(t, &seen), resolver.Service{Slots: 1})
			defer up.close()
			for _, path := range []string{"/warm", "/orders"} {
				offer := &encoder.Offer{Idempotent: test.idempotent}
				response, err := up.send(t.Context(), offer, &encoder.Run{
					Method: "POST", Path: path, Body: []byte(test.body),
					Headers: []*encoder.Header{{Name: "Idempotency-Key", Value: "once"}},
				})
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			So(seen.Load(), ShouldEqual, test.runs)
		})
	}
}
