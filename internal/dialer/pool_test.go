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
	go welcomeAll(listener)
	pool, release := NewPool(Settings{})
	defer release()
	manual := timekeeper.NewManual(1)
	pool.now = manual.Now
	tests := []struct {
		name string
		idle timekeeper.Span
		held bool
		left int
	}{
		{"a session that was used lately stays", idleFor - 1, false, 1},
		{"a session with a stream stays", idleFor, true, 1},
		{"an idle session is closed", idleFor, false, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			stream, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = stream.Close() }()
			if !test.held {
				// The peer accepts no stream, so closing it alone leaves it half open.
				pool.peers[listener.Addr().String()].session, err = fresh(listener)
				So(err, ShouldBeNil)
			}
			manual.Advance(test.idle)
			pool.CloseIdle()
			So(pool.size(), ShouldEqual, test.left)
		})
	}
}

// welcomeAll serves sessions whose first stream is welcomed; others stay unread.
func welcomeAll(listener net.Listener) { welcomeEach(listener, make(chan *yamux.Session, 16)) }

// welcomeEach is welcomeAll, and tells of each session.
func welcomeEach(listener net.Listener, sessions chan<- *yamux.Session) {
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

// fresh returns a session without streams.
func fresh(listener net.Listener) (*yamux.Session, error) {
	conn, err := net.Dial("tcp", listener.Addr().String()) //nolint:noctx // It ends with the listener.
	if err != nil {
		return nil, err
	}
	return yamux.Client(conn, Settings{}.SessionConfig())
}

func TestASessionThatEndsBeforeAStreamIsOpened(t *testing.T) {
	// Guards against a peer that counts as unreachable because the session to it has ended
	// since it was looked at.
	tests := []struct {
		name string
		end  func(session *yamux.Session)
	}{
		{"the peer takes no more streams on it", func(session *yamux.Session) { _ = session.GoAway() }},
		{"it is closed", func(session *yamux.Session) { _ = session.Close() }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			sessions := make(chan *yamux.Session, 4)
			go welcomeEach(listener, sessions)
			pool, release := NewPool(Settings{})
			defer release()
			first, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = first.Close() }()
			test.end(<-sessions)
			So(await(func() bool { return ended(pool, listener.Addr().String()) }), ShouldBeTrue)
			second, err := pool.Open(t.Context(), listener.Addr().String())
			So(err, ShouldBeNil)
			_ = second.Close()
			So(pool.size(), ShouldEqual, 1)
		})
	}
}

// ended reports whether the pool's session opens no more streams.
func ended(pool *Pool, address string) bool {
	stream, err := pool.peers[address].session.OpenStream()
	if err != nil {
		return true
	}
	_ = stream.Close()
	return false
}

// await waits for a condition for a few seconds.
func await(holds func() bool) bool {
	for range 1000 {
		if holds() {
			return true
		}
		_ = timekeeper.Steady().Sleep(context.Background(), 5)
	}
	return false
}
