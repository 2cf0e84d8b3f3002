package connector

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/validator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Progress is how far a failed exchange got.
type Progress uint8

const (
	// Unsent means that no byte of the request was sent, so it has not run.
	Unsent Progress = iota + 1
	// Sent means that the request may have run.
	Sent
)

// Failure is the error of an exchange that ended before the head of an answer.
type Failure struct {
	Progress Progress
	// Reused reports whether the connection came from the pool.
	Reused bool
	Cause  error
}

// Error returns the cause.
func (failure Failure) Error() string { return failure.Cause.Error() }

// Unwrap returns the cause.
func (failure Failure) Unwrap() error { return failure.Cause }

// Request is a request to a replica.
type Request struct {
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// MaxBody bounds the body of the answer, in bytes; zero means DefaultMaxBody. Reading beyond it
	// returns a TooLongError, as does Do if the answer announces a longer body.
	MaxBody int64
	// Matches reports whether an answer's header belongs to this request; first reports whether
	// it is the first answer on its connection, so that it can't belong to an earlier request.
	// Nil accepts every answer.
	Matches func(head http.Header, first bool) bool
	// Admit is called once a connection is open, before the first byte is sent; if it
	// returns an error, the request is not sent. Nil admits the request.
	Admit func() error
}

// Answer is the head of an answer, with a body to be read from the connection.
type Answer struct {
	*http.Response
	// StrayAnswers is the number of answers to other requests that were skipped.
	StrayAnswers int
	conn         *connection
	// finish returns the connection to the pool, or closes it.
	finish func(whole bool)
	once   sync.Once
}

// Finish ends the exchange. The connection can be reused only if whole states that
// the body was read to its end.
func (answer *Answer) Finish(whole bool) {
	answer.once.Do(func() { answer.finish(whole) })
}

// Discard ends the exchange without the body. It reads up to limit bytes of it for up to a span: the
// connection can be reused if that is all.
func (answer *Answer) Discard(limit int64, span timekeeper.Span) {
	_ = answer.conn.SetReadDeadline(timekeeper.In(span))
	read, err := io.Copy(io.Discard, io.LimitReader(answer.Body, limit))
	if answer.conn.SetReadDeadline(time.Time{}) != nil {
		read = limit
	}
	answer.Finish(err == nil && read < limit)
}

// EndsWithConnection reports whether the answer has neither a length nor chunks, so that the end of
// the connection is its end, also if the replica crashes.
func (answer *Answer) EndsWithConnection() bool { return endsWithConnection(answer.Response) }

func endsWithConnection(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

const (
	// maxStrayAnswers bounds the answers to other requests that are skipped.
	maxStrayAnswers = 3
	// maxStrayBody bounds the body of a skipped answer, in bytes.
	maxStrayBody = 1 << 20
	// maxInlineBody is the longest body that is written before the answer is read,
	// in bytes. It fits into the TCP window of any connection, so the write does
	// not block on a replica that answers without reading.
	maxInlineBody = 2048
	// maxCopiedBody is the longest body that is copied, to be sent with the head by one write.
	maxCopiedBody = 64 << 10
)

// Do sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, which makes the replica cancel the request. Each error
// is a Failure.
func (pool *Pool) Do(ctx context.Context, target Target, request Request) (*Answer, error) {
	conn, err := pool.acquire(ctx, target)
	if err != nil {
		return nil, Failure{Progress: Unsent, Cause: err}
	}
	if request.Admit != nil {
		if err := request.Admit(); err != nil {
			pool.putIdle(target, conn)
			return nil, Failure{Progress: Unsent, Cause: err}
		}
	}
	unwatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		unwatch()
		pool.discard(target, conn)
		return nil, Failure{Progress: Unsent, Cause: ctx.Err()}
	}
	written := writeRequest(conn, request)
	limit := cmp.Or(request.MaxBody, DefaultMaxBody)
	head, stray, err := readHead(conn, request) //nolint:bodyclose // the body ends with the exchange, in Finish.
	if err == nil {
		err = checkHead(head, limit)
	}
	if err != nil {
		unwatch()
		pool.discard(target, conn)
		return nil, Failure{Progress: Sent, Reused: conn.used, Cause: err}
	}
	head.Body = &boundedBody{ReadCloser: head.Body, limit: limit, left: limit}
	answer := &Answer{Response: head, StrayAnswers: stray, conn: conn}
	answer.finish = func(whole bool) {
		stopped := unwatch()
		if whole && stopped && reusable(conn, head) && fullyWritten(written) {
			conn.idleTimeout = keepAliveTimeout(head.Header)
			pool.putIdle(target, conn)
			return
		}
		pool.discard(target, conn)
	}
	return answer, nil
}

