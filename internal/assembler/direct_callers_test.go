package assembler

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// closingConn is a connection that records whether it was closed.
type closingConn struct {
	net.Conn
	closed bool
}

func (conn *closingConn) Close() error {
	conn.closed = true
	return nil
}

func TestIdleCallerConnectionsAreClosedFirst(t *testing.T) {
	// Guards against callers' connections that use up the descriptors, and against
	// closing the wrong ones. Connections that have been idle too long are closed, and
	// with too many connections those that have been idle longest, but never one with a
	// request in flight.
	const descriptors = reservedDescriptors + 100 // 70 for callers, soft limit 42
	tests := []struct {
		name                          string
		idle, active                  int
		nearLimit, full               bool
		closedAtOnce, closedAfterIdle int
	}{
		{"few", 20, 10, false, false, 0, 20},
		{"many", 40, 10, true, false, 8, 40},
		{"too many", 60, 10, true, true, 28, 60},
		{"none idle", 0, 70, true, true, 0, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			tracker := newConnTracker(clock.Clock(), descriptors)
			var conns []*closingConn
			for number := range test.idle + test.active {
				conn := &closingConn{}
				conns = append(conns, conn)
				tracker.trackState(conn, http.StateNew)
				tracker.trackState(conn, http.StateActive)
				if number < test.idle {
					tracker.trackState(conn, http.StateIdle)
					clock.Advance(10)
				}
			}
			So(tracker.nearLimit(), ShouldEqual, test.nearLimit)
			So(tracker.full(), ShouldEqual, test.full)
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
			tracker.sweep(timekeeper.Minute)
			So(closed(), ShouldAlmostEqual, test.closedAtOnce, 2)
			clock.Advance(2 * timekeeper.Minute)
			tracker.sweep(timekeeper.Minute)
			So(closed(), ShouldEqual, test.closedAfterIdle)
			for _, conn := range conns {
				tracker.trackState(conn, http.StateClosed)
			}
			So(tracker.open, ShouldBeEmpty)
			So(tracker.idleCount, ShouldEqual, 0)
		})
	}
}

// fakeListener is a listener that accepts its conns and then reports that it is closed.
type fakeListener struct {
	net.Listener
	conns []net.Conn
}

func (listener *fakeListener) Accept() (net.Conn, error) {
	if len(listener.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := listener.conns[0]
	listener.conns = listener.conns[1:]
	return conn, nil
}

func TestConnectionBeyondLimitIsClosedUnread(t *testing.T) {
	// Guards against callers who wait on a connection that the entry can't serve. At the
	// limit the next connection is closed at once, which shows its caller that nothing
	// ran; after one has ended, the next is accepted.
	tracker := newConnTracker(timekeeper.NewManual(1).Clock(), reservedDescriptors+3) // 2 for callers
	first, second := &closingConn{}, &closingConn{}
	for _, conn := range []net.Conn{first, second} {
		tracker.trackState(conn, http.StateNew)
		tracker.trackState(conn, http.StateActive)
	}
	Convey("a connection is accepted again once another has ended", t, func() {
		rejected, accepted := &closingConn{}, &closingConn{}
		listener := limitListener{Listener: &fakeListener{conns: []net.Conn{rejected}}, tracker: tracker, sheds: func() bool { return false }}
		_, err := listener.Accept()
		So(err, ShouldEqual, net.ErrClosed)
		So(rejected.closed, ShouldBeTrue)
		tracker.trackState(first, http.StateClosed)
		listener.Listener = &fakeListener{conns: []net.Conn{accepted}}
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		So(conn, ShouldEqual, accepted)
		So(accepted.closed, ShouldBeFalse)
	})
}
