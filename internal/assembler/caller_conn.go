package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection that is not closed under a request.
//
// The failure: a connection looks idle, and while it is being closed, to make room or
// because the entry stops, the next request on it has just been read. The symptom: the
// request is passed on to a replica and runs, and its caller finds the connection closed
// without an answer; one that must not run twice can't be sent again. A request and a
// close take their turn here: whichever comes second finds out. A close that loses is
// dropped, for the server closes the connection itself after the answer where it has to;
// a request that loses is not passed on.
type callerConn struct {
	net.Conn

	mu              sync.Mutex
	serving, closed bool
}

// begin reports whether a request on the connection may be passed on. If so it must be
// followed by end.
func (conn *callerConn) begin() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving = !conn.closed
	return conn.serving
}

func (conn *callerConn) end() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.serving = false
}

// Close closes the connection, unless a request on it is being served.
func (conn *callerConn) Close() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.serving {
		return nil
	}
	conn.closed = true
	return conn.Conn.Close()
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
type callerListener struct{ net.Listener }

// Accept returns the next connection.
func (listener callerListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
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
