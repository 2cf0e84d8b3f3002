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
	// maxBufferedAnswer bounds the answers that are read completely before the caller
	// receives any of them, in bytes, so that a request can be retried when its answer
	// is truncated.
	maxBufferedAnswer = 64 << 10
	// maxAnswerDrainBytes bounds what is read of a discarded answer to keep its
	// connection.
	maxAnswerDrainBytes = 16 << 10
	// copyBufferSize is the size of the buffer for reading a stream, in bytes.
	copyBufferSize = 4 << 10
	// maxEventBytes is the size, in bytes, above which the buffered part of an
	// incomplete event is forwarded.
	maxEventBytes = 256 << 10
)

// drainAnswer discards an answer, and keeps its connection if the answer is short.
func drainAnswer(answer *connector.Answer) {
	read, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerDrainBytes))
	answer.Finish(err == nil && read < maxAnswerDrainBytes)
}

// relayWhole relays an answer that is not a stream. Short answers are buffered; longer
// ones are copied as they come.
func (task *task) relayWhole(result attemptResult, answer *connector.Answer) attemptResult {
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer))
	if err != nil {
		result.verdict, result.cause, result.replicaFailed = broken, err, true
		return result
	}
	if len(buffered) < maxBufferedAnswer && task.endedInCrash(answer) {
		result.verdict, result.cause, result.replicaFailed = broken, errEndedInCrash, true
		return result
	}
	task.markFirstPart()
	if answer.StatusCode >= http.StatusInternalServerError {
		result.cause, result.replicaFailed = errServer, true
	}
	task.copyHead(answer)
	result.succeeded = answer.StatusCode < http.StatusMultipleChoices
	if len(buffered) < maxBufferedAnswer {
		answer.Finish(true)
		task.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
		task.w.WriteHeader(answer.StatusCode)
		_, _ = task.w.Write(buffered)
		result.verdict = answered
		return result
	}
	if answer.ContentLength >= 0 {
		task.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	task.w.WriteHeader(answer.StatusCode)
	_, _ = task.w.Write(buffered)
	_, err = io.Copy(task.w, answer.Body)
	if err == nil && task.endedInCrash(answer) {
		err = errEndedInCrash
	}
	if err != nil {
		result.verdict, result.cause, result.replicaFailed, result.succeeded = broken, err, true, false
		return result
	}
	answer.Finish(true)
	result.verdict = answered
	return result
}

// copyHead copies the head of the answer. From then on the request can't get another
// answer.
func (task *task) copyHead(answer *connector.Answer) {
	task.entry.settings.Dialect.CopyAnswer(task.w.Header(), answer.Header)
	task.headCopied = true
}

// markFirstPart records that the first part of the answer has arrived from the replica of
// the current placement.
func (task *task) markFirstPart() {
	if task.startedPlacement == task.placement {
		return
	}
	task.startedPlacement = task.placement
	now := task.entry.settings.Clock.Now()
	task.answerStartedAt = now
	if task.firstPartAt == 0 {
		task.firstPartAt = now
	}
	task.entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.AnswerStarted(task.placement, now) })
}

// markPause records the pause since the previous part of a stream, and whether the answer has survived,
// and returns the current instant. Zero for last means that there was no previous part.
func (task *task) markPause(last timekeeper.Instant) timekeeper.Instant {
	now := task.entry.settings.Clock.Now()
	if last != 0 {
		task.longestPause = max(task.longestPause, now.Since(last))
	}
	if now.Since(task.answerStartedAt) >= survivalTime {
		task.survive()
	}
	return now
}

var (
	errCallerWrite  = eris.New("writing to the caller failed")
	errPartialEvent = eris.New("the stream ended within an event")
	errEndedInCrash = eris.New("the answer ended with its connection, and the replica is down")
)

// relayStream relays a stream event by event.
//
// Only whole events are forwarded: a stream that breaks off within an event can
// resume at another replica after the last whole one, and no caller receives an
// event that is joined from the answers of two replicas.
func (task *task) relayStream(ctx context.Context, result attemptResult, answer *connector.Answer) attemptResult {
	control := http.NewResponseController(task.w)
	buffer := make([]byte, copyBufferSize)
	var pending []byte
	last := timekeeper.Instant(0)
	for {
		read, err := answer.Body.Read(buffer)
		if read > 0 {
			task.markFirstPart()
			last = task.markPause(last)
			pending = append(pending, buffer[:read]...)
			whole := wholeEvents(pending)
			if len(pending)-whole > maxEventBytes {
				whole = len(pending)
			}
			if whole > 0 {
				if failure := task.forward(control, answer, pending[:whole]); failure != nil {
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

// endStream returns the result of a stream whose body has ended or failed.
func (task *task) endStream(
	ctx context.Context, result attemptResult, answer *connector.Answer, pending []byte, err error,
) attemptResult {
	result.verdict, result.cause, result.replicaFailed = broken, err, ctx.Err() == nil
	if !eris.Is(err, io.EOF) {
		return result
	}
	if len(pending) > 0 {
		result.cause = errPartialEvent
		return result
	}
	if task.endedInCrash(answer) {
		result.cause = errEndedInCrash
		return result
	}
	if !task.headCopied {
		task.copyHead(answer)
		task.w.WriteHeader(answer.StatusCode)
	}
	answer.Finish(true)
	result.verdict, result.cause, result.replicaFailed, result.succeeded = answered, nil, false, true
	return result
}

// endedInCrash reports whether an answer that ended with its connection may have ended because its
// replica crashed.
func (task *task) endedInCrash(answer *connector.Answer) bool {
	replica := task.placement.Replica
	return answer.EndsWithConnection() && (task.entry.isDown(replica) || task.entry.isDownAfter(replica, probePauses[0]))
}

// forward writes whole events to the caller and flushes them.
func (task *task) forward(control *http.ResponseController, answer *connector.Answer, events []byte) error {
	if !task.headCopied {
		task.copyHead(answer)
		task.w.WriteHeader(answer.StatusCode)
		task.beginStream()
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

// wholeEvents returns the length of the whole events at the beginning of the text. An
// event ends with an empty line.
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

// lastEventID returns the ID of the last event that has one, or "".
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
