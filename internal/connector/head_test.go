package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswersThatAreNotHTTP(t *testing.T) {
	// Guards against an answer that the protocol doesn't allow, and with it fields or a body that the
	// replica didn't mean.
	const rest = "Test-Id: 1\r\nContent-Length: 4\r\n\r\nbodymore"
	tests := []struct {
		name, answer string
		valid        bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + rest, true},
		{"sound, without a reason", "HTTP/1.1 200 \r\n" + rest, true},
		{"sound, of the highest status", "HTTP/1.1 599 Odd\r\n" + rest, true},
		{"sound, of an earlier version", "HTTP/1.0 200 OK\r\n" + rest, true},
		{"sound, after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, true},
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + rest, false},
		{"status 000 before a sound answer", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, false},
		{"status 099", "HTTP/1.1 099 Trouble\r\n" + rest, false},
		{"a status with a sign", "HTTP/1.1 +20 Trouble\r\n" + rest, false},
		{"status 600", "HTTP/1.1 600 Trouble\r\n" + rest, false},
		{"status 999", "HTTP/1.1 999 Trouble\r\n" + rest, false},
		{"another version", "HTTP/2.0 200 OK\r\n" + rest, false},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + rest, false},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" + rest, false},
		{"a blank before the colon of the only length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length : 4\r\n\r\nbodymore", false},
		{"chunks behind a blank", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nContent Type: x\r\n" + rest, false},
		{"a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nLink Rel: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, false},
		{"a tab in a name", "HTTP/1.1 200 OK\r\nContent\tType: x\r\n" + rest, false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nContent\x01Type: x\r\n" + rest, false},
		{"a zero byte in a name", "HTTP/1.1 200 OK\r\nContent\x00Type: x\r\n" + rest, false},
		{"a byte over 127 in a name", "HTTP/1.1 200 OK\r\nContent\x80Type: x\r\n" + rest, false},
		{"a separator in a name", "HTTP/1.1 200 OK\r\nContent/Type: x\r\n" + rest, false},
		{"an empty name", "HTTP/1.1 200 OK\r\n: x\r\n" + rest, false},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nContent-Type: x\x01\r\n" + rest, false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + rest, false},
		{"a length with a sign", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: +4\r\n\r\nbody", false},
		{"an unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + rest, false},
		{"a switch of protocols", "HTTP/1.1 101 Switching\r\n" + rest, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			address, accepted := startReplica(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, test.answer)
				}
			})
			pool := newTestPool(t)
			body, err := exchange(pool, Target{Key: "a", Address: address}, "1")
			if test.valid {
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "body")
				return
			}
			var failure Failure
			So(eris.As(err, &failure), ShouldBeTrue)
			So(failure.Progress, ShouldEqual, Sent)
			So(accepted.Load(), ShouldEqual, 1)
			So(pool.OpenConnections(), ShouldEqual, 0)
		})
	}
}