// writeRequest sends a request; one with a long body from its own goroutine, because a
// replica may answer before it has read the body. The channel is closed once the
// request is written, and stays open if writing fails.
func writeRequest(conn *connection, request Request) <-chan struct{} {
	done := make(chan struct{})
	out := render(request)
	if len(request.Body) <= maxInlineBody {
		if _, err := conn.Write(out); err == nil {
			close(done)
		}
		return done
	}
	go func() {
		_, err := conn.Write(out)
		if err == nil && len(request.Body) > maxCopiedBody {
			_, err = conn.Write(request.Body)
		}
		if err == nil {
			close(done)
		}
	}()
	return done
}

// fullyWritten reports whether the whole request was written. Otherwise the replica
// still expects the rest of the body, and would read the next request as part of it.
func fullyWritten(written <-chan struct{}) bool {
	select {
	case <-written:
		return true
	default:
		return false
	}
}

// render returns the head of a request, and the body unless it is longer than maxCopiedBody.
func render(request Request) []byte {
	var out bytes.Buffer
	copied := request.Body
	if len(copied) > maxCopiedBody {
		copied = nil
	}
	out.Grow(512 + len(copied))
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
	out.Write(copied)
	return out.Bytes()
}

// checkHead returns an error if a head has too many fields or announces a body longer than limit.
func checkHead(head *http.Response, limit int64) error {
	if head.ContentLength > limit && head.Request.Method != http.MethodHead {
		return TooLongError{Part: Body, Limit: limit}
	}
	return checkFields(head.Header)
}

// errStray is returned when only answers to other requests arrived.
var errStray = eris.New("the answer belongs to another request")

// readHead reads the head of the answer to the request. It skips stray answers, such as a
// second answer to an earlier request, which the echoed request ID distinguishes. It also
// returns the number of stray answers.
func readHead(conn *connection, request Request) (*http.Response, int, error) {
	for stray := 0; stray <= maxStrayAnswers; stray++ {
		conn.bound.begin(Head, maxHeadBytes)
		head, err := readFinalHead(conn, request.Method)
		if err != nil {
			return nil, stray, err
		}
		if request.Matches == nil || request.Matches(head.Header, !conn.used && stray == 0) {
			conn.bound.begin(Body, 0)
			return head, stray, nil
		}
		conn.stray = true
		if endsWithConnection(head) {
			return nil, stray + 1, errStray
		}
		conn.bound.begin(Stray, 0)
		read, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBody))
		if err != nil || read == maxStrayBody || head.Close {
			return nil, stray + 1, errStray
		}
	}
	return nil, maxStrayAnswers, errStray
}

// readFinalHead reads the head of the next answer, skipping interim (1xx) ones.
func readFinalHead(conn *connection, method string) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if conn.bound.exceeded {
			// The line that the bound cut off may have been taken for a whole, malformed one.
			return nil, conn.bound.tooLong()
		}
		if err != nil {
			return nil, err
		}
		if err := validator.CheckHead(head); err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.New("the replica switched protocols unasked")
		}
		conn.bound.part = Interim
	}
}

// reusable reports whether a connection may carry another exchange.
func reusable(conn *connection, head *http.Response) bool {
	return !head.Close && !endsWithConnection(head) && !conn.stray && conn.clean()
}

// keepAliveTimeout returns the idle timeout that the Keep-Alive header states, or
// defaultIdleTimeout.
func keepAliveTimeout(head http.Header) timekeeper.Span {
	for _, field := range strings.Split(head.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return timekeeper.Span(seconds) * timekeeper.Second
		}
	}
	return defaultIdleTimeout
}
