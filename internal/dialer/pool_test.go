package dialer

import (
	"context"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestIdleSessionsAreClosed(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go serveWelcomes(listener)
	pool, release := NewPool(Settings{})
	defer release()
	manual := timekeeper.NewManual(1)
	pool.now = manual.Now
	tests := []struct {
		name       string
		idle       timekeeper.Span
		withStream bool
		wantOpen   int
	}{
		{"a recently used session stays open", idleTimeout - 1, false, 1},
		{"a session with a stream stays open", idleTimeout, true, 1},
		{"an idle session is closed", idleTimeout, false, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			stream, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = stream.Close() }()
			if !test.withStream {
				// The peer never accepts the stream, so closing it on this side only
				// leaves it half open.
				pool.peers[listener.Addr().String()].session, err = newSession(listener)
				So(err, ShouldBeNil)
			}
			manual.Advance(test.idle)
			pool.CloseIdle()
			So(pool.countSessions(), ShouldEqual, test.wantOpen)
		})
	}
}

// serveWelcomes answers the first stream of each session with a welcome and reads
// no others.
func serveWelcomes(listener net.Listener) { serveWelcomesTo(listener, make(chan *yamux.Session, 16)) }

// serveWelcomesTo is serveWelcomes, and sends each session to the channel.
func serveWelcomesTo(listener net.Listener, sessions chan<- *yamux.Session) {
	for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
		session, _ := yamux.Server(conn, Settings{}.SessionConfig())
		sessions <- session
		go func() {
			first, err := session.Accept()
			if err != nil {
				return
			}
			stream := encoder.NewStream(first)
			_, _ = stream.Read()
			_ = stream.Write(encoder.Of(&encoder.Welcome{Instance: "agent"}))
			_ = first.Close()
		}()
	}
}

// newSession returns a session without streams.
func newSession(listener net.Listener) (*yamux.Session, error) {
	conn, err := net.Dial("tcp", listener.Addr().String()) //nolint:noctx // It ends with the listener.
	if err != nil {
		return nil, err
	}
	return yamux.Client(conn, Settings{}.SessionConfig())
}

func TestOpenReplacesASessionThatEnded(t *testing.T) {
	// Guards against a peer that counts as unreachable because its session ended
	// after the pool had checked it.
	tests := []struct {
		name string
		end  func(session *yamux.Session)
	}{
		{"the peer accepts no more streams on the session", func(session *yamux.Session) { _ = session.GoAway() }},
		{"the session is closed", func(session *yamux.Session) { _ = session.Close() }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			sessions := make(chan *yamux.Session, 4)
			go serveWelcomesTo(listener, sessions)
			pool, release := NewPool(Settings{})
			defer release()
			first, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = first.Close() }()
			test.end(<-sessions)
			So(eventually(func() bool { return opensNoStream(pool, listener.Addr().String()) }), ShouldBeTrue)
			second, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			_ = second.Close()
			So(pool.countSessions(), ShouldEqual, 1)
		})
	}
}

// opensNoStream reports whether the pool's session opens no more streams.
func opensNoStream(pool *Pool, address string) bool {
	stream, err := pool.peers[address].session.OpenStream()
	if err != nil {
		return true
	}
	_ = stream.Close()
	return false
}

// eventually waits a few seconds for a condition and reports whether it was met.
func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		_ = timekeeper.Steady().Sleep(context.Background(), 5)
	}
	return false
}
