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

// harness is an agent with an upstream that counts its runs.
type harness struct {
	t        testing.TB
	agent    *Agent
	runs     atomic.Int64
	upstream *httptest.Server
	// Requests for /slow wait at the upstream until releaseSlow is closed; atUpstream is
	// how many requests are there.
	releaseSlow chan struct{}
	atUpstream  atomic.Int64
	// clockOffset moves the agent's clock without firing its timers, like a pause of the
	// whole process.
	clockOffset atomic.Int64
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	made := &harness{t: t, releaseSlow: make(chan struct{})}
	made.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		made.runs.Add(1)
		made.atUpstream.Add(1)
		defer made.atUpstream.Add(-1)
		if r.URL.Path == "/slow" {
			<-made.releaseSlow
		}
		w.Header().Set("Beside", strconv.FormatInt(made.atUpstream.Load()-1, 10))
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
			Now:   func() timekeeper.Instant { return wall.Now().Add(timekeeper.Span(made.clockOffset.Load())) },
			After: wall.After,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	made.agent = agent
	go agent.Maintain(t.Context())
	return made
}

// open opens a stream and sends its first frame.
func (harness *harness) open(first any) *encoder.Stream {
	harness.t.Helper()
	near, far := net.Pipe()
	harness.t.Cleanup(func() { _ = near.Close() })
	go harness.agent.serveStream(harness.t.Context(), far)
	stream := encoder.NewStream(near)
	harness.send(stream, first)
	return stream
}

func (harness *harness) send(stream *encoder.Stream, message any) {
	if err := stream.Write(encoder.Of(message)); err != nil {
		harness.t.Error(err)
	}
}

func (harness *harness) offer(request, key string) *encoder.Stream {
	return harness.open(&encoder.Offer{RequestId: request, Service: "orders", Team: "rig", Key: key})
}

// refusalOf reads frames up to a refusal or the end of an answer and returns the kind of
// failure, or "" if there is none.
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

