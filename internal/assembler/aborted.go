package assembler

import (
	"net"
	"net/http"
)

// resetAborted passes requests to a handler. If it panics on one of HTTP/1.0, the connection is reset
// when it is closed: after an orderly close, an answer without a length would look whole, as it has no
// chunks. The server must have withConn as its ConnContext.
func resetAborted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			defer func() {
				if cause := recover(); cause != nil {
					resetOnClose(r.Context().Value(connKey{}))
					panic(cause)
				}
			}()
		}
		handler.ServeHTTP(w, r)
	})
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn any) {
	if caller, ok := conn.(*callerConn); ok {
		conn = caller.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
