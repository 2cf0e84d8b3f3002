package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// peerScript answers one connection after the other by hand, byte for byte.
type peerScript func(conn net.Conn, reader *bufio.Reader, number int)

// startPeer listens on loopback and runs the script on each connection.
func startPeer(t *testing.T, script peerScript) (address string, accepted *atomic.Int32) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(accepted.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn), number)
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// readRequest reads one request and returns its identity, or "" at the end.
func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Test-Id")
}

func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func requestOf(id string) Request {
	return Request{
		Method: http.MethodPost, Path: "/", Host: "kitchen.example", Header: http.Header{"Test-Id": {id}}, Body: []byte("ten meals"),
		Matches: func(head http.Header) bool { return head.Get("Test-Id") == id },
	}
}

// exchange makes one exchange and returns the body, or the error.
func exchange(pool *Pool, target Target, id string) (string, error) {
	got, err := pool.Do(context.Background(), target, requestOf(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(got.Body)
	got.Finish(err == nil)
	return string(body), err
}

func newTestPool(t *testing.T) *Pool {
	pool, release := NewPool(Settings{Clock: timekeeper.Steady()})
	t.Cleanup(release)
	return pool
}

func TestAConnectionIsKeptForTheNextExchange(t *testing.T) {
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			answer(conn, id, "for "+id)
		}
	})
	pool := newTestPool(t)
	target := Target{Key: "a", Address: address, MaxConnections: 1}
	Convey("two exchanges use one connection", t, func() {
		for _, id := range []string{"1", "2"} {
			body, err := exchange(pool, target, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "for "+id)
		}
		So(accepted.Load(), ShouldEqual, 1)
		So(pool.OpenConnections(), ShouldEqual, 1)
	})
	Convey("a connection in use is not shared, and the bound holds", t, func() {
		first, err := pool.Do(context.Background(), target, requestOf("3"))
		So(err, ShouldBeNil)
		_, err = pool.Do(context.Background(), target, requestOf("4"))
		So(eris.Is(err, ErrConnections), ShouldBeTrue)
		var failure Failure
		So(eris.As(err, &failure), ShouldBeTrue)
		So(failure.Progress, ShouldEqual, Unsent)
		first.Finish(false)
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestAStrayAnswerReachesNobody(t *testing.T) {
	// The replica answers the first request twice. Its second answer lies on the
	// kept connection when the next request is sent, or comes just after. The next
	// caller must get its own answer, and the request must not be sent again.
	var runs atomic.Int32
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		first := readRequest(reader)
		runs.Add(1)
		answer(conn, first, "for "+first)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			runs.Add(1)
			answer(conn, first, "stray")
			answer(conn, id, "for "+id)
		}
	})
	pool := newTestPool(t)
	target := Target{Key: "a", Address: address}
	Convey("the stray answer is read over, and the connection is not kept", t, func() {
		for _, id := range []string{"1", "2", "3"} {
			body, err := exchange(pool, target, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "for "+id)
		}
		So(runs.Load(), ShouldEqual, 3)
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	// The replica sends bytes after a whole answer, which nobody waits for. The
	// next exchange must not read them.
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", id)
		}
	})
	pool := newTestPool(t)
	Convey("each exchange gets a connection of its own", t, func() {
		for _, id := range []string{"1", "2"} {
			body, err := exchange(pool, Target{Key: "a", Address: address}, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestNothingIsSentTwice(t *testing.T) {
	// The replica reads a request on a kept connection and closes it without an
	// answer. It may have run: the request must not be sent again by itself, and
	// the error must say that it was sent.
	tests := []struct{ method, body string }{
		{http.MethodPost, "ten meals"},
		{http.MethodGet, ""},
	}
	for _, test := range tests {
		Convey(test.method, t, func() {
			var seen atomic.Int32
			address, _ := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				for id := readRequest(reader); id != ""; id = readRequest(reader) {
					if seen.Add(1) > 1 {
						return
					}
					answer(conn, id, "")
				}
			})
			pool := newTestPool(t)
			target := Target{Key: "a", Address: address}
			_, err := exchange(pool, target, "1")
			So(err, ShouldBeNil)
			request := requestOf("2")
			request.Method, request.Body = test.method, []byte(test.body)
			request.Header.Set("Idempotency-Key", "k")
			_, err = pool.Do(context.Background(), target, request)
			var failure Failure
			So(eris.As(err, &failure), ShouldBeTrue)
			So(failure.Progress, ShouldEqual, Sent)
			So(failure.Reused, ShouldBeTrue)
			So(seen.Load(), ShouldEqual, 2)
		})
	}
}

func TestAKeptConnectionThatTheReplicaClosedIsNotUsed(t *testing.T) {
	// The replica closes an idle connection. The close has arrived when the next
	// request comes: it goes over a new connection, and nothing is lost.
	closed := make(chan struct{}, 2)
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		answer(conn, readRequest(reader), "")
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := newTestPool(t)
	Convey("the next exchange opens another", t, func() {
		for _, id := range []string{"1", "2"} {
			_, err := exchange(pool, Target{Key: "a", Address: address}, id)
			So(err, ShouldBeNil)
			<-closed
			// The end of the connection has to cross loopback.
			for _, conn := range pool.peer("a").idle {
				for conn.clean() {
					_ = timekeeper.Steady().Sleep(context.Background(), 1)
				}
			}
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestAnAnswerBeforeTheBodyWasRead(t *testing.T) {
	// The replica refuses a long request before it has read the body. The caller
	// gets the refusal, and the connection, on which the rest of the body is still
	// due, serves nobody else.
	release := make(chan struct{})
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, request.Header.Get("Test-Id"), "early")
		<-release
	})
	defer close(release)
	pool := newTestPool(t)
	Convey("the connection is not kept", t, func() {
		for _, id := range []string{"1", "2"} {
			request := requestOf(id)
			request.Body = []byte(strings.Repeat("x", 16<<20))
			got, err := pool.Do(context.Background(), Target{Key: "a", Address: address}, request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(got.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "early")
			got.Finish(true)
		}
		So(accepted.Load(), ShouldEqual, 2)
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestACallerWhoLeavesTakesTheRequestAway(t *testing.T) {
	// The caller leaves while the replica works: the replica sees its connection end.
	gone := make(chan error, 1)
	working := make(chan struct{})
	address, _ := startPeer(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		readRequest(reader)
		close(working)
		_, err := reader.ReadByte()
		gone <- err
	})
	pool := newTestPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-working; cancel() }()
	Convey("the connection is closed", t, func() {
		_, err := pool.Do(ctx, Target{Key: "a", Address: address}, requestOf("1"))
		So(err, ShouldNotBeNil)
		So(<-gone, ShouldNotBeNil)
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestAReplicaThatTakesNoConnections(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	pool := newTestPool(t)
	Convey("nothing was sent, and that is said", t, func() {
		_, err := exchange(pool, Target{Key: "a", Address: address, MaxConnections: 1}, "1")
		var failure Failure
		So(eris.As(err, &failure), ShouldBeTrue)
		So(failure.Progress, ShouldEqual, Unsent)
		So(eris.Is(err, ErrUnreachable), ShouldBeTrue)
		So(eris.Is(pool.Probe(context.Background(), address), ErrUnreachable), ShouldBeTrue)
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestKeepAliveOfTheReplica(t *testing.T) {
	tests := []struct {
		header string
		want   timekeeper.Span
	}{
		{"", defaultIdle},
		{"timeout=5", 5 * timekeeper.Second},
		{"max=100, timeout=2", 2 * timekeeper.Second},
		{"timeout=0", 0},
		{"timeout=soon", defaultIdle},
		{"timeout=-1", defaultIdle},
	}
	for _, test := range tests {
		Convey("header "+test.header, t, func() {
			So(keepAlive(http.Header{"Keep-Alive": {test.header}}), ShouldEqual, test.want)
		})
	}
}

func TestIdleConnectionsAreSweptAndRetired(t *testing.T) {
	address, _ := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			answer(conn, id, "")
		}
	})
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	pool, release := NewPool(Settings{Clock: clock.Clock()})
	defer release()
	Convey("a connection that is idle for too long is closed", t, func() {
		_, err := exchange(pool, Target{Key: "a", Address: address}, "1")
		So(err, ShouldBeNil)
		pool.Sweep()
		So(pool.OpenConnections(), ShouldEqual, 1)
		clock.Advance(defaultIdle)
		pool.Sweep()
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
	Convey("the connections of a replica that is gone are closed", t, func() {
		_, err := exchange(pool, Target{Key: "a", Address: address}, "2")
		So(err, ShouldBeNil)
		pool.Retire("a")
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestARequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	// Guards against a request that reaches a replica which was closed while the connection
	// was opened, and against a connection that is lost by that.
	var requests atomic.Int32
	address, accepted := startPeer(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			requests.Add(1)
			answer(conn, id, "done")
		}
	})
	pool := newTestPool(t)
	target := Target{Key: "r", Address: address}
	errClosed := eris.New("closed")
	Convey("it is unsent, and the connection serves the next", t, func() {
		request := requestOf("1")
		request.Admit = func() error { return errClosed }
		_, err := pool.Do(t.Context(), target, request)
		var failure Failure
		So(eris.As(err, &failure), ShouldBeTrue)
		So(failure.Progress, ShouldEqual, Unsent)
		So(eris.Is(err, errClosed), ShouldBeTrue)
		body, err := exchange(pool, target, "2")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "done")
		So(requests.Load(), ShouldEqual, 1)
		So(accepted.Load(), ShouldEqual, 1)
	})
}
