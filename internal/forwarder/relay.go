package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// relay copies the answer to the caller as it arrives, and continues over another
// connection if the first is lost. It returns false with the reason if nothing was
// written.
func (entry *Entry) relay(
	ctx context.Context, w http.ResponseWriter, call call, dest destination, stream *encoder.Stream,
) (classifier.Failure, bool) {
	answer := entry.newRelayedAnswer(w, call)
	failure, done, lost := answer.follow(stream)
	if !lost {
		return failure, done
	}
	if answer.head != nil {
		dest.incarnation = answer.head.GetIncarnation()
	}
	return entry.recoverAnswer(ctx, answer, dest)
}

// relayOnce copies the answer to the caller over this connection only.
func (answer *relayedAnswer) relayOnce(stream *encoder.Stream) (classifier.Failure, bool) {
	failure, done, lost := answer.follow(stream)
	if lost {
		return answer.abort(classifier.New(classifier.OutcomeUnknown, "the connection to the agent broke"))
	}
	return failure, done
}

// follow handles the frames of an answer. The third result is true if the
// connection was lost before the end.
func (answer *relayedAnswer) follow(stream *encoder.Stream) (classifier.Failure, bool, bool) {
	for {
		frame, err := stream.Read()
		if err != nil {
			return classifier.Failure{}, false, true
		}
		failure, done, ended := answer.handleFrame(frame)
		if ended {
			return failure, done, false
		}
	}
}

// handleFrame handles one frame. The third result is true if it ended the answer.
func (answer *relayedAnswer) handleFrame(frame *encoder.Frame) (classifier.Failure, bool, bool) {
	var err error
	switch message := frame.GetBody().(type) {
	case *encoder.Frame_Queued, *encoder.Frame_Granted:
	case *encoder.Frame_Refused:
		failure, done := answer.abort(answer.entry.handleRefusal(answer.call, message.Refused))
		return failure, done, true
	case *encoder.Frame_Head:
		err = answer.setHead(message.Head)
	case *encoder.Frame_Chunk:
		err = answer.writeChunk(message.Chunk)
	case *encoder.Frame_End:
		failure, done := answer.close(message.End)
		return failure, done, true
	default:
		err = classifier.New(classifier.Protocol, "unexpected frame in an answer")
	}
	if err != nil {
		failure, done := answer.abort(classifier.Of(err))
		return failure, done, true
	}
	return classifier.Failure{}, false, false
}

// relayedAnswer is an answer that is being relayed to the caller.
type relayedAnswer struct {
	entry   *Entry
	w       http.ResponseWriter
	control *http.ResponseController
	call    call
	// requestID is the request whose answer this is: the call itself, or the
	// request that holds its key.
	requestID string
	// replay is true if the answer was kept from an earlier request.
	replay      bool
	head        *encoder.Head
	headWritten bool
	length      uint64
	digest      *xxhash.Digest
	// resumed is true if the caller already has the bytes before length. The digest
	// of the whole answer can't be computed then, only that of the rest.
	resumed bool
}

// setHead stores the head. It is written with the first bytes of the body, so that
// an answer that breaks before them can still be reported as a problem.
func (answer *relayedAnswer) setHead(head *encoder.Head) error {
	// Each hop checks the id, so that no caller gets the answer to another request.
	if head.GetRequestId() != answer.requestID {
		return classifier.New(classifier.Protocol, "an answer to another request")
	}
	answer.head = head
	return nil
}

func (answer *relayedAnswer) writeHead() {
	header := answer.w.Header()
	for _, field := range answer.head.GetHeaders() {
		if field.GetName() != "X-Request-Id" {
			header.Add(field.GetName(), field.GetValue())
		}
	}
	if answer.replay {
		header.Set(encoder.ReplayedHeader, "true")
	}
	answer.w.WriteHeader(int(answer.head.GetStatus()))
	answer.headWritten = true
}

func (answer *relayedAnswer) writeChunk(chunk *encoder.Chunk) error {
	if answer.head == nil || chunk.GetOffset() != answer.length {
		return classifier.New(classifier.Protocol, "a chunk out of place")
	}
	if !answer.headWritten {
		answer.writeHead()
	}
	settings := answer.entry.settings
	_ = answer.control.SetWriteDeadline(settings.Clock.Now().Add(settings.WriteTimeout).Time())
	if _, err := answer.w.Write(chunk.GetData()); err != nil {
		return classifier.New(classifier.CallerGone, err.Error())
	}
	answer.length += uint64(len(chunk.GetData()))
	_, _ = answer.digest.Write(chunk.GetData())
	if answer.head.GetStream() {
		if err := answer.control.Flush(); err != nil {
			return classifier.New(classifier.CallerGone, err.Error())
		}
	}
	return nil
}

// close ends the answer. It counts as whole only if the agent saw its terminal, and
// length and digest match what was written to the caller.
func (answer *relayedAnswer) close(end *encoder.End) (classifier.Failure, bool) {
	answer.entry.strikeCache.recordStrikes(end.GetNow(), answer.entry.settings.Clock.Now())
	if end.GetNow() != nil {
		answer.entry.settings.OnDigest(end.GetNow())
	}
	if !end.GetComplete() {
		if kind := classifier.KindOf(end.GetKind()); kind == classifier.UpstreamBroken || kind == classifier.AnswerCut {
			answer.entry.strikeCache.recordCrash(answer.call.fingerprint(), answer.entry.settings.Clock.Now())
		}
		return answer.abort(classifier.New(classifier.KindOf(end.GetKind()), end.GetDetail()))
	}
	if !answer.matches(end) {
		return answer.abort(classifier.New(classifier.AnswerCut, "length or digest of the answer differs"))
	}
	if answer.head == nil {
		return answer.abort(classifier.New(classifier.Protocol, "an answer without a head"))
	}
	if !answer.headWritten {
		answer.writeHead()
	}
	answer.entry.strikeCache.clear(answer.call.fingerprint())
	answer.entry.settings.Scope.Counter("answers").Inc(1)
	answer.record(classifier.Failure{}, true)
	answer.entry.settings.Log.WithFields(logrus.Fields{
		"request-id": answer.call.id,
		"service":    answer.call.service,
		"chat":       answer.call.chat,
		"choice":     answer.entry.upstreamOf(answer.head).Name,
		"status":     answer.head.GetStatus(),
		"length":     answer.length,
	}).Info("answered")
	return classifier.Failure{}, true
}

// matches reports whether the End frame matches the bytes that were relayed.
func (answer *relayedAnswer) matches(end *encoder.End) bool {
	if end.GetRequestId() != answer.requestID || end.GetLength() != answer.length {
		return false
	}
	if answer.resumed {
		return end.GetPartDigest() == answer.digest.Sum64()
	}
	return end.GetDigest() == answer.digest.Sum64()
}

// abort ends an incomplete answer. If part of the answer was written, abort panics
// with http.ErrAbortHandler, which cuts the caller's connection, so that no caller
// takes the part for the whole.
func (answer *relayedAnswer) abort(failure classifier.Failure) (classifier.Failure, bool) {
	if !answer.headWritten {
		return failure, false
	}
	answer.record(failure, false)
	answer.entry.logFailedAttempt(answer.call, answer.entry.upstreamOf(answer.head), failure)
	panic(http.ErrAbortHandler)
}

func (entry *Entry) upstreamOf(head *encoder.Head) placer.Replica {
	for _, field := range head.GetHeaders() {
		if field.GetName() == encoder.UpstreamHeader {
			return placer.Replica{Name: field.GetValue()}
		}
	}
	return placer.Replica{}
}
