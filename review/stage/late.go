package stage

import (
	"net"
	"sync"
)

// lateConn is a connection of a faulty replica, which may send an answer a second time, at the point
// where the next answer is expected: once the next request arrives.
type lateConn struct {
	net.Conn

	mu sync.Mutex
	// repeats is set while an answer is written that is to come again; again holds what was written.
	repeats bool
	again   []byte
}

// repeatAnswer makes the answer that is written next come again.
func (conn *lateConn) repeatAnswer() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.repeats, conn.again = true, nil
}

// Write writes to the connection, and keeps what comes again.
func (conn *lateConn) Write(text []byte) (int, error) {
	conn.mu.Lock()
	if conn.repeats {
		conn.again = append(conn.again, text...)
	}
	conn.mu.Unlock()
	return conn.Conn.Write(text)
}

// Read reads from the connection. When the next request arrives, it sends the answer again.
func (conn *lateConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	conn.mu.Lock()
	again := conn.again
	if len(again) > 0 {
		conn.repeats, conn.again = false, nil
	}
	conn.mu.Unlock()
	if len(again) > 0 {
		_, _ = conn.Conn.Write(again)
	}
	return count, err
}

// lateListener returns each connection as a lateConn.
type lateListener struct{ net.Listener }

// Accept returns the next connection.
func (listener lateListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn}, nil
}
