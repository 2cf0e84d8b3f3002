package connector

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// endless writes a text, and then another one again and again until the connection is closed. It gives
// up after as much as shows that nothing bounds the answer.
func endless(first, then string) replicaScript {
	return func(conn net.Conn, reader *bufio.Reader, _ int) {
		readRequest(reader)
		piece := []byte(strings.Repeat(then, 1+(16<<10)/len(then)))
		_, err := io.WriteString(conn, first)
		for sent := 0; err == nil && sent < 64<<20; sent += len(piece) {
			_, err = conn.Write(piece)
		}
	}
}

const (
	signedHead = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"
	strayHead  = "HTTP/1.1 200 OK\r\nTest-Id: another\r\n"
)

func TestAnswersWithoutEnd(t *testing.T) {
	// Guards against an answer without an end, which would take the memory of the process and the
	// time of its caller.
	const maxBody = 1 << 20
	const slow = 2 * timekeeper.Second
	tests := []struct {
		name, first, then string
		// part is the part that is too long, or zero if another error ends the answer.
		part Part
	}{
		{"bytes that are no answer", "", "\x80\xff", Head},
		{"a status line", "HTTP/1.1 200 ", "O", Head},
		{"a header field", signedHead + "Field: ", "v", Head},
		{"long header fields", signedHead, "Field: " + strings.Repeat("v", 4000) + "\r\n", Head},
		{"short header fields", signedHead, "a: b\r\n", Head},
		{"more header fields than are kept", signedHead + strings.Repeat("a:\n", maxHeadFields) + "\r\n", "x", Fields},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", Interim},
		{"an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n", "a: b\r\n", Interim},
		{"answers to other requests", "", strayHead + "Content-Length: 2\r\n\r\nok", 0},
		{"an answer to another request", strayHead + "Content-Length: 900000000000\r\n\r\n", "x", 0},
		{"an answer without a length to another request", strayHead + "\r\n", "x", 0},
		{"a body without a length", signedHead + "\r\n", "x", Body},
		{"a body with a length", signedHead + "Content-Length: 900000000000\r\n\r\n", "x", Body},
		{"chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", Body},
		{"a chunk", signedHead + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x", Body},
		{"an extension of a chunk", signedHead + "Transfer-Encoding: chunked\r\n\r\n2;", "x", 0},
		{"the size of a chunk", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		{"a trailer", signedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "a: b\r\n", 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			address, _ := startReplica(t, endless(test.first, test.then))
			pool, clock := newTestPool(t), timekeeper.Steady()
			request := requestOf("1")
			request.MaxBody = maxBody
			began, read := clock.Now(), int64(0)
			got, err := pool.Do(t.Context(), Target{Key: "a", Address: address}, request)
			if err == nil {
				read, err = io.Copy(io.Discard, got.Body)
				got.Finish(err == nil)
			}
			So(err, ShouldNotBeNil)
			So(clock.Now().Since(began), ShouldBeLessThan, slow)
			So(read, ShouldBeLessThanOrEqualTo, maxBody)
			So(pool.OpenConnections(), ShouldEqual, 0)
			var long TooLongError
			So(eris.As(err, &long), ShouldEqual, test.part != 0)
			So(long.Part, ShouldEqual, test.part)
		})
	}
}

func TestLongAnswersWithinTheBounds(t *testing.T) {
	// Guards against a bound that cuts off an answer that is only long.
	const maxBody = 1 << 20
	field := "Field: " + strings.Repeat("v", 1000) + "\r\n"
	tests := []struct{ name, text string }{
		{"a head as long as its bound", signedHead + "Content-Length: 0\r\nField: " +
			strings.Repeat("v", maxHeadBytes-len(signedHead+"Content-Length: 0\r\nField: \r\n\r\n")) + "\r\n\r\n"},
		{"ten long fields and a long body", signedHead + strings.Repeat(field, 10) + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", maxBody)},
		{"as many fields as the bound", signedHead + strings.Repeat("a: b\r\n", maxHeadFields-2) + "Content-Length: 2\r\n\r\nok"},
		{"interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n", 20) + signedHead + "Content-Length: 2\r\n\r\nok"},
		{"chunks up to the bound", signedHead + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", maxBody) + "\r\n0\r\n\r\n"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var served atomic.Int32
			address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				for id := readRequest(reader); id != ""; id = readRequest(reader) {
					served.Add(1)
					_, _ = io.WriteString(conn, test.text)
				}
			})
			pool := newTestPool(t)
			for range 2 {
				request := requestOf("1")
				request.MaxBody = maxBody
				got, err := pool.Do(t.Context(), Target{Key: "a", Address: address}, request)
				So(err, ShouldBeNil)
				_, err = io.Copy(io.Discard, got.Body)
				So(err, ShouldBeNil)
				got.Finish(true)
			}
			So(served.Load(), ShouldEqual, 2)
			So(accepted.Load(), ShouldEqual, 1)
		})
	}
}
