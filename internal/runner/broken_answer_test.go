package runner

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

func TestBrokenAnswersOfTheUpstream(t *testing.T) {
	// Guards against an agent that passes on part of an answer, or bytes that are none, as a whole answer.
	tests := []struct {
		name, text string
		length     int
		reset      bool
	}{
		{"reset during the upload", "HTTP/1.1 200 OK\r\n\r\npart", 8 << 20, true},
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", 0, false},
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodymore", 0, false},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\nbody", 0, false},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			Convey(test.name, t, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, test.text)
					if test.reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}))
				defer server.Close()
				up := newUpstream(server.URL, resolver.Service{Slots: 1})
				defer up.close()
				for range 10 {
					started := &run{id: "r-1", answer: replayer.New(replayer.Settings{
						OnHead: func() {}, Now: func() *encoder.Digest { return &encoder.Digest{} },
					})}
					complete, _ := up.call(t.Context(), Settings{Name: "a"}, &encoder.Offer{Idempotent: idempotent}, &encoder.Run{
						Method: http.MethodPost, Path: "/orders", Body: make([]byte, test.length),
					}, started)
					So(complete, ShouldBeFalse)
				}
			})
		}
	}
}
