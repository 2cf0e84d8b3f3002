package runner

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// bench is an agent before an upstream that counts its runs.
type bench struct {
	t        *testing.T
	agent    *Agent
	runs     atomic.Int64
	upstream *httptest.Server
	// ahead moves the agent's clock without firing its timers, as a pause of
	// the whole process does.
	ahead atomic.Int64
}

func newBench(t *testing.T) *bench {
	t.Helper()
	made := &bench{t: t}
	made.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		made.runs.Add(1)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(made.upstream.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	wall := timekeeper.Wall()
	config := resolver.Config{Services: map[string]resolver.Service{"orders": {Kind: resolver.KindPlain}}}
	agent, release, err := New(Settings{
		Name: "orders-1", Service: "orders", Incarnation: 7, Upstream: made.upstream.URL, Log: log, Scope: tally.NoopScope,
		Config: func() resolver.Config { return config },
		Table:  imitator.NewPlatform(wall).Seams().Table,
		Clock: timekeeper.Clock{
			Now:   func() timekeeper.Instant { return wall.Now().Add(timekeeper.Span(made.ahead.Load())) },
			After: wall.After,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	made.agent = agent
	go agent.Keep(t.Context())
	return made
}

// open starts a stream with its first frame.
func (bench *bench) open(first any) *encoder.Stream {
	bench.t.Helper()
	near, far := net.Pipe()
	bench.t.Cleanup(func() { _ = near.Close() })
	go bench.agent.serveStream(bench.t.Context(), far)
	stream := encoder.NewStream(near)
	bench.send(stream, first)
	return stream
}

func (bench *bench) send(stream *encoder.Stream, message any) {
	if err := stream.Write(encoder.Of(message)); err != nil {
		bench.t.Fatal(err)
	}
}

func (bench *bench) offer(request, key string) *encoder.Stream {
	return bench.open(&encoder.Offer{RequestId: request, Service: "orders", Team: "rig", Key: key})
}

// refusalOf reads frames until a refusal, and returns its kind, or "" for an answer.
func refusalOf(stream *encoder.Stream) string {
	for {
		frame, err := stream.Read()
		switch {
		case err != nil:
			return err.Error()
		case frame.GetRefused() != nil:
			return frame.GetRefused().GetKind()
		case frame.GetEnd() != nil:
			return frame.GetEnd().GetKind()
		}
	}
}

func TestALateRunFrameDoesNotRunWhatWasCalledNotRun(t *testing.T) {
	// The caller was told "not run", so its order must not appear afterwards.
	// The slot is granted and the connection breaks; the entry looks the
	// request up and leaves a tombstone; the Run frame arrives only then, or
	// it arrives at an agent that was paused past the time that it waits.
	Convey("a frame behind a tombstone is refused", t, func() {
		bench := newBench(t)
		stream := bench.offer("late", "")
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		found, err := encoder.ReadAs(
			bench.open(&encoder.Lookup{RequestId: "late", Team: "rig", Incarnation: 7, Tombstone: true}), (*encoder.Frame).GetFound)
		So(err, ShouldBeNil)
		So(found.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_NEVER_SEEN)
		bench.send(stream, &encoder.Run{RequestId: "late", Method: "POST", Path: "/orders"})
		So(refusalOf(stream), ShouldEqual, "tombstoned")
		So(bench.runs.Load(), ShouldEqual, 0)
	})
	Convey("a frame that a paused agent finds is refused", t, func() {
		bench := newBench(t)
		stream := bench.offer("paused", "")
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		bench.ahead.Store(int64(timekeeper.Hour))
		bench.send(stream, &encoder.Run{RequestId: "paused", Method: "POST", Path: "/orders"})
		So(refusalOf(stream), ShouldEqual, "deadline-passed")
		So(bench.runs.Load(), ShouldEqual, 0)
	})
}

func TestAnUpstreamThatCantBeReachedHasNotRun(t *testing.T) {
	// The caller sees "not ready, not run", and the same key runs later.
	// The upstream's port is closed, so nothing of the request was sent. The
	// claim stays with the agent and is free for the resend.
	bench := newBench(t)
	address := bench.upstream.Listener.Addr().String()
	bench.upstream.Close()
	Convey("the key is free again", t, func() {
		for request, want := range []string{"not-ready", ""} {
			stream := bench.offer(string(rune('a'+request)), "key")
			granted, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
			bench.send(stream, &encoder.Run{RequestId: granted.GetRequestId(), Method: "POST", Path: "/orders"})
			So(refusalOf(stream), ShouldEqual, want)
			if want != "" {
				bench.restart(address)
			}
		}
		So(bench.runs.Load(), ShouldEqual, 1)
	})
}

// restart serves the upstream again and waits until the agent has seen it.
func (bench *bench) restart(address string) {
	listener, err := net.Listen("tcp", address) //nolint:noctx // A test's listener has no deadline.
	if err != nil {
		bench.t.Fatal(err)
	}
	server := &http.Server{Handler: bench.upstream.Config.Handler} //nolint:gosec // Loopback, in a test.
	bench.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	for bench.agent.Digest().GetState() == encoder.ReplicaState_REPLICA_STATE_DOWN {
		if timekeeper.Wall().Sleep(bench.t.Context(), 5) != nil {
			bench.t.Fatal("the agent never saw the upstream")
		}
	}
	bench.runs.Store(0)
}
