package assembler

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// callerServer serves a handler as an entry serves its callers. active is called with a
// connection on which the server has just read a request, before the handler is.
func callerServer(t *testing.T, handler http.Handler, late func(), active func(conn net.Conn)) net.Addr {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: serveUnlessClosed(handler, late), ConnContext: withConn, ReadHeaderTimeout: callerHeaderTimeout.Duration(),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				active(conn)
			}
		},
	}
	go func() { _ = server.Serve(callerListener{Listener: listener, stopping: new(atomic.Bool)}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr()
}

// ask sends a request on a connection and returns the answer's body.
func ask(conn net.Conn) (string, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestAConnectionIsNotClosedUnderARequest(t *testing.T) {
	// A kept connection has been idle, so the entry closes it to make room, or because
	// it stops. In the same moment its caller sends the next request. First the close
	// wins: the request is not passed on, so its caller may send it again. Then the
	// request wins: its answer is whole, and the connection stays.
	const passedOn, dropped = "passed on", "dropped"
	tests := []struct {
		name string
		// before and within close the connection before the handler is called, and in it.
		before, within bool
		became, body   string
	}{
		{"nobody closes it", false, false, passedOn, "whole"},
		{"closed before the request is passed on", true, false, dropped, ""},
		{"closed while the request runs", false, true, passedOn, "whole"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			// The caller may see the end of the connection before the server has read the
			// request, so what became of it is waited for.
			became := make(chan string, 2)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				became <- passedOn
				if test.within {
					_ = r.Context().Value(connKey{}).(net.Conn).Close()
				}
				_, _ = io.WriteString(w, "whole")
			})
			address := callerServer(t, handler, func() { became <- dropped }, func(conn net.Conn) {
				if test.before {
					_ = conn.Close()
				}
			})
			conn, err := (&net.Dialer{}).DialContext(t.Context(), address.Network(), address.String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			body, err := ask(conn)
			So(err == nil, ShouldEqual, test.body != "")
			So(body, ShouldEqual, test.body)
			So(<-became, ShouldEqual, test.became)
			if test.within {
				again, err := ask(conn)
				So(err, ShouldBeNil)
				So(again, ShouldEqual, "whole")
			}
		})
	}
}

// connPair returns both ends of a connection, the first as an entry takes it.
func connPair(t *testing.T) (*callerConn, net.Conn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := callerListener{Listener: listener, stopping: new(atomic.Bool)}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.(*callerConn).Conn.Close()
	})
	return conn.(*callerConn), caller
}

func TestAConnectionOnWhichARequestArrivesIsNotIdle(t *testing.T) {
	// An entry stops, or makes room, on a machine that is busy: a caller's request lies
	// unread, or is half read, on a connection that looks idle. Closed then, it would get
	// neither an answer nor a refusal. One on which nothing comes is closed.
	arrive := func(conn *callerConn, caller net.Conn) {
		_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n")
		for !hasUnreadBytes(conn.Conn) {
			runtime.Gosched()
		}
	}
	read := func(conn *callerConn, caller net.Conn) {
		arrive(conn, caller)
		_, _ = conn.Read(make([]byte, 100))
	}
	tests := []struct {
		name   string
		happen func(conn *callerConn, caller net.Conn)
		closed bool
	}{
		{"nothing came", func(*callerConn, net.Conn) {}, true},
		{"a request lies unread", arrive, false},
		{"a request is being read", read, false},
		{"a request is served", func(conn *callerConn, caller net.Conn) { read(conn, caller); conn.beginRequest() }, false},
		{"a request was served", func(conn *callerConn, caller net.Conn) { read(conn, caller); conn.beginRequest(); conn.endRequest() }, true},
	}
	for _, test := range tests {
		for _, stopping := range []bool{false, true} {
			Convey(test.name, t, func() {
				conn, caller := connPair(t)
				test.happen(conn, caller)
				conn.stopping.Store(stopping)
				if stopping {
					So(conn.Close(), ShouldBeNil)
				} else {
					So(conn.closeIdle(), ShouldBeNil)
				}
				So(conn.closed, ShouldEqual, test.closed)
				So(conn.beginRequest(), ShouldEqual, !test.closed)
			})
		}
	}
	Convey("one whose caller was told of the last answer is closed in a stop", t, func() {
		conn, caller := connPair(t)
		conn.stopping.Store(true)
		read(conn, caller)
		conn.beginRequest()
		conn.endRequest()
		arrive(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeTrue)
	})
	Convey("one whose answer began before the stop is not", t, func() {
		conn, caller := connPair(t)
		read(conn, caller)
		conn.beginRequest()
		conn.stopping.Store(true)
		conn.endRequest()
		arrive(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeFalse)
	})
	Convey("one that the server reads no more is closed, whatever came", t, func() {
		conn, caller := connPair(t)
		callerConns := newCallerConns(timekeeper.NewManual(1).Clock(), reservedDescriptors+10)
		callerConns.trackState(conn, http.StateNew)
		arrive(conn, caller)
		conn.stopping.Store(true)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeFalse)
		callerConns.trackState(conn, http.StateClosed)
		So(conn.closed, ShouldBeTrue)
		_, err := caller.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
	})
	Convey("the server itself closes one whose request it can't read", t, func() {
		conn, caller := connPair(t)
		read(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeTrue)
	})
}

func TestCallersThatKnock(t *testing.T) {
	// A caller has connected, and nobody has taken the connection. A listener that is
	// closed now resets it.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	Convey("are seen until they are taken", t, func() {
		So(hasPendingConnections(listener), ShouldBeFalse)
		caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		for !hasPendingConnections(listener) {
			runtime.Gosched()
		}
		taken, err := listener.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = taken.Close() }()
		So(hasPendingConnections(listener), ShouldBeFalse)
		So(hasPendingConnections(offeredListener{}), ShouldBeFalse)
	})
}

// offeredListener is a listener without a socket.
type offeredListener struct{ net.Listener }
