package forwarder

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const testKey = "test-key"

// scriptedAgent starts an agent that runs the script for each offer, and returns its
// address.
func scriptedAgent(t *testing.T, script func(stream *encoder.Stream, offer *encoder.Offer)) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, script)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, script func(stream *encoder.Stream, offer *encoder.Offer)) {
	session, err := yamux.Server(conn, dialer.Settings{}.SessionConfig())
	if err != nil {
		return
	}
	for {
		accepted, err := session.Accept()
		if err != nil {
			return
		}
		stream := encoder.NewStream(accepted)
		frame, err := stream.Read()
		switch {
		case err != nil:
		case frame.GetHello() != nil:
			_ = stream.Write(encoder.Of(&encoder.Welcome{Incarnation: 7}))
		case frame.GetOffer() != nil:
			script(stream, frame.GetOffer())
		}
		_ = accepted.Close()
	}
}

// startEntry starts a server with an entry in front of the given agents.
func startEntry(t *testing.T, agents ...string) *httptest.Server {
	t.Helper()
	return startEntryWith(t, func(*Settings) {}, agents...)
}

// startEntryWith is startEntry with settings that the test changes.
func startEntryWith(t *testing.T, change func(settings *Settings), agents ...string) *httptest.Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	sum := sha256.Sum256([]byte(testKey))
	config := resolver.Config{
		Revision: 1,
		Teams:    map[string]resolver.Team{"test": {KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Services: map[string]resolver.Service{
			"planner": {Kind: resolver.KindModel, Models: []string{"planner"}, MaxBody: 4096},
			"orders":  {Kind: resolver.KindPlain, MaxBody: 1024},
		},
		Routes: []resolver.Route{{Path: "/orders", Service: "orders"}, {Path: "/keyed", Service: "orders", RequireKey: true}},
	}
	replicas := make([]placer.Replica, len(agents))
	for i, address := range agents {
		replicas[i] = placer.Replica{Name: fmt.Sprintf("replica-%d", i), Address: address}
	}
	pool, closePool := dialer.NewPool(dialer.Settings{})
	t.Cleanup(closePool)
	settings := Settings{
		Name: "entry-1", Clock: timekeeper.Wall(), Log: log, Scope: tally.NoopScope, Pool: pool,
		Config:      func() resolver.Config { return config },
		Roster:      func(string) placer.Roster { return placer.NewRoster(replicas) },
		Locate:      func(string) (string, bool) { return "", false },
		BodyTimeout: 300 * timekeeper.Millisecond, WriteTimeout: 300 * timekeeper.Millisecond,
	}
	change(&settings)
	server := httptest.NewServer(New(settings))
	t.Cleanup(server.Close)
	return server
}

// exchange writes raw bytes to a server and returns the status and body of its
// answer. halfClose closes the sending side after them.
func exchange(t *testing.T, server *httptest.Server, raw string, halfClose bool) string {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, raw)
	if tcp, ok := conn.(*net.TCPConn); ok && halfClose {
		_ = tcp.CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.Status + " " + string(body)
}

func TestRefusedRequestsGetAProblem(t *testing.T) {
	server := startEntry(t)
	head := func(method, path string, headers ...string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n" +
			strings.Join(headers, "\r\n") + "\r\n\r\n"
	}
	long := strings.Repeat("k", 600)
	tests := []struct {
		name, raw string
		halfClose bool
		want      string
		ran       string
	}{
		{"a body that ends early", head("POST", "/orders", "Content-Length: 100") + "{", true, "400", "no"},
		{"a body that stalls", head("POST", "/orders", "Content-Length: 100") + "{", false, "408", "no"},
		{"a body over the service's limit", head("POST", "/orders", "Content-Length: 2000") + strings.Repeat("x", 2000), false, "413", "no"},
		{"a prompt over the service's limit", head("POST", completionsPath, "Content-Length: 5002") +
			`{"model":"planner","pad":"` + strings.Repeat("x", 4974) + `"}`, false, "413", "no"},
		{"an idempotency key that is too long", head("POST", "/orders", "Idempotency-Key: "+long), false, "431", "no"},
		{"a chat name that is too long", head("GET", "/orders", "Trefoilseam-Chat: "+long), false, "431", "no"},
		{"a wrong method", head("PUT", completionsPath), false, "405", "no"},
		{"malformed JSON", head("POST", completionsPath, "Content-Length: 3") + "{\"a", false, "400", "no"},
		{"JSON of the wrong type", head("POST", completionsPath, "Content-Length: 13") + `{"model":[1]}`, false, "400", "no"},
		{"a missing idempotency key", head("POST", "/keyed", "Content-Length: 0"), false, "400", "no"},
		{"a service without replicas", head("GET", "/orders"), false, "503", "no"},
		{"an unknown stream", head("GET", streamsPath+"a.b.c.d"), false, "410", "unknown"},
		{"an unknown path", head("GET", "/ordersX"), false, "404", "no"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			got := exchange(t, server, test.raw, test.halfClose)
			So(got, ShouldStartWith, test.want)
			So(got, ShouldContainSubstring, `"ran":"`+test.ran+`"`)
		})
	}
	Convey("an invalid request id is replaced", t, func() {
		got := exchange(t, server, head("GET", "/nowhere", "X-Request-Id: "+long), false)
		So(got, ShouldNotContainSubstring, long)
	})
}

