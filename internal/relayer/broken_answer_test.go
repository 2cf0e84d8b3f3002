package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// resetAfter writes a text to a caller whose request is long, and resets the connection.
func resetAfter(text string) func(conn net.Conn, id string) {
	return func(conn net.Conn, id string) {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", id))
		_ = timekeeper.Steady().Sleep(context.Background(), 2)
		_, _ = tcp.SetLinger(0), tcp.Close()
	}
}

// reply writes a text and ends the connection in order.
func reply(text string) func(conn net.Conn, id string) {
	return func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", id))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// chunksOfOld is an answer of HTTP/1.0 in chunks, which that version doesn't have.
const chunksOfOld = "HTTP/1.0 200 OK\r\nId: {id}\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"

// brokenAnswers returns how many answers were counted as broken, by part.
func brokenAnswers(scope tally.TestScope) map[string]int64 {
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "relay.broken-answers" {
			counts[counter.Tags()["part"]] += counter.Value()
		}
	}
	return counts
}

func TestCallersOfHeadsThatEndInTheMiddle(t *testing.T) {
	// Guards against a head that its replica didn't end and that a caller gets as a whole answer.
	heads := []struct {
		kind router.Kind
		text string
	}{
		{router.Once, plainHead + "Content-Length: 4\r\n\r\n"},
		{router.Once, plainHead + "Transfer-Encoding: chunked\r\n\r\n"},
		{router.Once, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + plainHead + "A: b\r\n\r\n"},
		{router.Stream, streamHead + "\r\n"},
	}
	for _, head := range heads {
		Convey(fmt.Sprintf("%q", head.text), t, func() {
			for cut := 1; cut < len(head.text); cut += 3 {
				entry, _ := endlessEntry(t, twoReplicas(t, reply(head.text[:cut]), reply("")), router.Route{Kind: head.kind}, Call{Deadline: 10 * timekeeper.Second})
				request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://kitchen.example/", http.NoBody)
				request.Header.Set("Id", "r-1")
				answer := httptest.NewRecorder()
				entry.ServeHTTP(answer, request)
				So(answer.Code, ShouldEqual, http.StatusBadGateway)
			}
		})
	}
}

func TestCallersOfBrokenAnswers(t *testing.T) {
	// Guards against part of an answer, or bytes that are none, that a caller gets as a whole answer.
	const upload = 4 << 20
	safe, once := router.Route{Kind: router.Safe}, router.Route{Kind: router.Once}
	stream, resumable := router.Route{Kind: router.Stream}, router.Route{Kind: router.Stream, Resumable: true}
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
		{"reset during the upload, once only", once, resetAfter(plainHead + "\r\npart"), 502, "", false, "end"},
		{"reset during the upload, safe", safe, resetAfter(plainHead + "\r\npart"), 200, "sound", false, "end"},
		{"reset during the upload, in a stream", stream, resetAfter(streamHead + "\r\n" + twoEvents), 200, twoEvents, true, "end"},
		{"reset during the upload, in a resumable stream", resumable, resetAfter(streamHead + "\r\n" + twoEvents), 200, twoEvents + "id: 3\ndata: c\n\n", false, "end"},
		{"reset before the first event", stream, resetAfter(streamHead + "\r\n"), 502, "", false, "end"},
		{"status 000, once only", once, reply("HTTP/1.1 000 Trouble\r\nId: {id}\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nbody"), 502, "", false, "status"},
		{"status 000, safe", safe, reply("HTTP/1.1 000 Trouble\r\nId: {id}\r\nSigned: 1\r\n\r\n"), 200, "sound", false, "status"},
		{"status 000 before a sound answer", once, reply("HTTP/1.1 000 Trouble\r\n\r\n" + plainHead + "Content-Length: 4\r\n\r\nbody"), 502, "", false, "status"},
		{"a blank in a name, once only", once, reply(plainHead + "Content Type: x\r\nContent-Length: 4\r\n\r\nbody"), 502, "", false, "field-name"},
		{"a blank in a name, safe", safe, reply(plainHead + "Content Type: x\r\nContent-Length: 4\r\n\r\nbody"), 200, "sound", false, "field-name"},
		{"a length behind a blank", once, reply(plainHead + "Content-Length : 4\r\n\r\nbodymore"), 502, "", false, "field-name"},
		{"chunks behind a blank", once, reply(plainHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), 502, "", false, "field-name"},
		{"chunks in HTTP/1.0, once only", once, reply(chunksOfOld), 502, "", false, "framing"},
		{"chunks in HTTP/1.0, safe", safe, reply(chunksOfOld), 200, "sound", false, "framing"},
		{"chunks in HTTP/1.0 after an interim answer", once, reply("HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + chunksOfOld), 502, "", false, "framing"},
		{"chunks in a stream of HTTP/1.0", stream, reply(strings.Replace(chunksOfOld, "\r\n\r\n4\r\nbody", "\r\nContent-Type: text/event-stream\r\n\r\n5\r\na\n\nbc", 1)), 502, "", false, "framing"},
		{"a whole answer of HTTP/1.0", once, reply("HTTP/1.0 200 OK\r\nId: {id}\r\nSigned: 1\r\n\r\nTransfer-Encoding: none\r\n"), 200, "Transfer-Encoding: none\r\n", false, ""},
		{"a control byte in a name", once, reply(plainHead + "Content\x01Type: x\r\nContent-Length: 4\r\n\r\nbody"), 502, "", false, ""},
		{"a blank in a name of a stream", stream, reply(streamHead + "Content Type: x\r\n\r\n" + twoEvents), 502, "", false, "field-name"},
		{"a blank in a name of a refusal", once, reply(refusal + "Content Type: x\r\nContent-Length: 0\r\n\r\n"), 502, "", false, "field-name"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			sound := reply(plainHead + "Content-Length: 5\r\n\r\nsound")
			if test.route.Kind == router.Stream {
				sound = reply(streamHead + "\r\nid: 3\ndata: c\n\n")
			}
			entry, scope := endlessEntry(t, twoReplicas(t, test.first, sound), test.route, Call{Deadline: 10 * timekeeper.Second, MaxOutputTokens: 80})
			entry.bodies = receiver.NewMemory(2 * upload)
			front := httptest.NewServer(entry)
			defer front.Close()
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/", bytes.NewReader(make([]byte, upload)))
			request.Host = "kitchen.example"
			request.Header.Set("Id", "r-1")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, test.status)
			So(err != nil, ShouldEqual, test.broken)
			if test.body != "" {
				So(string(body), ShouldEqual, test.body)
			}
			if test.part != "" {
				So(brokenAnswers(scope), ShouldResemble, map[string]int64{test.part: 1})
			}
		})
	}
}
