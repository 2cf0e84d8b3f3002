package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// maxBufferedAnswer bounds the answers that are read completely before the caller
	// receives any of them, in bytes, so that a request can be retried when its answer
	// is truncated.
	maxBufferedAnswer = 64 << 10
	// smallAnswer is the part of an answer that is held without being counted, in bytes.
	smallAnswer = 4 << 10
	// maxAnswerDrainBytes and answerDrainTimeout bound what is read of a discarded answer to
	// keep its connection.
	maxAnswerDrainBytes = 16 << 10
	answerDrainTimeout  = 100 * timekeeper.Millisecond
	// copyBufferSize is the size of the buffer for reading a stream, in bytes.
	copyBufferSize = 4 << 10
	// maxEventBytes bounds an event of a stream, in bytes.
	maxEventBytes = 256 << 10
	// maxTokenBytes and streamOverheadBytes bound a stream whose caller states how many tokens
	// it has at most: each token may take an event with its probabilities.
	maxTokenBytes       = 4 << 10
	streamOverheadBytes = 64 << 10
	// writeGrace is how long after its deadline a caller may still read an answer that has begun.
	writeGrace = 2 * timekeeper.Second
)

// drainAnswer discards an answer, and keeps its connection if the answer is short.
func drainAnswer(answer *connector.Answer) { answer.Discard(maxAnswerDrainBytes, answerDrainTimeout) }

// maxAnswer returns the bound of the answer's body in bytes.
func (task *task) maxAnswer() int64 {
	tokens := int64(task.call.MaxOutputTokens)
	if task.route.Kind != router.Stream || tokens <= 0 || tokens > (connector.DefaultMaxBody-streamOverheadBytes)/maxTokenBytes {
		return connector.DefaultMaxBody
	}
	return streamOverheadBytes + tokens*maxTokenBytes
}

// relayWhole relays an answer that is not a stream. Short answers are buffered; longer
// ones are copied as they come.
func (task *task) relayWhole(result attemptResult, answer *connector.Answer) attemptResult {
	limit, release := task.reserveBuffer(answer)
	defer release()
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		result.verdict, result.cause, result.replicaFailed = broken, err, true
		return result
	}
	whole := int64(len(buffered)) <= limit
	if whole && task.endedInCrash(answer) {
		result.verdict, result.cause, result.replicaFailed = broken, errEndedInCrash, true
		return result
	}
	task.markFirstPart()
	if answer.StatusCode >= http.StatusInternalServerError {
		result.cause, result.replicaFailed = errServer, true
	}
	task.copyHead(answer)
	result.succeeded = answer.StatusCode < http.StatusMultipleChoices
	if whole {
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
	caller := &callerWriter{to: task.w}
	_, err = caller.Write(buffered)
	release()
	if err == nil {
		_, err = io.Copy(caller, answer.Body)
	}
	if err == nil && task.endedInCrash(answer) {
		err = errEndedInCrash
	}
	if err != nil {
		result.verdict, result.cause, result.replicaFailed, result.succeeded = broken, err, !caller.failed, false
		return result
	}
	answer.Finish(true)
	result.verdict = answered
	return result
}

// callerWriter writes an answer to the caller, and records whether that failed.
type callerWriter struct {
	to     io.Writer
	failed bool
}

// Write writes a piece of the answer.
func (writer *callerWriter) Write(piece []byte) (int, error) {
	count, err := writer.to.Write(piece)
	if err != nil {
		writer.failed, err = true, eris.Wrap(errCallerWrite, err.Error())
	}
	return count, err
}

// reserveBuffer returns how much of an answer may be held before the caller receives any of it, and
// a function that returns the memory.
func (task *task) reserveBuffer(answer *connector.Answer) (limit int64, release func()) {
	limit = maxBufferedAnswer
	if answer.ContentLength >= 0 {
		limit = min(limit, answer.ContentLength)
	}
	answers := task.entry.answers
	if limit <= smallAnswer || !answers.Take(limit) {
		return min(limit, smallAnswer), func() {}
	}
	return limit, sync.OnceFunc(func() { answers.Give(limit) })
}