// writeAnswer sends a whole answer with one chunk, after the test has changed its
// frames.
func writeAnswer(id string, stream *encoder.Stream, change func(head *encoder.Head, chunk *encoder.Chunk, end *encoder.End)) {
	body := []byte(`{"run":1}`)
	head := &encoder.Head{RequestId: id, Status: 200}
	chunk := &encoder.Chunk{Data: body}
	end := &encoder.End{RequestId: id, Complete: true, Length: uint64(len(body)), Digest: xxhash.Sum64(body)}
	change(head, chunk, end)
	_ = stream.Write(encoder.Of(head), encoder.Of(chunk), encoder.Of(end))
}

func TestInconsistentAnswerIsNotRelayedAsWhole(t *testing.T) {
	// Guards against a faulty agent that answers for another request, skips bytes
	// or ends with the digest of other bytes. The entry checks id, offset and
	// digest, so the caller gets a problem or a cut connection, never a wrong answer.
	tests := []struct {
		name   string
		change func(head *encoder.Head, chunk *encoder.Chunk, end *encoder.End)
		want   string
	}{
		{"a whole answer", func(*encoder.Head, *encoder.Chunk, *encoder.End) {}, "200"},
		{"another request's head", func(head *encoder.Head, _ *encoder.Chunk, _ *encoder.End) { head.RequestId = "other" }, "502"},
		{"a chunk out of place", func(_ *encoder.Head, chunk *encoder.Chunk, _ *encoder.End) { chunk.Offset = 3 }, "502"},
		{"another request's end", func(_ *encoder.Head, _ *encoder.Chunk, end *encoder.End) { end.RequestId = "other" }, "cut"},
		{"a wrong digest", func(_ *encoder.Head, _ *encoder.Chunk, end *encoder.End) { end.Digest++ }, "cut"},
		{"a wrong length", func(_ *encoder.Head, _ *encoder.Chunk, end *encoder.End) { end.Length++ }, "cut"},
		{"an end that is not complete", func(_ *encoder.Head, _ *encoder.Chunk, end *encoder.End) { end.Complete = false }, "cut"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			agent := scriptedAgent(t, func(stream *encoder.Stream, offer *encoder.Offer) {
				writeAnswer(offer.GetRequestId(), stream, test.change)
			})
			server := startEntry(t, agent)
			So(outcomeOf(t, server.URL), ShouldEqual, test.want)
		})
	}
}

// outcomeOf returns the status of one GET, or "cut" when its answer broke off.
func outcomeOf(t *testing.T, base string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/orders", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "cut"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(response.StatusCode)
}

func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	// Guards against a slot that stays taken because a caller requests a large
	// answer and reads nothing. Buffers fill from the caller back to the agent,
	// which pauses its upstream. The entry's write times out, the entry cuts the
	// caller's connection, and the agent sees the stream close and frees the slot.
	stopped := make(chan struct{})
	agent := scriptedAgent(t, func(stream *encoder.Stream, offer *encoder.Offer) {
		_ = stream.Write(encoder.Of(&encoder.Head{RequestId: offer.GetRequestId(), Status: 200}))
		part := make([]byte, 64<<10)
		go func() {
			defer close(stopped)
			for err := error(nil); err == nil; {
				_, err = stream.Read()
			}
		}()
		for offset := uint64(0); ; offset += uint64(len(part)) {
			if stream.Write(encoder.Of(&encoder.Chunk{Offset: offset, Data: part})) != nil {
				return
			}
		}
	})
	server := startEntry(t, agent)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	Convey("the agent sees the stream close", t, func() {
		late, release := timekeeper.Wall().After(20 * timekeeper.Second)
		defer release()
		released := false
		select {
		case <-stopped:
			released = true
		case <-late:
		}
		So(released, ShouldBeTrue)
	})
}

func TestClaimedKeyIsNotReportedAsNotRun(t *testing.T) {
	// Guards against a false "not run". An order ran and its answer was lost; the
	// caller resends it under its key, and the only reachable replica is full and
	// refuses before it checks keys. "Not run" would be true of the resend but not
	// of the order. The entry reads the claim, which is written before anything runs.
	tests := []struct {
		name, claimant string
		found          bool
		err            error
		status         int
		ran            string
	}{
		{"another request has the key", "entry-9-1-1", true, nil, http.StatusConflict, "unknown"},
		{"no request has the key", "", false, nil, http.StatusServiceUnavailable, "no"},
		{"this request has it and did not run", "", true, nil, http.StatusServiceUnavailable, "no"},
		{"the store can't be read", "", false, io.ErrUnexpectedEOF, http.StatusServiceUnavailable, "no"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var own string
			agent := scriptedAgent(t, func(stream *encoder.Stream, offer *encoder.Offer) {
				own = offer.GetRequestId()
				_ = stream.Write(encoder.Of(&encoder.Refused{RequestId: own, Kind: "overloaded", RetryAfter: 1000}))
			})
			server := startEntryWith(t, func(settings *Settings) {
				settings.FindClaim = func(context.Context, string) (string, bool, error) {
					if test.claimant == "" {
						return own, test.found, test.err
					}
					return test.claimant, test.found, test.err
				}
			}, agent)
			got := exchange(t, server, "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "+
				testKey+"\r\nIdempotency-Key: lunch-1\r\nContent-Length: 2\r\n\r\n{}", false)
			So(got, ShouldStartWith, fmt.Sprint(test.status))
			So(got, ShouldContainSubstring, `"ran":"`+test.ran+`"`)
		})
	}
}
