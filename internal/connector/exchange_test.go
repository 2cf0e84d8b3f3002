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

// replicaScript handles the connection of a number, counted from 1, byte for byte.
type replicaScript func(conn net.Conn, reader *bufio.Reader, number int)

// startReplica listens on loopback and runs the script on each connection. It returns the
// address and the count of accepted connections.
func startReplica(t *testing.T, script replicaScript) (address string, accepted *atomic.Int32) {
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

// readRequest reads one request and returns its ID, or "" at the end of the connection.
func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Test-Id")
}

// answer writes an answer that echoes the ID.
func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// requestOf returns a request that accepts only answers with its ID.
func requestOf(id string) Request {
	return Request{
		Method: http.MethodPost, Path: "/", Host: "kitchen.example", Header: http.Header{"Test-Id": {id}}, Body: []byte("ten meals"),
		Matches: func(head http.Header, _ bool) bool { return head.Get("Test-Id") == id },
	}
}

// exchange sends a request and returns the body of the answer, or the error.
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

func TestAConnectionIsReusedForTheNextExchange(t *testing.T) {
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			answer(conn, id, "for "+id)
		}
	})
	pool := newTestPool(t)
	target := Target{Key: "a", Address: address, MaxConnections: 1}
	Convey("two successive exchanges use one connection", t, func() {
		for _, id := range []string{"1", "2"} {
			body, err := exchange(pool, target, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "for "+id)
		}
		So(accepted.Load(), ShouldEqual, 1)
		So(pool.OpenConnections(), ShouldEqual, 1)
	})
	Convey("a connection in use is not shared, and the connection limit holds", t, func() {
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

func TestAStrayAnswerReachesNoCaller(t *testing.T) {
	// Guards against callers getting each other's answers: the replica answers the first
	// request twice, and the second answer arrives on the kept connection before or after
	// the next request is sent. The next caller must get its own answer, and its request
	// must not be retried.
	var runs atomic.Int32
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
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
	Convey("the stray answer is skipped, and the connection is not reused", t, func() {
		for _, id := range []string{"1", "2", "3"} {
			body, err := exchange(pool, target, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "for "+id)
		}
		So(runs.Load(), ShouldEqual, 3)
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	// Guards against an exchange that reads bytes which the replica sent after the previous
	// answer.
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", id)
		}
	})
	pool := newTestPool(t)
	Convey("each exchange uses a new connection", t, func() {
		for _, id := range []string{"1", "2"} {
			body, err := exchange(pool, Target{Key: "a", Address: address}, id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestARequestIsNotRetriedOnABrokenConnection(t *testing.T) {
	// Guards against a request that runs twice: the replica reads it on a kept connection
	// and closes the connection without an answer. The request may have run, so the pool
	// must not retry it, and the error must state that it was sent.
	tests := []struct{ method, body string }{
		{http.MethodPost, "ten meals"},
		{http.MethodGet, ""},
	}
	for _, test := range tests {
		Convey(test.method, t, func() {
			var seen atomic.Int32
			address, _ := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
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

func TestAConnectionThatTheReplicaClosedIsNotReused(t *testing.T) {
	// Guards against a request that fails because it is sent on a kept connection whose
	// close has already arrived.
	closed := make(chan struct{}, 2)
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		answer(conn, readRequest(reader), "")
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := newTestPool(t)
	Convey("the next exchange opens a new connection", t, func() {
		for _, id := range []string{"1", "2"} {
			_, err := exchange(pool, Target{Key: "a", Address: address}, id)
			So(err, ShouldBeNil)
			<-closed
			// Wait until the close has crossed loopback.
			for _, conn := range pool.replica("a").idle {
				for conn.clean() {
					_ = timekeeper.Steady().Sleep(context.Background(), 1)
				}
			}
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}

func TestAnAnswerBeforeTheBodyWasRead(t *testing.T) {
	// Guards against a request that the replica reads as part of the previous body: it
	// refuses a long request before it has read the body. The caller must get the refusal,
	// and the connection must not be reused.
	release := make(chan struct{})
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, request.Header.Get("Test-Id"), "early")
		<-release
	})
	defer close(release)
	pool := newTestPool(t)
	Convey("the connection is not reused", t, func() {
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

func TestACallerWhoLeavesCancelsItsRequest(t *testing.T) {
	// Guards against a replica that works on a request whose caller has left: the replica
	// must see its connection close.
	closed := make(chan error, 1)
	working := make(chan struct{})
	address, _ := startReplica(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		readRequest(reader)
		close(working)
		_, err := reader.ReadByte()
		closed <- err
	})
	pool := newTestPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-working; cancel() }()
	Convey("the connection is closed", t, func() {
		_, err := pool.Do(ctx, Target{Key: "a", Address: address}, requestOf("1"))
		So(err, ShouldNotBeNil)
		So(<-closed, ShouldNotBeNil)
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestAReplicaThatAcceptsNoConnections(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	pool := newTestPool(t)
	Convey("the error states that nothing was sent", t, func() {
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
		{"", defaultIdleTimeout},
		{"timeout=5", 5 * timekeeper.Second},
		{"max=100, timeout=2", 2 * timekeeper.Second},
		{"timeout=0", 0},
		{"timeout=soon", defaultIdleTimeout},
		{"timeout=-1", defaultIdleTimeout},
	}
	for _, test := range tests {
		Convey("header "+test.header, t, func() {
			So(keepAliveTimeout(http.Header{"Keep-Alive": {test.header}}), ShouldEqual, test.want)
		})
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	address, _ := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			answer(conn, id, "")
		}
	})
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	pool, release := NewPool(Settings{Clock: clock.Clock()})
	defer release()
	Convey("Sweep closes a connection that has been idle for too long", t, func() {
		_, err := exchange(pool, Target{Key: "a", Address: address}, "1")
		So(err, ShouldBeNil)
		pool.Sweep()
		So(pool.OpenConnections(), ShouldEqual, 1)
		clock.Advance(defaultIdleTimeout)
		pool.Sweep()
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
	Convey("Retire closes the connections to a replica", t, func() {
		_, err := exchange(pool, Target{Key: "a", Address: address}, "2")
		So(err, ShouldBeNil)
		pool.Retire("a")
		So(pool.OpenConnections(), ShouldEqual, 0)
	})
}

func TestARequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	// Guards against a request that is sent to a replica that became ineligible while the
	// connection was opened, and against losing that connection.
	var requests atomic.Int32
	address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			requests.Add(1)
			answer(conn, id, "done")
		}
	})
	pool := newTestPool(t)
	target := Target{Key: "r", Address: address}
	errClosed := eris.New("closed")
	Convey("the request is not sent, and the connection serves the next one", t, func() {
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
