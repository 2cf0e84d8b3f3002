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

// callerConn is a caller's connection that is not closed while a request is on it.
//
// It guards against a race: a connection looks idle, and while the entry closes it, to
// make room or because it stops, the next request arrives. On a machine with a tenth of
// a core the request may have been in the socket, unread, for a quarter of a second. The
// caller would get neither an answer nor a refusal, yet a request that had just been
// read and passed on would run; one that must not run twice can't be sent again. So a
// connection is closed as idle only if no request is being served or has begun to
// arrive, and a request that is read after the close is not passed on.
type callerConn struct {
	net.Conn
	// stopping is set when the entry begins to stop; from then on the server closes
	// connections that look idle to it.
	stopping *atomic.Bool

	mu sync.Mutex
	// used is set from the first byte of the first request, arriving from the first byte of each until its
	// handler begins.
	// lastAnswer is set if the latest request began while the entry was stopping: its
	// answer announces the end of the connection.
	used, arriving, serving, closed, lastAnswer bool
}

// Read reads from the connection and records that a request is arriving.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.mu.Lock()
		conn.used, conn.arriving = true, conn.arriving || !conn.serving
		conn.mu.Unlock()
	}
	return count, err
}

// beginRequest reports whether a request on the connection may be passed on. If it
// returns true, endRequest must follow.
func (conn *callerConn) beginRequest() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving, conn.arriving, conn.lastAnswer = !conn.closed, false, conn.stopping.Load()
	return conn.serving
}

func (conn *callerConn) endRequest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving = false
}

// Close closes the connection, unless a request is being served: then the server closes
// it after the answer. While the entry stops, a connection on which a request is
// arriving stays open too, unless the last answer announced the end of the connection.
func (conn *callerConn) Close() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closeUnless(conn.serving || conn.stopping.Load() && !conn.lastAnswer && conn.receiving())
}

// forceClose closes the connection after the server has stopped reading it. Close may
// have left it open for an arriving request that would never be read.
func (conn *callerConn) forceClose() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.closed = true
	_ = conn.Conn.Close()
}

// closeIdle closes the connection, unless a request on it is being served or arriving.
func (conn *callerConn) closeIdle() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closeUnless(conn.serving || conn.receiving())
}

// closeUnused closes the connection if no request has ever begun to arrive.
func (conn *callerConn) closeUnused() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closeUnless(conn.used || conn.receiving())
}

// receiving reports whether a request is arriving; the lock must be held.
func (conn *callerConn) receiving() bool { return conn.arriving || hasUnreadBytes(conn.Conn) }

// closeUnless closes the connection unless it has to be kept; the lock must be held.
func (conn *callerConn) closeUnless(keep bool) error {
	if keep {
		return nil
	}
	conn.closed = true
	return conn.Conn.Close()
}

// hasUnreadBytes reports whether the socket holds received bytes that have not been
// read. It returns false for a connection without a socket.
func hasUnreadBytes(conn net.Conn) bool {
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

// hasPendingConnections reports whether a listener has connections that have not been
// accepted: closing it now would reset them and lose the requests on them. It returns
// false for a listener without a socket.
func hasPendingConnections(listener net.Listener) bool {
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

// CloseWrite shuts down the sending side. The server calls it before it closes a
// connection on which bytes are left unread.
func (conn *callerConn) CloseWrite() error {
	if half, ok := conn.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

// callerListener wraps each accepted connection in a callerConn.
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

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

// withConn is the server's ConnContext hook: it stores the connection in the context.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// serveUnlessClosed passes requests to a handler if their connections are open, and
// calls onClosed for each request that was read after its connection had been closed.
func serveUnlessClosed(handler http.Handler, onClosed func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !conn.beginRequest() {
			onClosed()
			panic(http.ErrAbortHandler)
		}
		defer conn.endRequest()
		handler.ServeHTTP(w, r)
	})
}
