package connector

import (
	"bufio"
	"net"
	"syscall"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes: enough
	// for the head of an answer and some events of a stream. At 300 connections
	// the buffers of an entry take 1.2 MB.
	readBufferSize = 4096
	// defaultIdleTimeout applies when the replica has not stated its own. If the
	// replica closes a connection sooner, the check before each use finds it.
	defaultIdleTimeout = 3 * timekeeper.Second
	// idleTimeoutMargin is subtracted from the replica's idle timeout, so that no
	// request is sent while the replica closes the connection. It is about thirty
	// round trips.
	idleTimeoutMargin = 200 * timekeeper.Millisecond
)

// connection is a connection to a replica.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// bound limits what reader reads from the connection.
	bound *boundedReader
	// used reports whether it has been idle in the pool.
	used bool
	// stray reports whether an answer to another request arrived on it.
	stray bool
	// idleUntil is when an idle connection expires.
	idleUntil timekeeper.Instant
	// idleTimeout is how long the replica keeps an idle connection.
	idleTimeout timekeeper.Span
}

// clean reports whether an idle connection is still open and nothing has arrived on it.
// Bytes that arrive on an idle connection belong to no request.
func (conn *connection) clean() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, failure := syscall.Read(int(descriptor), one[:])
		empty = failure == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// UserTimeoutControl returns a Control function for net.Dialer and net.ListenConfig that
// sets TCP_USER_TIMEOUT, which bounds how long sent bytes may remain unacknowledged. A
// remote host that has lost power or is cut off sends no reset.
func UserTimeoutControl(span timekeeper.Span) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
