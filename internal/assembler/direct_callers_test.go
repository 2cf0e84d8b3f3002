package assembler

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// closingConn is a connection that only notes its close.
type closingConn struct {
	net.Conn
	closed bool
}

func (conn *closingConn) Close() error {
	conn.closed = true
	return nil
}

func TestIdleConnectionsOfCallersMakeRoom(t *testing.T) {
	// Connections of callers pile up. The ones that have been idle for too long are
	// closed, and when there are too many those that have been idle longest; one on
	// which a request is on its way is never closed.
	const descriptors = reservedDescriptors + 100 // 70 for callers, crowded beyond 42
	tests := []struct {
		name                    string
		idle, active            int
		nearLimit, full         bool
		closedShort, closedLong int
	}{
		{"few", 20, 10, false, false, 0, 20},
		{"many", 40, 10, true, false, 8, 40},
		{"too many", 60, 10, true, true, 28, 60},
		{"all in use", 0, 70, true, true, 0, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			callerConns := newCallerConns(clock.Clock(), descriptors)
			var conns []*closingConn
			for number := range test.idle + test.active {
				conn := &closingConn{}
				conns = append(conns, conn)
				callerConns.trackState(conn, http.StateNew)
				callerConns.trackState(conn, http.StateActive)
				if number < test.idle {
					callerConns.trackState(conn, http.StateIdle)
					clock.Advance(10)
				}
			}
			So(callerConns.nearLimit(), ShouldEqual, test.nearLimit)
			So(callerConns.full(), ShouldEqual, test.full)
			closed := func() int {
				count := 0
				for number, conn := range conns {
					if conn.closed {
						count++
						So(number, ShouldBeLessThan, test.idle)
					}
				}
				return count
			}
			callerConns.sweep(timekeeper.Minute)
			So(closed(), ShouldAlmostEqual, test.closedShort, 2)
			clock.Advance(2 * timekeeper.Minute)
			callerConns.sweep(timekeeper.Minute)
			So(closed(), ShouldEqual, test.closedLong)
			for _, conn := range conns {
				callerConns.trackState(conn, http.StateClosed)
			}
			So(callerConns.open, ShouldBeEmpty)
			So(callerConns.idle, ShouldEqual, 0)
		})
	}
}

// offeredConns is a listener that hands out what it holds, and then has ended.
type offeredConns struct {
	net.Listener
	conns []net.Conn
}

func (offered *offeredConns) Accept() (net.Conn, error) {
	if len(offered.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := offered.conns[0]
	offered.conns = offered.conns[1:]
	return conn, nil
}

func TestAConnectionTooManyIsClosedUnread(t *testing.T) {
	// All connections that callers may take are in use. The next one is closed at
	// once, which tells its caller that nothing ran; when one ends, the next is
	// taken.
	callerConns := newCallerConns(timekeeper.NewManual(1).Clock(), reservedDescriptors+3) // 2 for callers
	first, second := &closingConn{}, &closingConn{}
	for _, conn := range []net.Conn{first, second} {
		callerConns.trackState(conn, http.StateNew)
		callerConns.trackState(conn, http.StateActive)
	}
	Convey("and one that has room is taken", t, func() {
		tooMany, taken := &closingConn{}, &closingConn{}
		listener := limitListener{Listener: &offeredConns{conns: []net.Conn{tooMany}}, callerConns: callerConns}
		_, err := listener.Accept()
		So(err, ShouldEqual, net.ErrClosed)
		So(tooMany.closed, ShouldBeTrue)
		callerConns.trackState(first, http.StateClosed)
		listener.Listener = &offeredConns{conns: []net.Conn{taken}}
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		So(conn, ShouldEqual, taken)
		So(taken.closed, ShouldBeFalse)
	})
}