// copyHead copies the head of the answer. From then on the request can't get another
// answer.
func (task *task) copyHead(answer *connector.Answer) {
	task.entry.settings.Dialect.CopyAnswer(task.w.Header(), answer.Header)
	task.headCopied = true
	_ = http.NewResponseController(task.w).SetWriteDeadline(timekeeper.In(task.remaining(task.entry.settings.Clock.Now()) + writeGrace))
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

// markPause records the pause since the previous part of a stream and returns the current instant. Zero for
// last means that there was no previous part.
func (task *task) markPause(last timekeeper.Instant) timekeeper.Instant {
	now := task.entry.settings.Clock.Now()
	if last != 0 {
		task.longestPause = max(task.longestPause, now.Since(last))
	}
	return now
}

var (
	errCallerWrite  = eris.New("writing to the caller failed")
	errAnswerMemory = eris.New("the memory for answers is used up")
	errNotText      = eris.New("the stream is not UTF-8 text")
	errPartialEvent = eris.New("the stream ended within an event")
	errEndedInCrash = eris.New("the answer ended with its connection, and the replica is down")
)

// relayStream relays a stream event by event.
//
// Only whole events are forwarded: a stream that breaks off within an event can
// resume at another replica after the last whole one, and no caller receives an
// event that is joined from the answers of two replicas. Events are UTF-8, by the HTML
// standard; other bytes are no events.
func (task *task) relayStream(ctx context.Context, result attemptResult, answer *connector.Answer) attemptResult {
	control := http.NewResponseController(task.w)
	buffer := make([]byte, copyBufferSize)
	pending := pendingEvents{memory: task.entry.answers}
	defer pending.release()
	last := timekeeper.Instant(0)
	for {
		read, err := answer.Body.Read(buffer)
		if read > 0 {
			task.markFirstPart()
			last = task.markPause(last)
			if failure := task.forwardWhole(control, answer, &pending, buffer[:read]); failure != nil {
				result.verdict, result.cause = broken, failure
				result.replicaFailed = !eris.Is(failure, errAnswerMemory) && !eris.Is(failure, errCallerWrite)
				return result
			}
		}
		if err == nil {
			continue
		}
		return task.endStream(ctx, result, answer, pending.text, err)
	}
}

// forwardWhole adds text to the events that are pending, and forwards those that are whole.
func (task *task) forwardWhole(control *http.ResponseController, answer *connector.Answer, pending *pendingEvents, text []byte) error {
	if err := pending.append(text); err != nil {
		return err
	}
	whole := wholeEvents(pending.text)
	if whole == 0 {
		return nil
	}
	if !utf8.Valid(pending.text[:whole]) {
		return errNotText
	}
	if err := task.forward(control, answer, pending.text[:whole]); err != nil {
		return err
	}
	pending.drop(whole)
	return nil
}

// pendingEvents is the text of events that haven't been forwarded.
type pendingEvents struct {
	text   []byte
	memory *receiver.Memory
	// taken is how much of the memory the text takes.
	taken int64
}

// append adds text. It returns an error if an event is longer than its bound, or the memory for
// answers is used up.
func (pending *pendingEvents) append(text []byte) error {
	length := len(pending.text) + len(text)
	if length > maxEventBytes+copyBufferSize {
		return connector.TooLongError{Part: connector.Event, Limit: maxEventBytes}
	}
	if length > smallAnswer+copyBufferSize && int64(length) > pending.taken {
		size := min(2*int64(length), maxEventBytes+copyBufferSize)
		if !pending.memory.Take(size - pending.taken) {
			return errAnswerMemory
		}
		pending.taken = size
	}
	pending.text = append(pending.text, text...)
	return nil
}

// drop removes text that was forwarded.
func (pending *pendingEvents) drop(whole int) {
	pending.text = append(pending.text[:0], pending.text[whole:]...)
	if pending.taken > 0 && len(pending.text) == 0 {
		pending.text = nil
		pending.release()
	}
}

// release returns the memory.
func (pending *pendingEvents) release() {
	pending.memory.Give(pending.taken)
	pending.taken = 0
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
