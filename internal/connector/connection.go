package connector

import (
	"bufio"
	"net"
	"syscall"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// readBuffer holds the head of an answer and some events of a stream, in
	// bytes. At 300 connections an entry spends 1.2 MB on it.
	readBuffer = 4096
	// defaultIdle is how long a connection is kept when the replica has not said
	// how long it keeps it. Replicas that close sooner are found by the check
	// before each use.
	defaultIdle = 3 * timekeeper.Second
	// idleMargin is taken off the time that a replica states, so that a request
	// does not cross the replica's close: it is some thirty round trips.
	idleMargin = 200 * timekeeper.Millisecond
)

// connection is one kept connection to a replica.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// used reports whether an exchange has ended on it before.
	used bool
	// foreign reports whether an answer of another request came on it.
	foreign bool
	// idleUntil is when it is too old for another exchange.
	idleUntil timekeeper.Instant
	// silent is how long the replica keeps it idle.
	silent timekeeper.Span
}

// clean reports whether nothing has come on an idle connection: neither an end
// nor bytes. Bytes that come while nobody waits belong to no request.
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
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, failure := syscall.Read(int(descriptor), one[:])
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// userTimeout is Linux's TCP_USER_TIMEOUT.
const userTimeout = 18

// UserTimeoutControl returns a function for net.Dialer and net.ListenConfig that bounds how
// long sent bytes may stay without an acknowledgement: no reset tells of a peer that has
// lost power or is cut off.
func UserTimeoutControl(span timekeeper.Span) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(span))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
