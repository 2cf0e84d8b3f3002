package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// pause lets what was written cross loopback.
func pause(span timekeeper.Span) { _ = timekeeper.Steady().Sleep(context.Background(), span) }

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestAnAnswerThatIsResetDuringTheUpload(t *testing.T) {
	// Guards against part of an answer without a length that is taken for a whole one, because the write
	// of the request met the reset and the read an ordinary end.
	const part = "partial"
	tests := []struct {
		name   string
		length int
		wait   timekeeper.Span
	}{
		{"a short request", 0, 0},
		{"a request that is sent by one write", 32 << 10, 0},
		{"a long request, reset at once", 8 << 20, 0},
		{"a long request, reset later", 8 << 20, 5},
		{"a request that is nearly written", 1 << 20, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			address, _ := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
				pause(test.wait)
				reset(conn)
			})
			pool := newTestPool(t)
			for range 20 {
				request := Request{Method: http.MethodPost, Path: "/", Host: "kitchen.example", Body: []byte(strings.Repeat("x", test.length))}
				got, err := pool.Do(t.Context(), Target{Key: "a", Address: address}, request)
				if err == nil {
					pause(3)
					_, err = io.ReadAll(got.Body)
					got.Finish(err == nil)
				}
				So(err, ShouldNotBeNil)
			}
			So(pool.OpenConnections(), ShouldEqual, 0)
		})
	}
}

func TestAWholeAnswerBeforeTheBodyWasRead(t *testing.T) {
	// Guards against a sound answer without a length that is rejected, because the replica answers before
	// it has read a long request.
	tests := []struct {
		name string
		end  func(conn net.Conn, reader *bufio.Reader)
	}{
		{"reads the rest and closes", func(_ net.Conn, reader *bufio.Reader) { _, _ = io.CopyN(io.Discard, reader, 8<<20) }},
		{"closes its side, and reads the rest later", func(conn net.Conn, reader *bufio.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			pause(20)
			_, _ = io.CopyN(io.Discard, reader, 8<<20)
		}},
		{"closes its side, and resets later", func(conn net.Conn, _ *bufio.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			pause(2)
			reset(conn)
		}},
	}
	for _, test := range tests {
		Convey("a replica that "+test.name, t, func() {
			address, _ := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				test.end(conn, reader)
			})
			pool := newTestPool(t)
			for range 20 {
				request := Request{Method: http.MethodPost, Path: "/", Host: "kitchen.example", Body: []byte(strings.Repeat("x", 8<<20))}
				got, err := pool.Do(t.Context(), Target{Key: "a", Address: address}, request)
				So(err, ShouldBeNil)
				pause(5)
				body, err := io.ReadAll(got.Body)
				So(err, ShouldBeNil)
				So(string(body), ShouldEqual, "whole")
				got.Finish(true)
			}
			So(pool.OpenConnections(), ShouldEqual, 0)
		})
	}
}
