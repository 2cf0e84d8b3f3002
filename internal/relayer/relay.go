package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// heldAnswer is the longest answer that is read whole before the caller gets
	// any of it, in bytes, so that one that breaks off can still be tried elsewhere.
	heldAnswer = 64 << 10
	// drainBytes bounds what is read of an answer that nobody gets, to keep the
	// connection.
	drainBytes = 16 << 10
	// copyBuffer is the room for one read of a long answer or stream, in bytes.
	copyBuffer = 4 << 10
	// longestEvent bounds an event that is held back until it is whole, in bytes.
	longestEvent = 256 << 10
)

// drain reads the rest of an answer that nobody gets.
func drain(answer *connector.Answer) {
	read, err := io.Copy(io.Discard, io.LimitReader(answer.Body, drainBytes))
	answer.Finish(err == nil && read < drainBytes)
}

// relayWhole passes on an answer that is no stream.
func (task *task) relayWhole(result attemptResult, answer *connector.Answer) attemptResult {
	held, err := io.ReadAll(io.LimitReader(answer.Body, heldAnswer))
	if err != nil {
		result.verdict, result.cause, result.failed = broken, err, true
		return result
	}
	task.markFirst()
	if answer.StatusCode >= http.StatusInternalServerError {
		result.cause, result.failed = errServer, true
	}
	task.begin(answer)
	if len(held) < heldAnswer {
		answer.Finish(true)
		task.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
		task.w.WriteHeader(answer.StatusCode)
		_, _ = task.w.Write(held)
		result.verdict = answered
		return result
	}
	if answer.ContentLength >= 0 {
		task.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	task.w.WriteHeader(answer.StatusCode)
	_, _ = task.w.Write(held)
	if _, err := io.Copy(task.w, answer.Body); err != nil {
		result.verdict, result.cause, result.failed = broken, err, true
		return result
	}
	answer.Finish(true)
	result.verdict = answered
	return result
}

// begin copies the head of the answer; from here on the caller has a part of it.
func (task *task) begin(answer *connector.Answer) {
	task.entry.settings.Dialect.CopyAnswer(task.w.Header(), answer.Header)
	task.begun = true
}

// markFirst notes when the first part of the answer came.
func (task *task) markFirst() {
	if task.noted == task.placement {
		return
	}
	task.noted = task.placement
	now := task.entry.settings.Clock.Now()
	if task.first == 0 {
		task.first = now
	}
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.AnswerStarted(task.placement, now) })
}

// markPause notes the time since the last part of a stream, and returns now. No
// part has come at instant zero.
func (task *task) markPause(last timekeeper.Instant) timekeeper.Instant {
	now := task.entry.settings.Clock.Now()
	if last != 0 {
		task.longestPause = max(task.longestPause, now.Since(last))
	}
	return now
}

var (
	errCallerWrite = eris.New("the caller takes no more")
	errPartOfEvent = eris.New("the stream ended within an event")
)

// relayStream passes on a stream, event by event.
//
// Only whole events are passed on: a stream that breaks off within an event can
// go on at another replica behind the last whole one, and no caller gets two
// halves of different runs.
func (task *task) relayStream(ctx context.Context, result attemptResult, answer *connector.Answer) attemptResult {
	control := http.NewResponseController(task.w)
	buffer := make([]byte, copyBuffer)
	var pending []byte
	last := timekeeper.Instant(0)
	for {
		read, err := answer.Body.Read(buffer)
		if read > 0 {
			task.markFirst()
			last = task.markPause(last)
			pending = append(pending, buffer[:read]...)
			whole := wholeEvents(pending)
			if len(pending)-whole > longestEvent {
				whole = len(pending)
			}
			if whole > 0 {
				if failure := task.pass(control, answer, pending[:whole]); failure != nil {
					result.verdict, result.cause = broken, failure
					return result
				}
				pending = append(pending[:0], pending[whole:]...)
			}
		}
		if err == nil {
			continue
		}
		return task.endStream(ctx, result, answer, pending, err)
	}
}

// endStream decides whether a stream that ended is whole.
func (task *task) endStream(
	ctx context.Context, result attemptResult, answer *connector.Answer, pending []byte, err error,
) attemptResult {
	result.verdict, result.cause, result.failed = broken, err, ctx.Err() == nil
	if !eris.Is(err, io.EOF) {
		return result
	}
	if len(pending) > 0 {
		result.cause = errPartOfEvent
		return result
	}
	if !task.begun {
		task.begin(answer)
		task.w.WriteHeader(answer.StatusCode)
	}
	answer.Finish(true)
	result.verdict, result.cause, result.failed = answered, nil, false
	return result
}

// pass writes whole events to the caller at once.
func (task *task) pass(control *http.ResponseController, answer *connector.Answer, events []byte) error {
	if !task.begun {
		task.begin(answer)
		task.w.WriteHeader(answer.StatusCode)
	}
	if _, err := task.w.Write(events); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	if err := control.Flush(); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	if id := lastEventID(events); id != "" {
		task.lastEvent = id
	}
	return nil
}

// wholeEvents returns the length of the whole events that the text begins with.
// An event ends with an empty line.
func wholeEvents(text []byte) int {
	end := bytes.LastIndex(text, []byte("\n\n"))
	if crlf := bytes.LastIndex(text, []byte("\r\n\r\n")); crlf > end {
		return crlf + len("\r\n\r\n")
	}
	if end < 0 {
		return 0
	}
	return end + len("\n\n")
}

// lastEventID returns the identity of the last event that has one, or "".
func lastEventID(events []byte) string {
	const field = "id:"
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[start:end]
		if bytes.HasPrefix(line, []byte(field)) {
			return string(bytes.TrimSpace(line[len(field):]))
		}
		end = start
	}
	return ""
}
