package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// trio is a service of replicas a, b and c, which reach each other by pipes. One of them
// may be unresponsive: it takes a message and never answers.
type trio struct {
	agents       map[string]*Agent
	engines      map[string]string
	unresponsive string
}

// newTrio returns three replicas, each with its own engine.
func newTrio(t *testing.T, service resolver.Service) *trio {
	t.Helper()
	made := &trio{agents: map[string]*Agent{}, engines: map[string]string{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := resolver.Config{Services: map[string]resolver.Service{"planner": service}}
	replicas := []placer.Replica{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"}}
	for _, replica := range replicas {
		engine, stop := imitator.NewEngine(imitator.EngineSettings{Clock: timekeeper.Wall()})
		server := httptest.NewServer(engine.Handler())
		agent, release, err := New(Settings{
			Name: replica.Name, Service: "planner", Incarnation: 1, Upstream: server.URL, Log: log, Scope: tally.NoopScope,
			Config: func() resolver.Config { return config }, Clock: timekeeper.Wall(),
			Replicas: func() placer.Roster { return placer.NewRoster(replicas) }, Open: made.open,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { release(); server.Close(); stop() })
		made.agents[replica.Name], made.engines[replica.Name] = agent, server.URL
	}
	return made
}

func (trio *trio) open(ctx context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	if address == trio.unresponsive {
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	go trio.agents[address].serveStream(context.WithoutCancel(ctx), far)
	return near, nil
}

// turnDeadline is the deadline of a turn's call.
const turnDeadline = 2 * timekeeper.Second

// turn makes one turn of the chat at a replica, with the ranking given, and returns how
// many tokens were cached, or "refused".
func (trio *trio) turn(t *testing.T, at string, ranked ...string) string {
	t.Helper()
	near, far := net.Pipe()
	go trio.agents[at].serveStream(t.Context(), far)
	defer func() { _ = near.Close() }()
	stream := encoder.NewStream(near)
	offer := &encoder.Offer{
		RequestId: t.Name() + at + trio.engines[at], Service: "planner", Chat: 7, Candidates: ranked, Deadline: int64(turnDeadline), RunFollows: true,
	}
	offer.Attempt = 1
	if ranked[0] == at {
		offer.Attempt = 0
	}
	body := []byte(`{"max_tokens":1,"messages":[{"role":"user","content":"one two three four five six seven eight"}]}`)
	go func() {
		_ = stream.Write(encoder.Of(offer), encoder.Of(&encoder.Run{
			RequestId: offer.GetRequestId(), Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
		}))
	}()
	cached := ""
	for {
		frame, err := stream.Read()
		switch {
		case err != nil || frame.GetRefused() != nil:
			return "refused"
		case frame.GetEnd() != nil:
			return cached
		}
		for _, header := range frame.GetHead().GetHeaders() {
			if header.GetName() == encoder.CachedHeader {
				cached = header.GetValue()
			}
		}
	}
}

func TestAReplicaFetchesThePrefixOfACallThatItTook(t *testing.T) {
	// Guards against a call that fails or is late because its fetch failed. The chat ran
	// at b. Replica a, which started recently, becomes its home and requests the prefix
	// from b, or from c, which points to b. Only a prefix that is there and arrives makes
	// the answer quick. In the last cases b never answers, or its engine has evicted the
	// prefix without reporting it; then b forgets it too, but not while a turn of the chat
	// runs, whose prefix is not cached yet.
	const cold, warm = "0", "8"
	tests := []struct {
		name         string
		ranked       []string
		unresponsive string
		evicted      bool
		// running is true if another turn of the chat still runs at b.
		running bool
		cached  string
	}{
		{"from the second-ranked replica", []string{"a", "b", "c"}, "", false, false, warm},
		{"from the replica that the second-ranked one points to", []string{"a", "c", "b"}, "", false, false, warm},
		{"an unresponsive source", []string{"a", "b", "c"}, "b", false, false, cold},
		{"an unreported eviction", []string{"a", "b", "c"}, "", true, false, cold},
		{"a turn that still runs", []string{"a", "b", "c"}, "", true, true, cold},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			service := resolver.Service{
				Kind: resolver.KindModel, CachePath: "/cache", CachedHeader: imitator.CachedHeader, FetchTimeout: 100,
			}
			trio := newTrio(t, service)
			So(trio.turn(t, "b", "b", "a", "c"), ShouldEqual, cold)
			trio.agents["c"].recordPointer(&encoder.PointerPut{Chat: 7, Instance: "b", Tokens: 9})
			trio.unresponsive = test.unresponsive
			if test.evicted {
				trio.agents["b"].upstream.base += "/emptied"
			}
			if test.running {
				trio.agents["b"].runs["other"] = &run{chat: 7}
			}
			start := timekeeper.Wall().Now()
			So(trio.turn(t, "a", test.ranked...), ShouldEqual, test.cached)
			So(timekeeper.Wall().Now().Since(start), ShouldBeLessThan, turnDeadline)
			if test.evicted {
				So(trio.agents["b"].directory.Locate(7) == "b", ShouldEqual, test.running)
			}
		})
	}
}

func TestAHandOverStaysWithinItsBounds(t *testing.T) {
	// Guards against cold chats after a replica has left, and against a slow leave.
	// Replica b leaves, and its chat goes to the first of the other replicas with room.
	// With no bytes allowed, or with all other replicas unresponsive, nothing moves, and
	// the leave takes no longer than its limit.
	tests := []struct {
		name  string
		bytes int64
		room  int64
		taken bool
	}{
		{"all fits", 1 << 20, 1000, true},
		{"no byte allowed", 1, 1000, false},
		{"no room elsewhere", 1 << 20, 1, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			trio := newTrio(t, resolver.Service{
				Kind: resolver.KindModel, CachePath: "/cache", CachedHeader: imitator.CachedHeader,
				MaxHandOverBytes: test.bytes,
			})
			trio.turn(t, "b", "b", "a", "c")
			trio.agents["b"].recordChat(7, 100)
			for _, name := range []string{"a", "c"} {
				trio.agents[name].directory.Resize(test.room)
			}
			So(trio.agents["b"].Drain(t.Context()), ShouldBeNil)
			taken := trio.agents["a"].directory.Locate(7) == "a" || trio.agents["c"].directory.Locate(7) == "c"
			So(taken, ShouldEqual, test.taken)
		})
	}
	Convey("an unresponsive receiver", t, func() {
		trio := newTrio(t, resolver.Service{Kind: resolver.KindModel, CachePath: "/cache"})
		trio.turn(t, "b", "b", "a", "c")
		trio.agents["b"].settings.Replicas = func() placer.Roster {
			return placer.NewRoster([]placer.Replica{{Name: "a", Address: "a"}})
		}
		trio.unresponsive = "a"
		const limit = 50 * timekeeper.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), limit.Duration())
		defer cancel()
		start := timekeeper.Wall().Now()
		So(trio.agents["b"].Drain(ctx), ShouldBeNil)
		So(timekeeper.Wall().Now().Since(start), ShouldBeLessThan, handOverTimeout/2)
	})
}
