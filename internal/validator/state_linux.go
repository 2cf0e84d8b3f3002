package validator

import (
	"net"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// States of Linux (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// stateOf returns the state of a connection.
func stateOf(conn net.Conn) connState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknown
	}
	var info *unix.TCPInfo
	failure := control.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case failure != nil || err != nil:
		return unknown
	case info.State == tcpCloseWait:
		return halfClosed
	case info.State == tcpClose:
		return closed
	}
	return unknown
}

// endedBefore reports whether a write failed after the other side had sent its end: Linux then reports
// a reset as EPIPE, and else as ECONNRESET.
func endedBefore(err error) bool { return eris.Is(err, syscall.EPIPE) }
