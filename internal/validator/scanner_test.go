package validator

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against the sizes of chunks that a caller gets as a part of a body of HTTP/1.0, and against sound answers
// that are taken for such ones.
func TestChunksInHTTP10(t *testing.T) {
	tests := []struct {
		name, text string
		found      bool
	}{
		{"chunks", "HTTP/1.0 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"other letters, bare line feeds", "HTTP/1.0 200 OK\ntransfer-ENCODING:chunked\n\n", true},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
		{"after an interim answer of HTTP/1.0", "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
		{"a version that has chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"a body", "HTTP/1.0 200 OK\r\nA: b\r\n\r\nTransfer-Encoding: chunked\r\n", false},
		{"a longer name", "HTTP/1.0 200 OK\r\nTransfer-Encoding-X: chunked\r\n\r\n", false},
		{"a value", "HTTP/1.0 200 OK\r\nA: b\r\nVia: Transfer-Encoding: chunked\r\n\r\n", false},
		{"no status", "H\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"nothing", "", false},
	}
	for _, test := range tests {
		for _, size := range []int{1, 7, 1 << 10} {
			Convey(test.name, t, func() {
				var scanner headScanner
				scanner.begin()
				found := false
				for text := test.text; text != "" && !found; {
					part := text[:min(size, len(text))]
					found, text = scanner.scan([]byte(part)), text[len(part):]
					// A write in the middle of a head begins none.
					scanner.begin()
				}
				So(found, ShouldEqual, test.found)
			})
		}
	}
	Convey("the next head on a connection is read too", t, func() {
		var scanner headScanner
		scanner.begin()
		So(scanner.scan([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")), ShouldBeFalse)
		scanner.begin()
		So(scanner.scan([]byte(strings.Repeat("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1))), ShouldBeTrue)
	})
}
