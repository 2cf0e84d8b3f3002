package runner

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// bench is an agent before an upstream that counts its runs.
type bench struct {
	t        testing.TB
	agent    *Agent
	runs     atomic.Int64
	upstream *httptest.Server
	// hold keeps requests for /slow at the upstream; inside is how many are there.
	hold   chan struct{}
	inside atomic.Int64
	// ahead moves the agent's clock without firing its timers, as a pause of
	// the whole process does.
	ahead atomic.Int64
}

func newBench(t testing.TB) *bench {
	t.Helper()
	made := &bench{t: t, hold: make(chan struct{})}
	made.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		made.runs.Add(1)
		made.inside.Add(1)
		defer made.inside.Add(-1)
		if r.URL.Path == "/slow" {
			<-made.hold
		}
		w.Header().Set("Beside", strconv.FormatInt(made.inside.Load()-1, 10))
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
		Table:  imitator.NewPlatform(wall).InProcess().Table,
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
		bench.t.Error(err)
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
		stream := bench.offer("late", "key")
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		found, err := encoder.ReadAs(
			bench.open(&encoder.Lookup{RequestId: "late", Team: "rig", Incarnation: 7, Tombstone: true}), (*encoder.Frame).GetFound)
		So(err, ShouldBeNil)
		So(found.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_NEVER_SEEN)
		_, err = encoder.ReadAs(bench.offer("resend", "key"), (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
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

// restart waits until the agent knows that the upstream is away, serves it
// again, and waits until the agent has seen it.
func (bench *bench) restart(address string) {
	bench.until(func() bool { return bench.agent.Digest().GetState() == encoder.ReplicaState_REPLICA_STATE_DOWN })
	listener, err := net.Listen("tcp", address) //nolint:noctx // A test's listener has no deadline.
	if err != nil {
		bench.t.Fatal(err)
	}
	server := &http.Server{Handler: bench.upstream.Config.Handler} //nolint:gosec // Loopback, in a test.
	bench.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	bench.until(func() bool { return bench.agent.Digest().GetState() != encoder.ReplicaState_REPLICA_STATE_DOWN })
	bench.runs.Store(0)
}

func TestASuspectRunsAlone(t *testing.T) {
	// The suspect's caller waits until the engine is empty, newcomers wait for
	// the suspect, and all get their answers.
	// Should the engine crash again, only one request can be to blame.
	bench := newBench(t)
	Convey("nothing runs beside it", t, func() {
		slow := bench.offer("slow", "")
		_, err := encoder.ReadAs(slow, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		bench.send(slow, &encoder.Run{RequestId: "slow", Method: "POST", Path: "/slow"})
		bench.until(func() bool { return bench.inside.Load() == 1 })
		suspect := bench.open(&encoder.Offer{
			RequestId: "suspect", Service: "orders", Team: "rig", Fingerprint: 9, Strikes: 1, Idempotent: true, RunFollows: true,
		})
		go bench.send(suspect, &encoder.Run{RequestId: "suspect", Method: "GET", Path: "/orders"})
		bench.until(func() bool {
			bench.agent.mu.Lock()
			defer bench.agent.mu.Unlock()
			return bench.agent.strikes.gate.Busy("") || bench.runs.Load() == 2
		})
		newcomer := bench.offer("newcomer", "")
		close(bench.hold)
		So(refusalOf(slow), ShouldEqual, "")
		head, err := encoder.ReadAs(suspect, (*encoder.Frame).GetHead)
		So(err, ShouldBeNil)
		for _, header := range head.GetHeaders() {
			if header.GetName() == "Beside" {
				So(header.GetValue(), ShouldEqual, "0")
			}
		}
		So(refusalOf(suspect), ShouldEqual, "")
		_, err = encoder.ReadAs(newcomer, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
	})
}

// until waits for a condition; it ends with the test.
func (bench *bench) until(condition func() bool) {
	for !condition() {
		if timekeeper.Wall().Sleep(bench.t.Context(), 1) != nil {
			return
		}
	}
}

func TestOldAnswersAreDroppedAndNeverCalledNotRun(t *testing.T) {
	// A caller who comes back too late sees "no longer kept", not "not run".
	// Ended answers fill the memory that the agent may use for them; the oldest
	// bodies go, and their runs stay known.
	bench := newBench(t)
	agent := bench.agent
	const each = 1 << 20
	for i := range mostKept/each + 1 {
		id := "run-" + strconv.Itoa(i)
		ended := &run{id: id, team: "rig", answer: replayer.New(replayer.Settings{})}
		ended.answer.Drain()
		if err := ended.answer.Add(t.Context(), make([]byte, each)); err != nil {
			t.Fatal(err)
		}
		agent.mu.Lock()
		agent.runs[id] = ended
		agent.keep(ended, timekeeper.Instant(i+1))
		agent.mu.Unlock()
	}
	Convey("the oldest is forgotten, the newest is kept", t, func() {
		oldest, _ := agent.find(&encoder.Lookup{RequestId: "run-0", Team: "rig"})
		So(oldest.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_FORGOTTEN)
		newest, _ := agent.find(&encoder.Lookup{RequestId: "run-32", Team: "rig"})
		So(newest.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_DONE)
		total := 0
		for _, kept := range agent.runs {
			total += kept.answer.Held()
		}
		So(total, ShouldEqual, mostKept)
	})
	Convey("after their time all are gone", t, func() {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.forgetOld(timekeeper.Instant(timekeeper.Hour))
		So(len(agent.runs)+len(agent.kept.order)+agent.kept.bytes, ShouldEqual, 0)
	})
}

// BenchmarkOneOrder measures an order at the agent: plain, with a claim in a
// table that answers at once, and with a minted key. The difference is what
// the claim costs beside the store's own time.
func BenchmarkOneOrder(b *testing.B) {
	tests := []struct {
		name string
		key  func(bench *bench, i int) string
	}{
		{"unkeyed", func(*bench, int) string { return "" }},
		{"claimed", func(_ *bench, i int) string { return "key-" + strconv.Itoa(i) }},
		{"minted", func(bench *bench, _ int) string {
			keys, _ := bench.agent.keys.mint.Make("rig", "orders", 1, bench.agent.settings.Clock.Now())
			return keys[0]
		}},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			bench := newBench(b)
			for i := 0; b.Loop(); i++ {
				id := "request-" + strconv.Itoa(i)
				stream := bench.offer(id, test.key(bench, i))
				if _, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted); err != nil {
					b.Fatal(err)
				}
				bench.send(stream, &encoder.Run{RequestId: id, Method: "POST", Path: "/orders", Body: []byte("{}")})
				if kind := refusalOf(stream); kind != "" {
					b.Fatal(kind)
				}
			}
			b.ReportMetric(float64(bench.runs.Load())/float64(b.N), "runs/order")
		})
	}
}
