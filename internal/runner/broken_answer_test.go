package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
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

func TestAnswersWithoutEndOfTheUpstream(t *testing.T) {
	// Guards against an agent that keeps all of an answer without an end, in its head, an event or the
	// body.
	const most = 64 << 20
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	tests := []struct {
		name, first, then string
		kind              resolver.ServiceKind
		drain             bool
	}{
		{"no answer", "", "\x80", resolver.KindPlain, false},
		{"a head", "HTTP/1.1 200 OK\r\n", "a: b\r\n", resolver.KindPlain, false},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", resolver.KindPlain, false},
		{"an event", stream, "x", resolver.KindModel, false},
		{"a body that nobody reads", "HTTP/1.1 200 OK\r\n\r\n", "x", resolver.KindPlain, false},
		{"a body whose caller has left", "HTTP/1.1 200 OK\r\n\r\n", "x", resolver.KindPlain, true},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				piece := strings.Repeat(test.then, 1+(16<<10)/len(test.then))
				_, err = io.WriteString(conn, test.first)
				for sent := 0; err == nil && sent < most; sent += len(piece) {
					_, err = io.WriteString(conn, piece)
				}
			}))
			defer server.Close()
			up := newUpstream(server.URL, resolver.Service{Slots: 1, Kind: test.kind})
			defer up.close()
			started := &run{id: "r-1", answer: replayer.New(replayer.Settings{})}
			if test.drain {
				started.answer.Drain()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			before := inUse()
			complete, _ := up.call(ctx, Settings{Name: "a"}, &encoder.Offer{}, &encoder.Run{Method: http.MethodGet, Path: "/"}, started)
			So(inUse()-before, ShouldBeLessThan, 4<<20)
			So(complete && !test.drain, ShouldBeFalse)
			started.answer.Close(started.id, complete, classifier.Failure{})
		})
	}
}
