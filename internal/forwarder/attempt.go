package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// carry offers the call to its candidates until one answers. It returns an
// error only when nothing of an answer was written.
func (entry *Entry) carry(ctx context.Context, w http.ResponseWriter, call call) error {
	if named, ok := minter.Read(call.key); ok && !call.idempotent {
		return entry.carryMinted(ctx, w, call, named)
	}
	defer entry.demand.begin(call)()
	route := entry.route(call)
	entry.logPlacement(call, route.Ranked())
	entry.budgets.earn(call.service)
	attempts := attempts{last: classifier.New(classifier.NoUpstream, call.service)}
	deadline := entry.settings.Clock.Now().Add(call.settings.FirstByteTimeout)
	for i := uint32(0); ; i++ {
		call.left = deadline.Since(entry.settings.Clock.Now())
		stop, ok := route.Next()
		if !ok {
			stop, ok = route.RetryAtBound()
			i = placer.MaxOffers - 1
		}
		if !ok || call.left <= 0 || (i > 0 && !stop.BudgetExempt && !entry.budgets.spend(call.service)) {
			break
		}
		call.seek, call.ranked = stop.OnlyIfCached, route.Ranked()
		failure, done := entry.attempt(ctx, w, call, stop.Replica, i)
		if done {
			go entry.tellHolders(context.WithoutCancel(ctx), call, route.PointerHolders(stop.Replica), stop.Replica)
			return nil
		}
		entry.logAttempt(call, stop.Replica, failure)
		entry.away.note(stop.Replica, failure, entry.settings.Clock.Now())
		if failure.Kind != classifier.Moved {
			entry.recordAttempt(call, stop.Replica, failure)
		}
		if ctx.Err() != nil {
			return classifier.New(classifier.CallerGone, "")
		}
		if call.heard.owner.agent != "" {
			return entry.carryOwned(ctx, w, call, failure)
		}
		if !attempts.add(call, failure) {
			break
		}
		route.RecordRefusal(entry.refusalOf(call, route, failure))
	}
	return giveUp(attempts.failure())
}

// attempt offers the call to one replica. It returns true when an answer, or
// the start of one, went to the caller.
//
// The failure: a connection breaks between two calls, and the session notices
// only when the next offer is written. The symptom: a caller is told that a
// replica can't be reached which one new dial would reach. So an offer that
// could not be written is offered there once more. That is safe, as the run
// frame had not been sent, and enough, as the broken session is closed by then.
func (entry *Entry) attempt(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, attempt uint32,
) (classifier.Failure, bool) {
	failure, done, unsent := entry.attemptOnce(ctx, w, call, replica, attempt, false)
	if unsent {
		failure, done, _ = entry.attemptOnce(ctx, w, call, replica, attempt, true)
	}
	return failure, done
}

// attemptOnce is one attempt over one connection. The third result is true when
// the offer could not be written and may be made again; it is under the same
// request id then, so no tombstone is left for it before the last try.
func (entry *Entry) attemptOnce(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, attempt uint32, last bool,
) (failure classifier.Failure, done, unsent bool) {
	conn, peer, err := entry.settings.Pool.OpenPeer(ctx, replica.Address)
	if err != nil {
		entry.failed(ctx, call, replica)
		return classifier.New(classifier.Unreachable, replica.Name), false, false
	}
	defer func() { _ = conn.Close() }()
	// The caller's leaving must reach the agent, or the engine works for
	// nobody and its slot stays taken. The agent sees the stream close, gives a
	// queued place back at once, and ends a run after its grace for a resume.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer entry.demand.beginAt(call, replica.Name)()
	stream := encoder.NewStream(conn)
	at := contact{replica: replica, incarnation: peer.Incarnation, since: entry.settings.Clock.Now()}
	entry.recordOffer(call, at)
	failure, committed, lost := entry.commit(stream, call, &at, attempt)
	switch {
	case lost:
		failure, done = entry.settle(ctx, entry.newRelayed(w, call), at)
		return failure, done, false
	case !committed && at.unsent && !last:
		return failure, false, true
	case !committed:
		entry.bury(ctx, call, at, failure)
		return failure, false, false
	}
	failure, done = entry.relay(ctx, w, call, at, stream)
	return failure, done, false
}

