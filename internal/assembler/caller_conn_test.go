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

// startCallerServer serves a handler as an entry serves its callers. active is called
// after the server has read a request from a connection, before the handler.
func startCallerServer(t *testing.T, handler http.Handler, onClosed func(), active func(conn net.Conn)) net.Addr {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: serveUnlessClosed(handler, onClosed), ConnContext: withConn, ReadHeaderTimeout: callerHeaderTimeout.Duration(),
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

// sendRequest sends a request on a connection and returns the body of the answer.
func sendRequest(conn net.Conn) (string, error) {
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

func TestConnectionIsNotClosedDuringRequest(t *testing.T) {
	// Guards against the race of a close with a request: an entry closes an idle
	// connection, to make room or because it stops, as the caller sends the next request.
	// If the close comes first, the request must not be passed on, so that the caller may
	// send it again; otherwise the answer must be whole and the connection must stay open.
	const served, dropped = "passed on", "dropped"
	tests := []struct {
		name string
		// before and within close the connection before and in the call of the handler.
		before, within bool
		outcome, body  string
	}{
		{"never closed", false, false, served, "whole"},
		{"closed before the request is passed on", true, false, dropped, ""},
		{"closed while the request runs", false, true, served, "whole"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			// The caller may see the connection end before the server has read the request,
			// so the test waits for the request's outcome.
			outcome := make(chan string, 2)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				outcome <- served
				if test.within {
					_ = r.Context().Value(connKey{}).(net.Conn).Close()
				}
				_, _ = io.WriteString(w, "whole")
			})
			address := startCallerServer(t, handler, func() { outcome <- dropped }, func(conn net.Conn) {
				if test.before {
					_ = conn.Close()
				}
			})
			conn, err := (&net.Dialer{}).DialContext(t.Context(), address.Network(), address.String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			body, err := sendRequest(conn)
			So(err == nil, ShouldEqual, test.body != "")
			So(body, ShouldEqual, test.body)
			So(<-outcome, ShouldEqual, test.outcome)
			if test.within {
				again, err := sendRequest(conn)
				So(err, ShouldBeNil)
				So(again, ShouldEqual, "whole")
			}
		})
	}
}

// connPair returns both ends of a connection: the one that an entry accepts, and the
// caller's.
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

func TestConnectionWithArrivingRequestIsNotIdle(t *testing.T) {
	// Guards against closing a connection that looks idle although a request on it is
	// unread or partly read, as happens on a busy machine: the request would get neither
	// an answer nor a refusal. A connection that is really idle must be closed.
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
		name    string
		prepare func(conn *callerConn, caller net.Conn)
		closed  bool
	}{
		{"nothing received", func(*callerConn, net.Conn) {}, true},
		{"a request is unread", arrive, false},
		{"a request is being read", read, false},
		{"a request is being served", func(conn *callerConn, caller net.Conn) { read(conn, caller); conn.beginRequest() }, false},
		{"a request was served", func(conn *callerConn, caller net.Conn) { read(conn, caller); conn.beginRequest(); conn.endRequest() }, true},
	}
	for _, test := range tests {
		for _, stopping := range []bool{false, true} {
			Convey(test.name, t, func() {
				conn, caller := connPair(t)
				test.prepare(conn, caller)
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
	Convey("a stop closes a connection whose last answer announced its end", t, func() {
		conn, caller := connPair(t)
		conn.stopping.Store(true)
		read(conn, caller)
		conn.beginRequest()
		conn.endRequest()
		arrive(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeTrue)
	})
	Convey("a stop keeps a connection whose last answer began before the stop", t, func() {
		conn, caller := connPair(t)
		read(conn, caller)
		conn.beginRequest()
		conn.stopping.Store(true)
		conn.endRequest()
		arrive(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeFalse)
	})
	Convey("a connection that the server no longer reads is closed, even with a request on it", t, func() {
		conn, caller := connPair(t)
		tracker := newConnTracker(timekeeper.NewManual(1).Clock(), reservedDescriptors+10)
		tracker.trackState(conn, http.StateNew)
		arrive(conn, caller)
		conn.stopping.Store(true)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeFalse)
		tracker.trackState(conn, http.StateClosed)
		So(conn.closed, ShouldBeTrue)
		_, err := caller.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
	})
	Convey("the server can close a connection whose request it can't read", t, func() {
		conn, caller := connPair(t)
		read(conn, caller)
		So(conn.Close(), ShouldBeNil)
		So(conn.closed, ShouldBeTrue)
	})
}

func TestPendingConnectionsOfListener(t *testing.T) {
	// Guards against closing a listener while a caller's connection waits to be accepted:
	// the close would reset it.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	Convey("a connection is pending until it is accepted", t, func() {
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
		So(hasPendingConnections(socketlessListener{}), ShouldBeFalse)
	})
}

// socketlessListener is a listener without a socket.
type socketlessListener struct{ net.Listener }