func TestLateRunFrameIsRefused(t *testing.T) {
	// Guards against an order that runs after its caller got "not run". The slot is
	// granted and the connection breaks; the entry looks the request up and leaves a
	// tombstone. The Run frame arrives after that, or it arrives at an agent that was
	// paused for longer than RunTimeout.
	Convey("a Run frame after a tombstone is refused", t, func() {
		harness := newHarness(t)
		stream := harness.offer("late", "key")
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		found, err := encoder.ReadAs(
			harness.open(&encoder.Lookup{RequestId: "late", Team: "rig", Incarnation: 7, Tombstone: true}), (*encoder.Frame).GetFound)
		So(err, ShouldBeNil)
		So(found.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_NEVER_SEEN)
		_, err = encoder.ReadAs(harness.offer("resend", "key"), (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		harness.send(stream, &encoder.Run{RequestId: "late", Method: "POST", Path: "/orders"})
		So(refusalOf(stream), ShouldEqual, "tombstoned")
		So(harness.runs.Load(), ShouldEqual, 0)
	})
	Convey("a Run frame after a pause past RunTimeout is refused", t, func() {
		harness := newHarness(t)
		stream := harness.offer("paused", "")
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		harness.clockOffset.Store(int64(timekeeper.Hour))
		harness.send(stream, &encoder.Run{RequestId: "paused", Method: "POST", Path: "/orders"})
		So(refusalOf(stream), ShouldEqual, "deadline-passed")
		So(harness.runs.Load(), ShouldEqual, 0)
	})
}

func TestUnreachableUpstreamFreesTheKey(t *testing.T) {
	// Guards against a key that stays bound although nothing ran. The upstream's port is
	// closed, so nothing of the request was sent: the caller gets "not ready, not run". The
	// claim stays with the agent, and a resend with the same key runs.
	harness := newHarness(t)
	address := harness.upstream.Listener.Addr().String()
	harness.upstream.Close()
	Convey("a resend with the same key runs", t, func() {
		for request, want := range []string{"not-ready", ""} {
			stream := harness.offer(string(rune('a'+request)), "key")
			granted, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
			harness.send(stream, &encoder.Run{RequestId: granted.GetRequestId(), Method: "POST", Path: "/orders"})
			So(refusalOf(stream), ShouldEqual, want)
			if want != "" {
				harness.restart(address)
			}
		}
		So(harness.runs.Load(), ShouldEqual, 1)
	})
}

// restart waits until the agent has detected that the upstream is down, starts it again,
// and waits until the agent has detected that.
func (harness *harness) restart(address string) {
	harness.until(func() bool { return harness.agent.Digest().GetState() == encoder.ReplicaState_REPLICA_STATE_DOWN })
	listener, err := net.Listen("tcp", address) //nolint:noctx // A test's listener has no deadline.
	if err != nil {
		harness.t.Fatal(err)
	}
	server := &http.Server{Handler: harness.upstream.Config.Handler} //nolint:gosec // Loopback, in a test.
	harness.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	harness.until(func() bool { return harness.agent.Digest().GetState() != encoder.ReplicaState_REPLICA_STATE_DOWN })
	harness.runs.Store(0)
}

func TestRequestWithStrikeRunsAlone(t *testing.T) {
	// Guards against a second crash that strikes harmless requests. A request with a
	// strike waits until the engine is empty, and later requests wait for it, so only that
	// request can be to blame. All get their answers.
	harness := newHarness(t)
	Convey("no other request runs beside it", t, func() {
		slow := harness.offer("slow", "")
		_, err := encoder.ReadAs(slow, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		harness.send(slow, &encoder.Run{RequestId: "slow", Method: "POST", Path: "/slow"})
		harness.until(func() bool { return harness.atUpstream.Load() == 1 })
		suspect := harness.open(&encoder.Offer{
			RequestId: "suspect", Service: "orders", Team: "rig", Fingerprint: 9, Strikes: 1, Idempotent: true, RunFollows: true,
		})
		go harness.send(suspect, &encoder.Run{RequestId: "suspect", Method: "GET", Path: "/orders"})
		harness.until(func() bool {
			harness.agent.mu.Lock()
			defer harness.agent.mu.Unlock()
			return harness.agent.strikes.gate.Busy("") || harness.runs.Load() == 2
		})
		newcomer := harness.offer("newcomer", "")
		close(harness.releaseSlow)
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

// until waits for a condition, at most to the end of the test.
func (harness *harness) until(condition func() bool) {
	for !condition() {
		if timekeeper.Wall().Sleep(harness.t.Context(), 1) != nil {
			return
		}
	}
}

func TestDroppedAnswersAreNotReportedAsNotRun(t *testing.T) {
	// Guards against "not run" for a request that ran. Ended answers exceed the memory
	// that the agent may use for them; the oldest bodies are dropped, and their runs stay
	// known, so that a late caller gets "no longer kept".
	harness := newHarness(t)
	agent := harness.agent
	const each = 1 << 20
	for i := range maxRetainedBytes/each + 1 {
		id := "run-" + strconv.Itoa(i)
		ended := &run{id: id, team: "rig", answer: replayer.New(replayer.Settings{})}
		ended.answer.Drain()
		if err := ended.answer.Add(t.Context(), make([]byte, each)); err != nil {
			t.Fatal(err)
		}
		agent.mu.Lock()
		agent.runs[id] = ended
		agent.retain(ended, timekeeper.Instant(i+1))
		agent.mu.Unlock()
	}
	Convey("the oldest body is dropped, the newest is kept", t, func() {
		oldest, _ := agent.findRun(&encoder.Lookup{RequestId: "run-0", Team: "rig"})
		So(oldest.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_FORGOTTEN)
		newest, _ := agent.findRun(&encoder.Lookup{RequestId: "run-32", Team: "rig"})
		So(newest.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_DONE)
		total := 0
		for _, retained := range agent.runs {
			total += retained.answer.RetainedBytes()
		}
		So(total, ShouldEqual, maxRetainedBytes)
	})
	Convey("all runs are removed after RunRetention", t, func() {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.expireRuns(timekeeper.Instant(timekeeper.Hour))
		So(len(agent.runs)+len(agent.retained.order)+agent.retained.bytes, ShouldEqual, 0)
	})
}

// BenchmarkOneOrder measures an order at the agent: without a key, with a claim in a table
// that answers at once, and with a minted key. The difference is the cost of the claim
// without the store's own time.
func BenchmarkOneOrder(b *testing.B) {
	tests := []struct {
		name string
		key  func(harness *harness, i int) string
	}{
		{"unkeyed", func(*harness, int) string { return "" }},
		{"claimed", func(_ *harness, i int) string { return "key-" + strconv.Itoa(i) }},
		{"minted", func(harness *harness, _ int) string {
			keys, _ := harness.agent.keys.mint.Make("rig", "orders", 1, harness.agent.settings.Clock.Now())
			return keys[0]
		}},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			harness := newHarness(b)
			for i := 0; b.Loop(); i++ {
				id := "request-" + strconv.Itoa(i)
				stream := harness.offer(id, test.key(harness, i))
				if _, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted); err != nil {
					b.Fatal(err)
				}
				harness.send(stream, &encoder.Run{RequestId: id, Method: "POST", Path: "/orders", Body: []byte("{}")})
				if kind := refusalOf(stream); kind != "" {
					b.Fatal(kind)
				}
			}
			b.ReportMetric(float64(harness.runs.Load())/float64(b.N), "runs/order")
		})
	}
}
