package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConn is a caller's connection that is not closed under a request.
//
// The failure: a connection looks idle, and while it is being closed, to make room or
// because the entry stops, the next request on it comes. On a machine that gets a tenth
// of a core it may have been there for a quarter of a second, unread. The symptom: the
// request gets neither an answer nor a refusal, and where it had just been read and was
// passed on it runs as well; one that must not run twice can't be sent again. So a
// connection is closed as idle only where no request is served or has begun to arrive; a
// request that comes after that finds out and is not passed on.
type callerConn struct {
	net.Conn
	// stopping is set while the entry stops; from then on the server closes connections
	// that look idle to it.
	stopping *atomic.Bool

	mu sync.Mutex
	// arriving is set from the first byte of a request until it is served, last once a
	// request has begun that the stopping entry answers with the end of the connection.
	arriving, serving, closed, last bool
}

// Read reads, and notes that a request arrives.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.mu.Lock()
		conn.arriving = conn.arriving || !conn.serving
		conn.mu.Unlock()
	}
	return count, err
}

// begin reports whether a request on the connection may be passed on. If so it must be
// followed by end.
func (conn *callerConn) begin() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving, conn.arriving, conn.last = !conn.closed, false, conn.stopping.Load()
	return conn.serving
}

func (conn *callerConn) end() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving = false
}

// Close closes the connection. One on which a request is served is closed by the server
// after the answer. While the entry stops one with a request that arrives stays too,
// unless its caller has been told that the answer before was the last.
func (conn *callerConn) Close() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closeUnless(conn.serving || conn.stopping.Load() && !conn.last && conn.used())
}

// abandon closes the connection once the server reads it no more. Its own close may have
// been dropped for a request that had come by then, and that nobody would ever read.
func (conn *callerConn) abandon() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.closed = true
	_ = conn.Conn.Close()
}

// closeIdle closes the connection, unless a request on it is served or arrives.
func (conn *callerConn) closeIdle() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closeUnless(conn.serving || conn.used())
}

// used reports whether a request arrives; the lock must be held.
func (conn *callerConn) used() bool { return conn.arriving || unread(conn.Conn) }

// closeUnless closes the connection unless it has to stay; the lock must be held.
func (conn *callerConn) closeUnless(stays bool) error {
	if stays {
		return nil
	}
	conn.closed = true
	return conn.Conn.Close()
}

// unread reports whether bytes have come that nobody has read yet. A connection that
// can't tell has none.
func unread(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	_ = control.Control(func(fd uintptr) {
		var first [1]byte
		count, _, err = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}

// knocking reports whether connections wait at a listener that nobody has taken yet:
// closed now, it would reset them with the requests on them. A listener that can't tell
// has none.
func knocking(listener net.Listener) bool {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	_ = control.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// CloseWrite ends what the caller is sent, as the server does before it closes a
// connection on which bytes are left unread.
func (conn *callerConn) CloseWrite() error {
	if half, ok := conn.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

// callerListener takes callers' connections as callerConns.
type callerListener struct {
	net.Listener
	stopping *atomic.Bool
}

// Accept returns the next connection.
func (listener callerListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, stopping: listener.stopping}, nil
}

// connKey is where the context of a request holds its connection.
type connKey struct{}

// withConn is the hook of the server for the context of a connection's requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// unlessClosed passes requests on to a handler while their connections are open, and
// calls late for each that came as its connection was closed.
func unlessClosed(handler http.Handler, late func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, known := r.Context().Value(connKey{}).(*callerConn)
		if !known {
			handler.ServeHTTP(w, r)
			return
		}
		if !conn.begin() {
			late()
			panic(http.ErrAbortHandler)
		}
		defer conn.end()
		handler.ServeHTTP(w, r)
	})
}