// commit brings the call to the point where it is committed: offered, granted
// and sent. It returns false with the reason when it was not. The third result
// is true when the connection broke while the Run frame was sent: part of it,
// or all, may have reached the agent.
func (entry *Entry) commit(
	stream *encoder.Stream, call call, at *contact, attempt uint32,
) (classifier.Failure, bool, bool) {
	offer := call.offer(entry.settings.Name, at.replica, attempt)
	offer.UnderWay = entry.demand.of(call.service)
	offer.Strikes = entry.hints.of(offer.GetFingerprint(), entry.settings.Clock.Now()).strikes
	run := &encoder.Run{
		RequestId: call.id, Method: call.method, Path: call.path, Headers: call.headers, Body: call.body,
	}
	if call.idempotent {
		offer.RunFollows = true
		err := stream.Write(encoder.Of(offer), encoder.Of(run))
		return classifier.Failure{}, err == nil, err != nil
	}
	if err := stream.Write(encoder.Of(offer)); err != nil {
		at.unsent = true
		return classifier.New(classifier.Unreachable, at.replica.Name), false, false
	}
	incarnation, failure, ok := entry.granted(stream, call)
	if !ok {
		return failure, false, false
	}
	at.incarnation = incarnation
	err := stream.Write(encoder.Of(run))
	return classifier.Failure{}, err == nil, err != nil
}

// granted waits for the answer to an offer.
func (entry *Entry) granted(stream *encoder.Stream, call call) (uint64, classifier.Failure, bool) {
	for {
		frame, err := stream.Read()
		if err != nil {
			return 0, classifier.New(classifier.Unreachable, "the connection broke before the call was sent"), false
		}
		switch message := frame.GetBody().(type) {
		case *encoder.Frame_Queued:
		case *encoder.Frame_Granted:
			if message.Granted.GetRequestId() != call.id {
				return 0, classifier.New(classifier.Protocol, "a grant for another request"), false
			}
			return message.Granted.GetIncarnation(), classifier.Failure{}, true
		case *encoder.Frame_Refused:
			return 0, entry.refused(call, message.Refused), false
		default:
			return 0, classifier.New(classifier.Protocol, "unexpected frame before the grant"), false
		}
	}
}

// refused reads a refusal and learns from it.
func (entry *Entry) refused(call call, refused *encoder.Refused) classifier.Failure {
	call.heard.note(refused)
	entry.hints.learn(refused.GetDigest(), entry.settings.Clock.Now())
	if refused.GetDigest() != nil {
		entry.settings.Learn(refused.GetDigest())
	}
	failure := classifier.New(classifier.KindOf(refused.GetKind()), refused.GetDetail())
	failure.Where, failure.Room = refused.GetWhere(), refused.GetRoom()
	return failure.WithRetryAfter(timekeeper.Span(refused.GetRetryAfter()))
}

// offer returns the frame that asks a replica for a slot.
func (call call) offer(entry string, replica placer.Replica, attempt uint32) *encoder.Offer {
	return &encoder.Offer{
		RequestId:   call.id,
		Service:     call.service,
		Instance:    replica.Name,
		Team:        call.team,
		Chat:        call.chat,
		Class:       call.class,
		Idempotent:  call.idempotent,
		Key:         call.key,
		Fingerprint: call.fingerprint(),
		Deadline:    int64(call.left),
		Work:        call.work,
		Attempt:     attempt,
		Entry:       entry,
		Candidates:  call.ranked,
		Seek:        call.seek,
		Incarnation: call.bound,
		Revision:    call.revision,
		Adapter:     call.adapter,
	}
}

// fingerprint returns the hash of what the caller sent, by which a resend is known.
func (call call) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{call.team, call.method, call.path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.body)
	return digest.Sum64()
}

func (entry *Entry) logPlacement(call call, candidates []string) {
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": call.id,
		"service":    call.service,
		"team":       call.team,
		"chat":       call.chat,
		"candidates": candidates,
	}).Info("placement")
}

func (entry *Entry) logAttempt(call call, replica placer.Replica, failure classifier.Failure) {
	entry.settings.Scope.Tagged(map[string]string{"kind": failure.Kind.String()}).Counter("attempts-failed").Inc(1)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": call.id,
		"upstream":   replica.Name,
		"reason":     failure.Kind.String(),
		"detail":     failure.Detail,
	}).Info("attempt failed")
}
