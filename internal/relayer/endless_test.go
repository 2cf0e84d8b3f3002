package relayer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// twoReplicas starts two replicas of which the one that is asked first answers with the script, and
// returns their addresses.
func twoReplicas(t *testing.T, first func(conn net.Conn, id string), then func(conn net.Conn, id string)) (addresses [2]string) {
	var asked atomic.Int32
	answer := func(conn net.Conn, id string) {
		if asked.Add(1) == 1 {
			first(conn, id)
			return
		}
		then(conn, id)
	}
	return [2]string{scriptedReplica(t, answer), scriptedReplica(t, answer)}
}

// scriptedReplica starts a replica that answers one request on each connection with the script, and
// returns its address.
func scriptedReplica(t *testing.T, answer func(conn net.Conn, id string)) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
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
			go func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, request.Header.Get("Id"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// flood writes a text, and then another one again and again until the connection is closed, but no
// more than shows that nothing bounds the answer.
func flood(first, then string) func(conn net.Conn, id string) {
	return func(conn net.Conn, id string) {
		piece := []byte(strings.Repeat(then, 1+(16<<10)/len(then)))
		_, err := io.WriteString(conn, strings.ReplaceAll(first, "{id}", id))
		for sent := 0; err == nil && sent < 160<<20; sent += len(piece) {
			_, err = conn.Write(piece)
		}
	}
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: 1\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\nConnection: close\r\n"
	refusal    = "HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\n"
	twoEvents  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// endlessEntry returns an entry with two replicas and one route for calls of a kind, and its metrics.
func endlessEntry(t *testing.T, addresses [2]string, route router.Route, call Call) (*Entry, tally.TestScope) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := timekeeper.Steady()
	fleet := balancer.New(balancer.Settings{})
	fleet.SetReplicas([]balancer.Replica{
		{ID: "i-1", Service: "planner", Address: addresses[0], Slots: 8, SoftwareVersion: "v1"},
		{ID: "i-2", Service: "planner", Address: addresses[1], Slots: 8, SoftwareVersion: "v1"},
	}, sequencer.Version{Number: 1})
	pool, release := connector.NewPool(connector.Settings{Clock: clock})
	t.Cleanup(release)
	route.Host, route.Prefix, route.MaxReplicas = "kitchen.example", "/", 2
	route.Destinations = []router.Destination{{Service: "planner", Weight: 1}}
	config := router.New(router.Content{Version: 1, Routes: []router.Route{route}})
	dialect := plainDialect()
	dialect.ReadCall = func(r *http.Request) (Call, error) {
		read := call
		read.ID = r.Header.Get("Id")
		return read, nil
	}
	dialect.ReadHead = func(_ int, header http.Header) Head {
		return Head{ID: header.Get("Id"), Signed: header.Get("Signed") != "", NotRun: header.Get("Not-Run") != ""}
	}
	scope := tally.NewTestScope("", nil)
	entry := New(Settings{
		Clock: clock, Log: log, Scope: scope, Fleet: balancer.Guard(fleet), Pool: pool, Dialect: dialect,
		Config: func() *router.Configuration { return config }, ConnectionShares: func() int { return 8 }, RetryParts: func() int { return 1 },
		RetryBudget: RetryBudget{Window: timekeeper.Minute, Extra: 20}, FirstStart: true, BodyMemory: 1 << 20, AnswerMemory: 1 << 20,
	})
	return entry, scope
}

// longAnswers returns how many answers were counted as too long, by part.
func longAnswers(scope tally.TestScope) map[string]int64 {
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "relay.long-answers" {
			counts[counter.Tags()["part"]] += counter.Value()
		}
	}
	return counts
}

