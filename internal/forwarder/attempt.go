package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// forward offers the call to its candidates until one answers. It returns an error
// only if nothing of an answer was written.
func (entry *Entry) forward(ctx context.Context, w http.ResponseWriter, call call) error {
	if minted, ok := minter.Parse(call.key); ok && !call.idempotent {
		return entry.forwardMinted(ctx, w, call, minted)
	}
	defer entry.inFlight.begin(call)()
	plan := entry.plan(call)
	entry.logPlacement(call, plan.Ranked())
	entry.budgets.earn(call.service)
	attempts := attempts{last: classifier.New(classifier.NoUpstream, call.service)}
	deadline := entry.settings.Clock.Now().Add(call.settings.FirstByteTimeout)
	for i := uint32(0); ; i++ {
		call.remaining = deadline.Since(entry.settings.Clock.Now())
		planned, ok := plan.Next()
		if !ok {
			planned, ok = plan.RetryAtBound()
			i = placer.MaxOffers - 1
		}
		if !ok || call.remaining <= 0 || (i > 0 && !planned.BudgetExempt && !entry.budgets.spend(call.service)) {
			break
		}
		call.onlyIfCached, call.ranked = planned.OnlyIfCached, plan.Ranked()
		failure, done := entry.attempt(ctx, w, call, planned.Replica, i)
		if done {
			go entry.updatePointers(context.WithoutCancel(ctx), call, plan.PointerHolders(planned.Replica), planned.Replica)
			return nil
		}
		entry.logFailedAttempt(call, planned.Replica, failure)
		entry.unreachable.recordFailure(planned.Replica, failure, entry.settings.Clock.Now())
		if failure.Kind != classifier.Moved {
			entry.recordFailedAttempt(call, planned.Replica, failure)
		}
		if ctx.Err() != nil {
			return classifier.New(classifier.CallerGone, "")
		}
		if call.refusalInfo.owner.agent != "" {
			return entry.forwardToOwner(ctx, w, call, failure)
		}
		if !attempts.add(call, failure) {
			break
		}
		plan.RecordRefusal(entry.newRefusal(call, plan, failure))
	}
	return finalFailure(attempts.failure())
}

// attempt offers the call to one replica. It returns true once an answer, or the
// start of one, was written to the caller.
//
// A connection may break between two calls, and the session notices only when the
// next offer is written, or after that. If the connection breaks before the grant,
// attempt repeats the offer once; otherwise the caller would be told that a replica
// is unreachable although one new dial would reach it. The repeat is safe because the
// Run frame was not sent, and one is enough because the broken session is closed by
// then. It has the same request id, so that it replaces the first offer if the agent
// still holds that one; the entry therefore leaves a tombstone after the last offer
// only.
func (entry *Entry) attempt(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, attempt uint32,
) (classifier.Failure, bool) {
	failure, done, broken := entry.attemptOnce(ctx, w, call, replica, attempt)
	if broken != nil && ctx.Err() == nil && call.reduceRemaining(entry.settings.Clock.Now().Since(broken.offeredAt)) {
		failure, done, broken = entry.repeat(ctx, w, call, *broken, attempt)
	}
	if broken != nil {
		entry.leaveTombstone(ctx, call, *broken)
	}
	return failure, done
}

// repeat makes an offer again whose connection broke before the grant.
//
// If the refusal of the repeat names this call as the owner of its key, the agent, or
// its predecessor, has claimed the key for the first offer. Nothing ran under that
// claim, since no Run frame was sent, so the call counts as not run; the refusal alone
// would leave the outcome unknown.
func (entry *Entry) repeat(
	ctx context.Context, w http.ResponseWriter, call call, first destination, attempt uint32,
) (classifier.Failure, bool, *destination) {
	entry.settings.Scope.Counter("offers-repeated").Inc(1)
	entry.settings.Log.WithFields(logrus.Fields{"request-id": call.id, "upstream": first.replica.Name}).Info("offer repeated")
	before := *call.refusalInfo
	failure, done, broken := entry.attemptOnce(ctx, w, call, first.replica, attempt)
	unknown := !done && classifier.AnswerOf(failure.Kind).Ran == classifier.RanUnknown
	if unknown && call.refusalInfo.owner.request == call.id {
		*call.refusalInfo = before
		return classifier.New(classifier.Unreachable, brokenBeforeGrant), false, &first
	}
	return failure, done, broken
}

// brokenBeforeGrant is the detail of a call whose connection broke before its grant.
const brokenBeforeGrant = "the connection broke before the call was sent"

// reduceRemaining takes the time since an offer from the time that the caller still
// waits, and reports whether any is left. A call without a limit always has some.
func (call *call) reduceRemaining(passed timekeeper.Span) bool {
	if call.remaining == 0 {
		return true
	}
	call.remaining -= passed
	return call.remaining > 0
}

