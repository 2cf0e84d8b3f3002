package imitator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// engineCall makes one call to an engine and returns status and body; with a
// cut it leaves after the first event.
func engineCall(t *testing.T, method, address, body string, cut bool) (status int, text string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(RequestHeader, "r-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if cut {
		first := make([]byte, 16)
		_, _ = io.ReadFull(response.Body, first)
		return response.StatusCode, string(first)
	}
	whole, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(whole)
}

func TestAnEngineResumesAndCancelsStreams(t *testing.T) {
	engine, stop := NewEngine(EngineSettings{Clock: timekeeper.Wall(), CancelDelay: 500 * timekeeper.Millisecond})
	t.Cleanup(stop)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	const turn = `{"model":"planner","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"a b c"}]}`
	Convey("a stream whose client left is resumed from where it stood", t, func() {
		_, _ = engineCall(t, "POST", server.URL+"/v1/chat/completions", turn, true)
		_, rest := engineCall(t, "GET", server.URL+"/v1/streams/r-1?after=2", "", false)
		So(strings.Count(rest, "data: {"), ShouldEqual, 10)
		So(rest, ShouldEndWith, doneEvent)
		So(engine.Counts().Runs, ShouldEqual, 1)
	})
	tests := []struct {
		name, method, path string
		want               int
	}{
		{"an unknown stream", "GET", "/v1/streams/none?after=0", http.StatusNotFound},
		{"a place that is none", "GET", "/v1/streams/r-1?after=x", http.StatusBadRequest},
		{"a cancel of an unknown stream", "DELETE", "/v1/streams/none", http.StatusNotFound},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			status, _ := engineCall(t, test.method, server.URL+test.path, "", false)
			So(status, ShouldEqual, test.want)
		})
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	manual := timekeeper.NewManual(0)
	engine := &Engine{settings: EngineSettings{Clock: manual.Clock(), CacheTokens: 40}.withDefaults()}
	engine.reset()
	Convey("nothing is told before its time, and some things never", t, func() {
		for block := range uint64(2010) {
			engine.batch.cache.add([]uint64{block})
		}
		engine.noteEvents()
		So(engine.takeEvents(), ShouldBeEmpty)
		manual.Advance(timekeeper.Second)
		told := engine.takeEvents()
		// Twenty of each thousand are lost; the first thousand lacks number 0.
		So(len(told), ShouldEqual, 2000-2*eventGap)
		So(engine.takeEvents(), ShouldBeEmpty)
	})
}
