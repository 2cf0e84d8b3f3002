package caller_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/caller"
)

// rawServer answers each request with a text as it is, and then closes or resets the connection.
func rawServer(text string, reset bool) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
}

func TestBrokenAnswers(t *testing.T) {
	// Guards against part of an answer, or bytes that are none, that Send returns as an answer.
	const refusal = "Content-Type: application/problem+json\r\n\r\n{\"title\":\"busy\",\"ran\":\"no\"}"
	tests := []struct {
		name, text string
		length     int
		reset      bool
	}{
		{"reset during the upload", "HTTP/1.1 200 OK\r\n\r\npart", 8 << 20, true},
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", 0, false},
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodymore", 0, false},
		{"a blank in a name of a refusal", "HTTP/1.1 503 Busy\r\nRetry After: 1\r\n" + refusal, 0, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			server := rawServer(test.text, test.reset)
			defer server.Close()
			client := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: noWaitClock()})
			_, err := client.Send(t.Context(), caller.Call{Method: http.MethodPost, Path: "/orders", Body: make([]byte, test.length)})
			So(eris.Is(err, caller.ErrUnknown), ShouldBeTrue)
		})
	}
}
