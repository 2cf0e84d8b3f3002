package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// breakingAgent closes the connection of each of its first breaks offers without an
// answer. It grants later offers and answers their Run frames.
type breakingAgent struct {
	breaks int
	// refuse refuses later offers instead; nil grants them.
	refuse func(offer *encoder.Offer) *encoder.Refused
	// onBreak runs before a connection is closed.
	onBreak func()

	mu         sync.Mutex
	offers     []*encoder.Offer
	runs       int
	tombstones int
}

// start serves the agent and returns its address.
func (agent *breakingAgent) start(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			if session, err := yamux.Server(conn, dialer.Settings{}.SessionConfig()); err == nil {
				go agent.serve(session)
			}
		}
	}()
	return listener.Addr().String()
}

func (agent *breakingAgent) serve(session *yamux.Session) {
	for {
		accepted, err := session.Accept()
		if err != nil {
			return
		}
		stream := encoder.NewStream(accepted)
		frame, _ := stream.Read()
		switch {
		case frame.GetHello() != nil:
			_ = stream.Write(encoder.Of(&encoder.Welcome{Incarnation: 7}))
		case frame.GetLookup() != nil:
			agent.bury(stream, frame.GetLookup())
		case frame.GetOffer() != nil && agent.isBroken(frame.GetOffer()):
			agent.onBreak()
			_ = session.Close()
		case frame.GetOffer() != nil:
			agent.run(stream, frame.GetOffer())
		}
		_ = accepted.Close()
	}
}

func (agent *breakingAgent) bury(stream *encoder.Stream, lookup *encoder.Lookup) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if lookup.GetTombstone() {
		agent.tombstones++
	}
	_ = stream.Write(encoder.Of(&encoder.Found{
		RequestId: lookup.GetRequestId(), Incarnation: 7, State: encoder.RunState_RUN_STATE_NEVER_SEEN,
	}))
}

// isBroken counts an offer and reports whether its connection breaks.
func (agent *breakingAgent) isBroken(offer *encoder.Offer) bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.offers = append(agent.offers, offer)
	return len(agent.offers) <= agent.breaks
}

func (agent *breakingAgent) run(stream *encoder.Stream, offer *encoder.Offer) {
	if agent.refuse != nil {
		_ = stream.Write(encoder.Of(agent.refuse(offer)))
		return
	}
	_ = stream.Write(encoder.Of(&encoder.Granted{RequestId: offer.GetRequestId(), Incarnation: 7}))
	if frame, err := stream.Read(); err != nil || frame.GetRun() == nil {
		return
	}
	agent.mu.Lock()
	agent.runs++
	agent.mu.Unlock()
	writeAnswer(offer.GetRequestId(), stream, func(*encoder.Head, *encoder.Chunk, *encoder.End) {})
}

func TestOfferIsRepeatedAfterItsConnectionBreaks(t *testing.T) {
	// Guards against "unreachable" for an order whose agent can be reached. A
	// connection breaks between two orders and the entry has not noticed: the offer is
	// written into it and gets no answer. The entry has sent no Run frame, so it offers
	// the order again over a new connection, once.
	tests := []struct {
		name, key  string
		breaks     int
		status     string
		offers     int
		runs       int
		tombstones int
	}{
		{"the connection of a keyed order breaks", "lunch-1", 1, "200", 2, 1, 0},
		{"the connection of an order without a key breaks", "", 1, "200", 2, 1, 0},
		{"the second connection of a keyed order breaks too", "lunch-1", 2, "503", 2, 0, 1},
		{"the second connection of an order without a key breaks too", "", 2, "503", 2, 0, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			agent := &breakingAgent{breaks: test.breaks, onBreak: func() {}}
			got := exchange(t, startEntry(t, agent.start(t)), orderWithKey(test.key), false)
			agent.mu.Lock()
			defer agent.mu.Unlock()
			So(got, ShouldStartWith, test.status)
			So(strings.Contains(got, `"ran":"no"`), ShouldEqual, test.runs == 0)
			So(len(agent.offers), ShouldEqual, test.offers)
			for _, offer := range agent.offers {
				So(offer.GetRequestId(), ShouldEqual, agent.offers[0].GetRequestId())
			}
			So(agent.runs, ShouldEqual, test.runs)
			So(agent.tombstones, ShouldEqual, test.tombstones)
		})
	}
}

func TestOwnClaimIsNotReportedAsUnknown(t *testing.T) {
	// Guards against "unknown" for an order that has not run. The agent claims the key
	// for an offer, its connection breaks and the agent restarts. Its successor finds
	// the claim of the predecessor, which names this order. A claim of another request
	// leaves the outcome unknown.
	tests := []struct {
		name   string
		owner  func(offer *encoder.Offer) string
		status string
		ran    string
	}{
		{"the order's own claim", (*encoder.Offer).GetRequestId, "503", "no"},
		{"the claim of another request", func(*encoder.Offer) string { return "entry-9-1-1" }, "502", "unknown"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			agent := &breakingAgent{breaks: 1, onBreak: func() {}, refuse: func(offer *encoder.Offer) *encoder.Refused {
				return &encoder.Refused{
					RequestId: offer.GetRequestId(), Kind: "outcome-unknown", Incarnation: 7,
					Owner: "replica-0", OwnerIncarnation: 6, OwnerRequest: test.owner(offer),
				}
			}}
			got := exchange(t, startEntry(t, agent.start(t)), orderWithKey("lunch-1"), false)
			So(got, ShouldStartWith, test.status)
			So(got, ShouldContainSubstring, `"ran":"`+test.ran+`"`)
		})
	}
}

// orderWithKey returns a raw order; an empty key means none.
func orderWithKey(key string) string {
	header := ""
	if key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	return "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n" +
		header + "Content-Length: 2\r\n\r\n{}"
}

func TestRepeatedOfferKeepsTheDeadline(t *testing.T) {
	// Guards against a caller that waits for two deadlines: an offer waits in the
	// agent's queue, its connection breaks, and the repeat would wait as long again.
	tests := []struct {
		name   string
		waited timekeeper.Span
		offers int
	}{
		{"some of the time is left", 300 * timekeeper.Millisecond, 2},
		{"no time is left", timekeeper.Second, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			manual := timekeeper.NewManual(1)
			agent := &breakingAgent{breaks: 1, onBreak: func() { manual.Advance(test.waited) }}
			address := agent.start(t)
			server := startEntryWith(t, func(settings *Settings) { settings.Clock = manual.Clock() }, address)
			order := call{
				id: "order-1", service: "orders", method: http.MethodPost, remaining: timekeeper.Second, refusalInfo: &refusalInfo{},
			}
			replica := placer.Replica{Name: "replica-0", Address: address}
			_, done := server.Config.Handler.(*Entry).attempt(t.Context(), httptest.NewRecorder(), order, replica, 0)
			So(done, ShouldEqual, test.offers > 1)
			agent.mu.Lock()
			defer agent.mu.Unlock()
			So(len(agent.offers), ShouldEqual, test.offers)
			for i, offer := range agent.offers {
				So(timekeeper.Span(offer.GetDeadline()), ShouldEqual, timekeeper.Second-timekeeper.Span(i)*test.waited)
			}
		})
	}
}
