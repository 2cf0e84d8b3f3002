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

// relay copies the answer to the caller as it arrives, over another connection
// if the first is lost. It returns false with the reason when nothing was written.
func (entry *Entry) relay(
	ctx context.Context, w http.ResponseWriter, call call, at contact, stream *encoder.Stream,
) (classifier.Failure, bool) {
	answer := entry.newRelayed(w, call)
	failure, done, lost := answer.follow(stream)
	if !lost {
		return failure, done
	}
	if answer.head != nil {
		at.incarnation = answer.head.GetIncarnation()
	}
	return entry.settle(ctx, answer, at)
}

// relay takes the frames of an answer whose connection is not made again.
func (answer *relayed) relay(stream *encoder.Stream) (classifier.Failure, bool) {
	failure, done, lost := answer.follow(stream)
	if lost {
		return answer.broken(classifier.New(classifier.OutcomeUnknown, "the connection to the agent broke"))
	}
	return failure, done
}

// follow reads the frames of an answer. The third result is true when the
// connection was lost before the end.
func (answer *relayed) follow(stream *encoder.Stream) (classifier.Failure, bool, bool) {
	for {
		frame, err := stream.Read()
		if err != nil {
			return classifier.Failure{}, false, true
		}
		failure, done, ended := answer.take(frame)
		if ended {
			return failure, done, false
		}
	}
}

// take handles one frame. The third result is true when it was the last.
func (answer *relayed) take(frame *encoder.Frame) (classifier.Failure, bool, bool) {
	var err error
	switch message := frame.GetBody().(type) {
	case *encoder.Frame_Queued, *encoder.Frame_Granted:
	case *encoder.Frame_Refused:
		failure, done := answer.broken(answer.entry.refused(answer.call, message.Refused))
		return failure, done, true
	case *encoder.Frame_Head:
		err = answer.open(message.Head)
	case *encoder.Frame_Chunk:
		err = answer.add(message.Chunk)
	case *encoder.Frame_End:
		failure, done := answer.close(message.End)
		return failure, done, true
	default:
		err = classifier.New(classifier.Protocol, "unexpected frame in an answer")
	}
	if err != nil {
		failure, done := answer.broken(classifier.Of(err))
		return failure, done, true
	}
	return classifier.Failure{}, false, false
}

// relayed is an answer on its way to the caller.
type relayed struct {
	entry   *Entry
	w       http.ResponseWriter
	control *http.ResponseController
	call    call
	// expected is the id of the request whose answer this is: the call's own,
	// or that of the request that holds its key.
	expected string
	// replay says that the answer was kept from an earlier request.
	replay  bool
	head    *encoder.Head
	started bool
	length  uint64
	digest  *xxhash.Digest
	// resumed says that the caller has the bytes before length already, so
	// that the digest of the whole can't be made here, but that of the part can.
	resumed bool
}

// open notes the head. It is written with the first bytes of the body, so
// that an answer that breaks before them can still be told as a problem.
func (answer *relayed) open(head *encoder.Head) error {
	// A crossed answer must reach nobody: the id is checked at each hop.
	if head.GetRequestId() != answer.expected {
		return classifier.New(classifier.Protocol, "an answer to another request")
	}
	answer.head = head
	return nil
}

func (answer *relayed) start() {
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
	answer.started = true
}

func (answer *relayed) add(chunk *encoder.Chunk) error {
	if answer.head == nil || chunk.GetOffset() != answer.length {
		return classifier.New(classifier.Protocol, "a chunk out of place")
	}
	if !answer.started {
		answer.start()
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

// close ends the answer: whole only when the agent saw its terminal and length
// and digest agree with what went to the caller.
func (answer *relayed) close(end *encoder.End) (classifier.Failure, bool) {
	answer.entry.hints.learn(end.GetNow(), answer.entry.settings.Clock.Now())
	if end.GetNow() != nil {
		answer.entry.settings.OnDigest(end.GetNow())
	}
	if !end.GetComplete() {
		if kind := classifier.KindOf(end.GetKind()); kind == classifier.UpstreamBroken || kind == classifier.AnswerCut {
			answer.entry.hints.suspect(answer.call.fingerprint(), answer.entry.settings.Clock.Now())
		}
		return answer.broken(classifier.New(classifier.KindOf(end.GetKind()), end.GetDetail()))
	}
	if !answer.agrees(end) {
		return answer.broken(classifier.New(classifier.AnswerCut, "length or digest of the answer differs"))
	}
	if answer.head == nil {
		return answer.broken(classifier.New(classifier.Protocol, "an answer without a head"))
	}
	if !answer.started {
		answer.start()
	}
	answer.entry.hints.clear(answer.call.fingerprint())
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

// agrees reports whether the end belongs to the bytes that were relayed.
func (answer *relayed) agrees(end *encoder.End) bool {
	if end.GetRequestId() != answer.expected || end.GetLength() != answer.length {
		return false
	}
	if answer.resumed {
		return end.GetPartDigest() == answer.digest.Sum64()
	}
	return end.GetDigest() == answer.digest.Sum64()
}

// broken ends an answer that is not whole. When part of it is with the caller,
// the connection is cut, so that no caller takes a part for the whole.
func (answer *relayed) broken(failure classifier.Failure) (classifier.Failure, bool) {
	if !answer.started {
		return failure, false
	}
	answer.record(failure, false)
	answer.entry.logAttempt(answer.call, answer.entry.upstreamOf(answer.head), failure)
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
