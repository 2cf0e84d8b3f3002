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

// engineCall calls an engine and returns status and body; if cut is set, it disconnects
// after the first bytes of the body.
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
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

func TestEngineResumesAndCancelsStreams(t *testing.T) {
	engine, stop := NewEngine(EngineSettings{Clock: timekeeper.Wall(), CancelDelay: 500 * timekeeper.Millisecond})
	t.Cleanup(stop)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	const turn = `{"model":"planner","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"a b c"}]}`
	Convey("a stream is resumed from an offset after its client disconnected", t, func() {
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
		{"an offset that is no number", "GET", "/v1/streams/r-1?after=x", http.StatusBadRequest},
		{"cancelling an unknown stream", "DELETE", "/v1/streams/none", http.StatusNotFound},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			status, _ := engineCall(t, test.method, server.URL+test.path, "", false)
			So(status, ShouldEqual, test.want)
		})
	}
}

func TestCacheEventsAreDelayedAndIncomplete(t *testing.T) {
	manual := timekeeper.NewManual(0)
	engine := &Engine{settings: EngineSettings{Clock: manual.Clock(), CacheTokens: 40}.withDefaults()}
	engine.reset()
	Convey("events appear after EventLag, and some are lost", t, func() {
		for block := range uint64(2010) {
			engine.batch.cache.add([]uint64{block})
		}
		engine.collectEvents()
		So(engine.takeEvents(), ShouldBeEmpty)
		manual.Advance(timekeeper.Second)
		events := engine.takeEvents()
		// 20 of each thousand events are lost: those whose number modulo 1000 is below 20.
		// Of the numbers 1 to 2000, number 2000 takes the place of the missing number 0.
		So(len(events), ShouldEqual, 2000-2*lostPerThousand)
		So(engine.takeEvents(), ShouldBeEmpty)
	})
}
