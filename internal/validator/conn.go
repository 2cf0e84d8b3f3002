package validator

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// Conn is the client's side of a connection on which a reset never looks like an orderly close, nor chunks
// like a body of HTTP/1.0.
//
// The kernel reports a reset once. If a write meets it, reads return what has arrived and then io.EOF,
// as after an orderly close. A Conn returns an Error instead.
type Conn struct {
	net.Conn

	// isAsked reports whether something was written since the last read, so that a head may follow.
	isAsked atomic.Bool
	// scanner belongs to the goroutine that reads.
	scanner headScanner

	// writing is held during a write, and guards failed.
	writing sync.Mutex
	// failed is the error of the first write that failed.
	failed error
}

// NewConn returns a Conn over a TCP connection to which nothing has been written yet.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialContext returns a function that opens connections as dial does, each as a Conn.
func DialContext(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write writes to the connection.
func (conn *Conn) Write(text []byte) (int, error) {
	conn.isAsked.Store(true)
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(text)
	if err != nil && conn.failed == nil {
		conn.failed = err
	}
	return count, err
}

// Read reads from the connection. It returns io.EOF only if the other side has closed the connection
// in order, and an Error at its End if it may have been reset, or for the Framing of a head.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if conn.isAsked.Swap(false) {
		conn.scanner.begin()
	}
	if conn.scanner.scan(buffer[:count]) {
		return 0, Error{Part: Framing, Text: fieldTransferEncoding + " in an answer of HTTP/1.0"}
	}
	switch {
	case err == io.EOF:
		err = conn.end()
	case eris.Is(err, syscall.ECONNRESET):
		err = Error{Part: End, Cause: err}
	}
	return count, err
}

// end returns the error with which reads end.
func (conn *Conn) end() error {
	if !conn.writing.TryLock() {
		switch stateOf(conn.Conn) {
		case halfClosed:
			return io.EOF
		case unknown:
			return Error{Part: End}
		case closed:
		}
		// On a closed connection the write that is under way ends too.
		conn.writing.Lock()
	}
	defer conn.writing.Unlock()
	if conn.failed == nil || endedBefore(conn.failed) {
		return io.EOF
	}
	return Error{Part: End, Cause: conn.failed}
}

// SyscallConn returns the raw connection.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no socket")
	}
	return raw.SyscallConn()
}

// connState is the state of a connection whose reads have ended.
type connState uint8

const (
	// unknown means that the system doesn't tell.
	unknown connState = iota
	// halfClosed means that the other side has sent its end, and that this one may still write.
	halfClosed
	// closed means that neither side may write, also because of a reset.
	closed
)