// attemptOnce makes one attempt over one connection. broken is the destination if the
// connection broke before the grant, else nil.
func (entry *Entry) attemptOnce(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, attempt uint32,
) (failure classifier.Failure, done bool, broken *destination) {
	conn, peer, err := entry.settings.Pool.OpenPeer(ctx, replica.Address)
	if err != nil {
		entry.reportUnreachable(ctx, call, replica)
		return classifier.New(classifier.Unreachable, replica.Name), false, nil
	}
	defer func() { _ = conn.Close() }()
	// Close the stream when the caller leaves: the agent then frees a queued place
	// at once, and ends a run after its grace period for a resume. Otherwise the
	// engine would work for nobody and its slot would stay taken.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer entry.inFlight.beginAt(call, replica.Name)()
	stream := encoder.NewStream(conn)
	dest := destination{replica: replica, incarnation: peer.Incarnation, offeredAt: entry.settings.Clock.Now()}
	entry.recordOffer(call, dest)
	failure, committed, lost := entry.commit(stream, call, &dest, attempt)
	switch {
	case lost:
		failure, done = entry.recoverAnswer(ctx, entry.newRelayedAnswer(w, call), dest)
		return failure, done, nil
	case !committed && dest.broken:
		return failure, false, &dest
	case !committed:
		return failure, false, nil
	}
	failure, done = entry.relay(ctx, w, call, dest, stream)
	return failure, done, nil
}

// commit offers the call, waits for the grant and sends the Run frame, which
// commits the call. The Run frame of an idempotent call follows its offer without a
// grant. commit returns false with the reason if the call was not committed. The
// third result is true if the connection broke while the Run frame was sent: part
// or all of it may have reached the agent.
func (entry *Entry) commit(
	stream *encoder.Stream, call call, dest *destination, attempt uint32,
) (classifier.Failure, bool, bool) {
	offer := call.offer(entry.settings.Name, dest.replica, attempt)
	offer.UnderWay = entry.inFlight.get(call.service)
	offer.Strikes = entry.strikeCache.get(offer.GetFingerprint(), entry.settings.Clock.Now()).count
	run := &encoder.Run{
		RequestId: call.id, Method: call.method, Path: call.path, Headers: call.headers, Body: call.body,
	}
	if call.idempotent {
		offer.RunFollows = true
		err := stream.Write(encoder.Of(offer), encoder.Of(run))
		return classifier.Failure{}, err == nil, err != nil
	}
	if err := stream.Write(encoder.Of(offer)); err != nil {
		dest.broken = true
		return classifier.New(classifier.Unreachable, dest.replica.Name), false, false
	}
	incarnation, failure, ok := entry.awaitGrant(stream, call, dest)
	if !ok {
		return failure, false, false
	}
	dest.incarnation = incarnation
	if call.claimsKey() {
		owner := claimer.Owner{Agent: dest.replica.Name, Incarnation: incarnation, Request: call.id}
		entry.settings.OnClaimedRun(claimer.RowKey(call.team, call.service, call.key), owner, offer.GetFingerprint())
	}
	err := stream.Write(encoder.Of(run))
	return classifier.Failure{}, err == nil, err != nil
}

// awaitGrant waits until the agent grants or refuses the offer. It returns the
// incarnation that granted it.
func (entry *Entry) awaitGrant(stream *encoder.Stream, call call, dest *destination) (uint64, classifier.Failure, bool) {
	for {
		frame, err := stream.Read()
		if err != nil {
			dest.broken = true
			return 0, classifier.New(classifier.Unreachable, brokenBeforeGrant), false
		}
		switch message := frame.GetBody().(type) {
		case *encoder.Frame_Queued:
		case *encoder.Frame_Granted:
			if message.Granted.GetRequestId() != call.id {
				return 0, classifier.New(classifier.Protocol, "a grant for another request"), false
			}
			return message.Granted.GetIncarnation(), classifier.Failure{}, true
		case *encoder.Frame_Refused:
			return 0, entry.handleRefusal(call, message.Refused), false
		default:
			return 0, classifier.New(classifier.Protocol, "unexpected frame before the grant"), false
		}
	}
}

// handleRefusal records the key's owner and the strikes that a refusal carries,
// passes its digest to OnDigest, and returns the refusal as a failure.
func (entry *Entry) handleRefusal(call call, refused *encoder.Refused) classifier.Failure {
	call.refusalInfo.record(refused)
	entry.strikeCache.recordStrikes(refused.GetDigest(), entry.settings.Clock.Now())
	if refused.GetDigest() != nil {
		entry.settings.OnDigest(refused.GetDigest())
	}
	failure := classifier.New(classifier.KindOf(refused.GetKind()), refused.GetDetail())
	failure.LastReplica, failure.Alternative = refused.GetWhere(), refused.GetRoom()
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
		Deadline:    int64(call.remaining),
		Work:        call.work,
		Attempt:     attempt,
		Entry:       entry,
		Candidates:  call.ranked,
		Seek:        call.onlyIfCached,
		Incarnation: call.boundIncarnation,
		Revision:    call.revision,
		Adapter:     call.adapter,
	}
}

// fingerprint returns the hash of the team, method, path and body, which identifies
// a resend.
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

func (entry *Entry) logFailedAttempt(call call, replica placer.Replica, failure classifier.Failure) {
	entry.settings.Scope.Tagged(map[string]string{"kind": failure.Kind.String()}).Counter("attempts-failed").Inc(1)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": call.id,
		"upstream":   replica.Name,
		"reason":     failure.Kind.String(),
		"detail":     failure.Detail,
	}).Info("attempt failed")
}
