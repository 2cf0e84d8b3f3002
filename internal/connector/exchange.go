package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Progress says how far an exchange got when it failed.
type Progress uint8

const (
	// Unsent means that no byte of the request left: it has not run.
	Unsent Progress = iota + 1
	// Sent means that the request may have run.
	Sent
)

// Failure is an exchange that ended without the head of an answer.
type Failure struct {
	Progress Progress
	// Reused reports whether it failed on a kept connection.
	Reused bool
	Cause  error
}

// Error returns the cause.
func (failure Failure) Error() string { return failure.Cause.Error() }

// Unwrap returns the cause.
func (failure Failure) Unwrap() error { return failure.Cause }

// Request is one request for a replica.
type Request struct {
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a head answers this request; nil means that each does.
	Matches func(head http.Header) bool
	// Admit is asked once a connection is open, before the first byte is sent; an error
	// leaves the request unsent. Nil means that nothing speaks against it.
	Admit func() error
}

// Answer is the head of an answer, with a body that is read as it comes.
type Answer struct {
	*http.Response
	// StrayAnswers is how many answers of other requests came before this one.
	StrayAnswers int
	// finish gives the connection back, or closes it.
	finish func(whole bool)
	once   sync.Once
}

// Finish ends the exchange. whole says that the body was read to its end; the
// connection is kept only then.
func (answer *Answer) Finish(whole bool) {
	answer.once.Do(func() { answer.finish(whole) })
}

const (
	// mostForeign bounds how many answers of other requests are read over.
	mostForeign = 3
	// foreignBody bounds how much of such an answer is read, in bytes.
	foreignBody = 1 << 20
	// inlineBody is the longest body that is written before the answer is read,
	// in bytes. It fits the window of any connection, so the write can't block
	// on a replica that answers without reading.
	inlineBody = 2048
)

// Do sends a request and returns the head of its answer. When ctx ends the
// connection is closed, which tells the replica to stop. An error is a Failure.
func (pool *Pool) Do(ctx context.Context, target Target, request Request) (*Answer, error) {
	conn, err := pool.take(ctx, target)
	if err != nil {
		return nil, Failure{Progress: Unsent, Cause: err}
	}
	if request.Admit != nil {
		if err := request.Admit(); err != nil {
			pool.keep(target, conn)
			return nil, Failure{Progress: Unsent, Cause: err}
		}
	}
	unwatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		unwatch()
		pool.drop(target, conn)
		return nil, Failure{Progress: Unsent, Cause: ctx.Err()}
	}
	written := write(conn, request)
	head, foreign, err := readHead(conn, request) //nolint:bodyclose // the body ends with the exchange, in Finish.
	if err != nil {
		unwatch()
		pool.drop(target, conn)
		return nil, Failure{Progress: Sent, Reused: conn.used, Cause: err}
	}
	answer := &Answer{Response: head, StrayAnswers: foreign}
	answer.finish = func(whole bool) {
		stopped := unwatch()
		if whole && stopped && keeps(conn, head) && settled(written) {
			conn.silent = keepAlive(head.Header)
			pool.keep(target, conn)
			return
		}
		pool.drop(target, conn)
	}
	return answer, nil
}

// write sends a request. A long body is sent from a goroutine of its own: a
// replica may answer before it has read it. The channel is closed once all is
// written, and never when it failed.
func write(conn *connection, request Request) <-chan struct{} {
	done := make(chan struct{})
	out := render(request)
	if len(request.Body) <= inlineBody {
		if _, err := conn.Write(out); err == nil {
			close(done)
		}
		return done
	}
	go func() {
		if _, err := conn.Write(out); err == nil {
			close(done)
		}
	}()
	return done
}

// settled reports whether the whole request was written. A replica that
// answered early reads on later, and what came next on the connection would be
// taken for the rest of the body.
func settled(written <-chan struct{}) bool {
	select {
	case <-written:
		return true
	default:
		return false
	}
}

// render writes head and body of a request into one buffer, for one write.
func render(request Request) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(request.Body))
	out.WriteString(request.Method)
	out.WriteByte(' ')
	out.WriteString(request.Path)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(request.Host)
	out.WriteString("\r\n")
	_ = request.Header.Write(&out)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		out.WriteString("Content-Length: ")
		out.WriteString(strconv.Itoa(len(request.Body)))
		out.WriteString("\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// errForeign is returned when only answers of other requests came.
var errForeign = eris.New("the answer belongs to another request")

// readHead reads the head of the answer to the request. A second answer to an earlier request
// may lie on the connection; the echoed identity tells it apart, and ours comes behind it.
func readHead(conn *connection, request Request) (*http.Response, int, error) {
	for foreign := 0; foreign <= mostForeign; foreign++ {
		head, err := readFinal(conn, request.Method)
		if err != nil {
			return nil, foreign, err
		}
		if request.Matches == nil || request.Matches(head.Header) {
			return head, foreign, nil
		}
		conn.foreign = true
		read, err := io.Copy(io.Discard, io.LimitReader(head.Body, foreignBody))
		if err != nil || read == foreignBody || head.Close {
			return nil, foreign + 1, errForeign
		}
	}
	return nil, mostForeign, errForeign
}

// readFinal reads the next head that is not an interim one.
func readFinal(conn *connection, method string) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.New("the replica switched protocols unasked")
		}
	}
}

// keeps reports whether a connection may serve another exchange.
func keeps(conn *connection, head *http.Response) bool {
	unframed := head.ContentLength < 0 && len(head.TransferEncoding) == 0
	return !head.Close && !unframed && !conn.foreign && conn.clean()
}

// keepAlive returns how long the replica keeps an idle connection.
func keepAlive(head http.Header) timekeeper.Span {
	for _, field := range strings.Split(head.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return timekeeper.Span(seconds) * timekeeper.Second
		}
	}
	return defaultIdle
}