func TestCallersOfAnswersWithoutEnd(t *testing.T) {
	// Guards against an answer without an end that is relayed, held or waited for until the deadline
	// of its request.
	const deadline, slow = 10 * timekeeper.Second, 5 * timekeeper.Second
	safe, once := router.Route{Kind: router.Safe}, router.Route{Kind: router.Once}
	stream, resumable := router.Route{Kind: router.Stream}, router.Route{Kind: router.Stream, Resumable: true}
	drip := func(conn net.Conn, id string) {
		_, err := io.WriteString(conn, strings.ReplaceAll(refusal+"Content-Length: 900\r\n\r\n", "{id}", id))
		for ; err == nil; _, err = io.WriteString(conn, "x") {
			_ = timekeeper.Steady().Sleep(t.Context(), 20)
		}
	}
	tests := []struct {
		name  string
		route router.Route
		first func(conn net.Conn, id string)
		// status and body are what the caller gets; broken reports whether its answer breaks off.
		status int
		body   string
		broken bool
		part   string
	}{
		{"no answer, safe", safe, flood("", "\x80"), 200, "sound", false, "head"},
		{"no answer, once only", once, flood("", "\x80"), 502, "", false, "head"},
		{"a head, safe", safe, flood(plainHead, "a: b\r\n"), 200, "sound", false, "head"},
		{"interim answers, once only", once, flood("", "HTTP/1.1 103 Early Hints\r\n\r\n"), 502, "", false, "interim"},
		{"an announced body, safe", safe, flood(plainHead+"Content-Length: 900000000000\r\n\r\n", "x"), 200, "sound", false, "body"},
		{"an announced body, once only", once, flood(plainHead+"Content-Length: 900000000000\r\n\r\n", "x"), 502, "", false, "body"},
		{"a body without a length", once, flood(plainHead+"Connection: close\r\n\r\n", "x"), 200, "", true, "body"},
		{"chunks", once, flood(plainHead+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n"), 200, "", true, "body"},
		{"chunks of a byte", once, flood(plainHead+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), 200, "", true, ""},
		{"the body of a refusal", once, flood(refusal+"Connection: close\r\n\r\n", "x"), 200, "sound", false, ""},
		{"the body of a refusal, slowly", once, drip, 200, "sound", false, ""},
		{"one event", stream, flood(streamHead+"\r\n"+twoEvents, "x"), 200, twoEvents, true, "event"},
		{"one event, resumable", resumable, flood(streamHead+"\r\n"+twoEvents, "x"), 200, twoEvents + "id: 3\ndata: c\n\n", false, "event"},
		{"one event of many lines", stream, flood(streamHead+"\r\n"+twoEvents, "data: x\n"), 200, twoEvents, true, "event"},
		{"one event at the start", resumable, flood(streamHead+"\r\n", "x"), 200, "id: 3\ndata: c\n\n", false, "event"},
		{"bytes that are no events, resumable", resumable, flood(streamHead+"\r\n", "\x80\n\n"), 200, "id: 3\ndata: c\n\n", false, ""},
		{"events", stream, flood(streamHead+"\r\n"+twoEvents, "id: 3\ndata: c\n\n"), 200, "", true, "body"},
		{"comments", stream, flood(streamHead+"\r\n"+twoEvents, ": x\n\n"), 200, "", true, "body"},
		{"a head of a stream", stream, flood(streamHead, "a: b\r\n"), 502, "", false, "head"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			sound := func(conn net.Conn, id string) {
				text := plainHead + "Content-Length: 5\r\n\r\nsound"
				if test.route.Kind == router.Stream {
					text = streamHead + "\r\nid: 3\ndata: c\n\n"
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", id))
			}
			entry, scope := endlessEntry(t, twoReplicas(t, test.first, sound), test.route, Call{Deadline: deadline, MaxOutputTokens: 80})
			front := httptest.NewServer(entry)
			defer front.Close()
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/", http.NoBody)
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			clock := timekeeper.Steady()
			began := clock.Now()
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(clock.Now().Since(began), ShouldBeLessThan, slow)
			So(response.StatusCode, ShouldEqual, test.status)
			So(err != nil, ShouldEqual, test.broken)
			if test.body != "" {
				So(string(body), ShouldEqual, test.body)
			}
			if test.part != "" {
				So(longAnswers(scope), ShouldResemble, map[string]int64{test.part: 1})
			}
			for entry.Active() > 0 {
				_ = clock.Sleep(t.Context(), 1)
			}
			So(entry.answers.Used(), ShouldEqual, 0)
		})
	}
}

func TestLongAnswersAreRelayed(t *testing.T) {
	// Guards against bounds that cut off answers that are only long, or streams that are only slow.
	long := strings.Repeat("0123456789abcdef", 1<<20)
	tests := []struct {
		name  string
		route router.Route
		text  string
		pause timekeeper.Span
	}{
		{"16 MiB with a length", router.Route{Kind: router.Once}, "Content-Length: 16777216\r\n\r\n" + long, 0},
		{"16 MiB to the end of the connection", router.Route{Kind: router.Once}, "Connection: close\r\n\r\n" + long, 0},
		{"an event of 200 kB", router.Route{Kind: router.Stream}, "Content-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: " + long[:200_000] + "\n\n", 0},
		{"a slow stream", router.Route{Kind: router.Stream}, "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + strings.Repeat("data: a\n\n", 30), 20},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			sound := func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id))
				if test.pause == 0 {
					_, _ = io.WriteString(conn, test.text)
				}
				for rest := []byte(test.text); test.pause > 0 && len(rest) > 0; rest = rest[min(9, len(rest)):] {
					_, _ = conn.Write(rest[:min(9, len(rest))])
					_ = timekeeper.Steady().Sleep(t.Context(), test.pause)
				}
			}
			entry, _ := endlessEntry(t, twoReplicas(t, sound, sound), test.route, Call{Deadline: timekeeper.Minute})
			front := httptest.NewServer(entry)
			defer front.Close()
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/", http.NoBody)
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(bytes.HasSuffix([]byte(test.text), body) && len(body) > 0, ShouldBeTrue)
			So(strings.TrimSuffix(test.text, string(body)), ShouldEndWith, "\r\n\r\n")
		})
	}
}

