package validator

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// pause lets what was sent cross loopback.
func pause(span timekeeper.Span) { _ = timekeeper.Steady().Sleep(context.Background(), span) }

// connPair returns the two sides of a connection over loopback.
func connPair(t *testing.T) (client *Conn, server *net.TCPConn) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	raw, err := DialContext((&net.Dialer{}).DialContext)(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = raw.Close(), accepted.Close() })
	return raw.(*Conn), accepted.(*net.TCPConn)
}

func TestTheEndOfAConnection(t *testing.T) {
	// Guards against a reset that looks like an orderly close, and the reverse.
	const long = 16 << 20
	closeUnread := func(server *net.TCPConn) {
		_, _ = io.ReadFull(server, make([]byte, 1))
		_ = server.Close()
	}
	reset := func(server *net.TCPConn) { _, _ = server.SetLinger(0), server.Close() }
	tests := []struct {
		name string
		// length is that of the request, which is written while the server ends the connection.
		length int
		end    func(server *net.TCPConn)
		whole  bool
	}{
		{"a close after a short request", 4, func(server *net.TCPConn) {
			_, _ = io.ReadFull(server, make([]byte, 4))
			_ = server.Close()
		}, true},
		{"a close with a short request unread", 4, closeUnread, false},
		{"a reset after a short request", 4, reset, false},
		{"a reset during a request", long, reset, false},
		{"a reset late in a request", long, func(server *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, server, long/2)
			reset(server)
		}, false},
		{"a close with a request unread", long, closeUnread, false},
		{"a half that closes, with the request unread", long, func(server *net.TCPConn) { _ = server.CloseWrite() }, true},
		{"a half that closes, and a reset", long, func(server *net.TCPConn) { _ = server.CloseWrite(); pause(5); reset(server) }, true},
		{"a half that closes, and a whole request", long, func(server *net.TCPConn) {
			_ = server.CloseWrite()
			_, _ = io.CopyN(io.Discard, server, long)
		}, true},
	}
	for _, test := range tests {
		for _, wait := range []timekeeper.Span{0, 20} {
			Convey(test.name+", read after "+wait.String(), t, func() {
				client, server := connPair(t)
				go func() { _, _ = client.Write(make([]byte, test.length)) }()
				_, err := io.WriteString(server, "answer")
				So(err, ShouldBeNil)
				go test.end(server)
				pause(wait)
				got, err := io.ReadAll(client)
				if !test.whole {
					So(err, ShouldNotBeNil)
					return
				}
				So(err, ShouldBeNil)
				So(string(got), ShouldEqual, "answer")
			})
		}
	}
}

func TestAnEndThatTheSystemDoesNotExplain(t *testing.T) {
	// Guards against an end that is trusted during a write on a system that tells no states, and against
	// waiting for that write.
	Convey("the end may be a reset", t, func() {
		near, far := net.Pipe()
		client := NewConn(eofConn{near})
		go func() { _, _ = client.Write([]byte("request")) }()
		_, err := io.ReadFull(far, make([]byte, 1))
		So(err, ShouldBeNil)
		_, err = client.Read(make([]byte, 1))
		var broken Error
		So(eris.As(err, &broken), ShouldBeTrue)
		So(broken.Part, ShouldEqual, End)
		So(far.Close(), ShouldBeNil)
	})
}

// eofConn is a connection whose reads have ended.
type eofConn struct{ net.Conn }

// Read returns io.EOF.
func (eofConn) Read([]byte) (int, error) { return 0, io.EOF }
