package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/caller"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// noWaitClock returns a clock whose timers fire at once.
func noWaitClock() timekeeper.Clock {
	manual := timekeeper.NewManual(0)
	clock := manual.Clock()
	clock.After = func(timekeeper.Span) (<-chan timekeeper.Instant, func()) {
		fired := make(chan timekeeper.Instant, 1)
		fired <- manual.Now()
		return fired, func() {}
	}
	return clock
}

func Example() {
	// The service answers 503 once, then runs the order under the same key.
	tries := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries++
		if tries == 1 {
			w.Header().Set("Content-Type", "application/problem+json")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"title":"busy","ran":"no"}`)
			return
		}
		_, _ = io.WriteString(w, "ordered under "+r.Header.Get("Idempotency-Key"))
	}))
	defer server.Close()

	client := caller.New(caller.Settings{Entries: []string{server.URL}, Key: "team-key", Clock: noWaitClock()})
	order := caller.Call{Method: http.MethodPost, Path: "/orders", Body: []byte(`{"meals":40}`)}
	answer, err := client.Send(context.Background(), order.WithKey("lunch-1"))
	fmt.Println(string(answer.Body), err)
	// Output: ordered under lunch-1 <nil>
}

// cutServer streams events 1 to 4 and cuts the connection after every second event.
// It resumes after the event that Last-Event-ID names.
func cutServer() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next := 1
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-ID"), &next)
		if r.Header.Get("Last-Event-ID") != "" {
			next++
		}
		for sent := 0; next <= 4 && sent < 2; sent++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", next, next)
			next++
		}
		if next <= 4 {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
}

func TestStreamResumesAfterTheLastEvent(t *testing.T) {
	// The connection breaks after every second event. Guards against events that are
	// lost or repeated when the caller resumes with the id of the last event.
	server := cutServer()
	defer server.Close()
	client := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: noWaitClock()})
	Convey("each event is delivered once, in order", t, func() {
		var got []string
		call := caller.Call{Method: http.MethodPost, Path: "/v1/chat/completions"}
		err := client.Stream(t.Context(), call, func(event caller.Event) error {
			got = append(got, event.Data)
			return nil
		})
		So(err, ShouldBeNil)
		So(got, ShouldResemble, []string{"part 1", "part 2", "part 3", "part 4"})
	})
}

func TestSendReportsWhetherTheCallRan(t *testing.T) {
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter)
		tries  int
		want   error
	}{
		{"a refusal without Retry-After", func(w http.ResponseWriter) {
			problem(w, http.StatusUnprocessableEntity, "no", "")
		}, 1, caller.ErrNotRun},
		{"a refusal with Retry-After", func(w http.ResponseWriter) {
			problem(w, http.StatusServiceUnavailable, "no", "1")
		}, 3, caller.ErrNotRun},
		{"an unknown outcome", func(w http.ResponseWriter) {
			problem(w, http.StatusBadGateway, "unknown", "")
		}, 3, caller.ErrUnknown},
		{"a connection that breaks", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 3, caller.ErrUnknown},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var mu sync.Mutex
			keys := map[string]int{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				keys[r.Header.Get("Idempotency-Key")]++
				mu.Unlock()
				test.answer(w)
			}))
			defer server.Close()
			client := caller.New(caller.Settings{Entries: []string{server.URL}, Tries: 3, Clock: noWaitClock()})
			_, err := client.Send(t.Context(), caller.Call{Method: http.MethodPost, Path: "/orders"})
			So(eris.Is(err, test.want), ShouldBeTrue)
			mu.Lock()
			defer mu.Unlock()
			So(len(keys), ShouldEqual, 1)
			for key, count := range keys {
				So(len(key), ShouldEqual, 32)
				So(count, ShouldEqual, test.tries)
			}
		})
	}
}

func problem(w http.ResponseWriter, status int, ran, retryAfter string) {
	w.Header().Set("Content-Type", "application/problem+json")
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"title":"refused","ran":%q}`, ran)
}