func TestACallerThatDoesNotReadItsAnswer(t *testing.T) {
	// Guards against callers that hold an entry's memory past the deadline, and against replicas
	// that are blamed for them.
	// Replicas get as long as the connections' buffers need to fill up.
	const deadline = 500 * timekeeper.Millisecond
	tests := []struct {
		name  string
		route router.Route
		head  string
	}{
		{"a plain answer", router.Route{Kind: router.Once}, plainHead + "Content-Length: 16000000\r\n\r\n"},
		{"a stream", router.Route{Kind: router.Stream}, streamHead + "\r\n"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			answer := func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.head, "{id}", id))
				_, _ = io.WriteString(conn, strings.Repeat("data: some text\n\n", 16_000_000/17))
			}
			entry, _ := endlessEntry(t, twoReplicas(t, answer, answer), test.route, Call{Deadline: deadline})
			log, lines := logtest.NewNullLogger()
			entry.settings.Log = log
			front := httptest.NewServer(entry)
			defer front.Close()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", front.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: kitchen.example\r\nId: r-1\r\nContent-Length: 0\r\n\r\n")
			clock := timekeeper.Steady()
			began := clock.Now()
			ended := func() bool { return entry.Active() == 0 && len(lines.AllEntries()) > 0 }
			for !ended() && clock.Now().Since(began) < 10*timekeeper.Second {
				_ = clock.Sleep(t.Context(), 5)
			}
			So(clock.Now().Since(began), ShouldBeLessThan, deadline+answerGrace+writeGrace+timekeeper.Second)
			failed := false
			for _, line := range lines.AllEntries() {
				failed = failed || line.Message == "attempt failed" && strings.Contains(line.Data["cause"].(string), errCallerWrite.Error())
			}
			So(failed, ShouldBeTrue)
		})
	}
}

func TestAnAnswerThatIsQuotedInAnError(t *testing.T) {
	// Guards against bytes of a faulty replica that go to the log and the caller at their full length.
	tests := []struct{ name, text string }{
		{"a status line", strings.Repeat("\x80", 12_000) + "\r\n\r\n"},
		{"a header field", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 12_000) + "\r\n\r\n"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			answer := func(conn net.Conn, _ string) { _, _ = io.WriteString(conn, test.text) }
			entry, _ := endlessEntry(t, twoReplicas(t, answer, answer), router.Route{Kind: router.Once}, Call{Deadline: timekeeper.Minute})
			log, lines := logtest.NewNullLogger()
			entry.settings.Log = log
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://kitchen.example/", http.NoBody)
			request.Header.Set("Id", "r-1")
			entry.ServeHTTP(recorder, request)
			So(recorder.Code, ShouldEqual, http.StatusBadGateway)
			So(recorder.Body.Len(), ShouldBeLessThan, 1000)
			for _, line := range lines.AllEntries() {
				text, err := line.String()
				So(err, ShouldBeNil)
				So(len(text), ShouldBeLessThan, 2000)
			}
		})
	}
}

func TestAReplicaThatKeepsAnsweringWithoutEnd(t *testing.T) {
	// Guards against a replica that sends answers without an end and goes on getting its share of the
	// requests.
	const requests = 60
	Convey("it is asked seldom, and all callers are served by the other", t, func() {
		var asked atomic.Int32
		faulty := scriptedReplica(t, func(conn net.Conn, id string) {
			asked.Add(1)
			flood("", "\x80")(conn, id)
		})
		sound := scriptedReplica(t, func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Connection: close\r\nContent-Length: 5\r\n\r\nsound")
		})
		entry, _ := endlessEntry(t, [2]string{faulty, sound}, router.Route{Kind: router.Safe}, Call{Deadline: timekeeper.Minute})
		for range requests {
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://kitchen.example/", http.NoBody)
			request.Header.Set("Id", "r-1")
			entry.ServeHTTP(recorder, request)
			So(recorder.Code, ShouldEqual, http.StatusOK)
		}
		So(asked.Load(), ShouldBeGreaterThan, 0)
		So(asked.Load(), ShouldBeLessThan, requests/10)
	})
}
