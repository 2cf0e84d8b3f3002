package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Event is one server-sent event of a stream.
type Event struct {
	ID   string
	Data string
}

// doneData is the data of the event that ends a complete stream.
const doneData = "[DONE]"

// ErrCut means that a stream ended before its terminal event and could not be resumed.
var ErrCut = eris.New("the stream was cut")

// Stream makes a call whose answer is an event stream and passes its events to take in
// order, each once if every event has an id. When the connection breaks, it resumes after
// the last event with an id; it can't resume if events came and none had an id. It returns
// nil only after the terminal event; an error of take ends the stream and is returned.
func (caller *Caller) Stream(ctx context.Context, call Call, take func(event Event) error) error {
	var last progress
	var failed error
	pause := caller.settings.Pause
	for try, triesWithoutEvent := 0, 0; triesWithoutEvent < caller.settings.Tries; try++ {
		before := last.events
		complete, err := caller.readConnection(ctx, call, try, &last, take)
		if complete {
			return nil
		}
		var permanent permanentError
		if eris.As(err, &permanent) {
			return permanent.err
		}
		failed = err
		triesWithoutEvent++
		if last.events > before {
			triesWithoutEvent, pause = 0, caller.settings.Pause
		}
		if last.events > 0 && last.id == "" {
			// Without an id the stream can't be resumed after its last event.
			break
		}
		var refusal retryableRefusal
		_ = eris.As(err, &refusal)
		if caller.wait(ctx, max(pause, refusal.wait)) != nil {
			break
		}
		pause *= 2
	}
	return eris.Wrap(ErrCut, failed.Error())
}

// progress is the position in a stream: the last event id and the number of events.
type progress struct {
	id     string
	events int
}

// permanentError wraps an error after which the stream is not retried.
type permanentError struct {
	err error
}

// Error returns the text of the wrapped error.
func (permanent permanentError) Error() string {
	return permanent.err.Error()
}

// retryableRefusal is a refusal whose Retry-After is a number of seconds other than 0.
type retryableRefusal struct {
	Problem
	wait timekeeper.Span
}

// readConnection sends the call once, resumed after last.id if that is set, and passes
// the events of the connection to take. It returns true after the terminal event.
func (caller *Caller) readConnection(
	ctx context.Context, call Call, try int, last *progress, take func(event Event) error,
) (bool, error) {
	if last.id != "" {
		call = call.resumedFrom(last.id)
	}
	response, err := caller.do(ctx, call, try)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, readRefusal(response)
	}
	events := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(events, caller.settings.MaxAnswerBytes)
		if err != nil {
			return false, err
		}
		if event.Data == doneData {
			return true, nil
		}
		if err := take(event); err != nil {
			return false, permanentError{err}
		}
		last.events++
		if event.ID != "" {
			last.id = event.ID
		}
	}
}

func (call Call) resumedFrom(id string) Call {
	header := http.Header{}
	if call.Header != nil {
		header = call.Header.Clone()
	}
	header.Set("Last-Event-ID", id)
	call.Header = header
	return call
}

// readRefusal returns the error of a refusal: a retryableRefusal if the body is a Problem
// and Retry-After is a number of seconds other than 0, else a permanentError. An error
// while reading the body is returned as it is.
func readRefusal(response *http.Response) error {
	const limit = 64 << 10
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return err
	}
	problem, ok := problemOf(response.Header, body)
	if !ok {
		return permanentError{eris.Errorf("status %d", response.StatusCode)}
	}
	outcome := outcomeOf(problem, response.Header)
	if outcome.wait == 0 {
		return permanentError{problem}
	}
	return retryableRefusal{Problem: problem, wait: outcome.wait}
}

// readEvent reads one event of at most limit bytes. It returns io.ErrUnexpectedEOF when the stream ends or
// breaks: readConnection stops at the terminal event, so it never reads a complete stream
// to its end.
func readEvent(in *bufio.Reader, limit int64) (Event, error) {
	var event Event
	var data []string
	left := limit
	for {
		line, err := readLine(in, left)
		if err != nil {
			return Event{}, err
		}
		left -= int64(len(line))
		line = strings.TrimRight(line, "\r\n")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && len(data) > 0:
			event.Data = strings.Join(data, "\n")
			return event, nil
		case field == "id":
			event.ID = value
		case field == "data" && (value != "" || len(data) > 0):
			data = append(data, value)
		}
	}
}

// readLine reads a line of at most limit bytes.
func readLine(in *bufio.Reader, limit int64) (string, error) {
	var line []byte
	for {
		piece, err := in.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case int64(len(line)) > limit:
			return "", limiter.TooLongError{Limit: limit}
		case err == nil:
			return string(line), nil
		case err != bufio.ErrBufferFull:
			return "", io.ErrUnexpectedEOF
		}
	}
}
