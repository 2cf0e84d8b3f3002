package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/caller"
)

// endlessServer answers with a text, and another one again and again until the connection is closed,
// but no more than shows that nothing bounds it. It counts what was sent.
func endlessServer(contentType, first, then string, sent *atomic.Int64) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentType)
		var err error
		if r.Header.Get("Last-Event-ID") == "" {
			_, err = io.WriteString(w, first)
		}
		for sent.Store(0); err == nil && sent.Load() < 64<<20; {
			var count int
			count, err = io.WriteString(w, strings.Repeat(then, 1<<14))
			sent.Add(int64(count))
		}
	}))
}

func TestAnswersWithoutEnd(t *testing.T) {
	// Guards against an answer without an end that takes the memory of the caller's process.
	const limit = 1 << 20
	Convey("a plain answer ends the call, whose outcome is unknown", t, func() {
		var sent atomic.Int64
		server := endlessServer("text/plain", "", "x", &sent)
		defer server.Close()
		client := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: noWaitClock(), MaxAnswerBytes: limit})
		_, err := client.Send(t.Context(), caller.Call{Method: http.MethodPost, Path: "/orders"})
		So(eris.Is(err, caller.ErrUnknown), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "longer than 1048576 bytes")
		So(sent.Load(), ShouldBeLessThan, 64<<20)
	})
	for name, then := range map[string]string{"a line of an event": "x", "an event": "data: x\n"} {
		Convey(name+" cuts off the stream", t, func() {
			var sent atomic.Int64
			server := endlessServer("text/event-stream", "id: 1\ndata: a\n\n", then, &sent)
			defer server.Close()
			client := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: noWaitClock(), MaxAnswerBytes: limit, Tries: 1})
			events := 0
			err := client.Stream(t.Context(), caller.Call{Method: http.MethodPost, Path: "/"}, func(caller.Event) error {
				events++
				return nil
			})
			So(err, ShouldNotBeNil)
			So(events, ShouldEqual, 1)
			So(sent.Load(), ShouldBeLessThan, 64<<20)
		})
	}
}
