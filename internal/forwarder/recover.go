package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// destination is the agent incarnation that a call is offered to. A zero
// incarnation is unknown: the connection broke before the agent sent it.
type destination struct {
	replica     placer.Replica
	incarnation uint64
	// offeredAt is when the call was offered.
	offeredAt timekeeper.Instant
	// broken is true if the connection broke before the grant.
	broken bool
}

// proofWindow is how long after the offer the state "never seen" proves that the
// call did not run. Agents keep ended runs for two minutes; an entry that was paused
// for longer would take a forgotten run for one that never started. Half of the two
// minutes allows for clocks that run at different speeds.
const proofWindow = timekeeper.Minute

// provesNotRun reports whether the state that an agent reports now proves that the
// call did not run there and never will. If the incarnation is unknown, the state
// may come from the successor of the agent that ran the call.
func (dest destination) provesNotRun(state encoder.RunState, now timekeeper.Instant) bool {
	return state == encoder.RunState_RUN_STATE_NEVER_SEEN && dest.incarnation != 0 && now.Since(dest.offeredAt) < proofWindow
}

// lookUpDelays are the waits before each look-up after a lost connection. Most
// broken connections can be replaced at once (a switch dropped a flow, a proxy
// restarted). An agent that is gone is detected within a second and a half plus
// dialling, and the caller gets its answer then.
var lookUpDelays = [...]timekeeper.Span{
	0, 50 * timekeeper.Millisecond, 150 * timekeeper.Millisecond, 400 * timekeeper.Millisecond, 900 * timekeeper.Millisecond,
}

// idempotentLookUps is how many look-ups an entry makes for an idempotent call if
// nothing was written to the caller: a run at another replica is quicker than
// waiting for one that is most likely gone.
const idempotentLookUps = 2

// lookUpTimeout bounds one look-up up to its Found frame. A paused agent accepts
// connections and sends nothing; without the bound its callers would wait as long
// as the pause.
const lookUpTimeout = timekeeper.Second

// recoverAnswer looks up a committed call whose connection was lost, and continues
// to relay its answer if there is one.
//
// It guards against a connection that breaks after the Run frame was sent: the
// caller would be told "not run" for a call that runs, or would send an order
// again. The agent's own record decides. A run that is done or running leads to the
// answer; a call never seen gets a tombstone and, if provesNotRun holds, is reported
// as not run; in any other case the outcome is unknown.
func (entry *Entry) recoverAnswer(ctx context.Context, answer *relayedAnswer, dest destination) (classifier.Failure, bool) {
	unknown := classifier.New(classifier.OutcomeUnknown, "the connection to "+dest.replica.Name+" was lost and it can't be asked")
	delays := lookUpDelays[:]
	if answer.call.idempotent && !answer.headWritten {
		delays = delays[:idempotentLookUps]
	}
	for _, delay := range delays {
		if ctx.Err() != nil || entry.settings.Clock.Sleep(ctx, delay) != nil {
			return answer.abort(classifier.New(classifier.CallerGone, ""))
		}
		failure, done, lost := entry.lookUp(ctx, answer, dest)
		if !lost {
			return failure, done
		}
	}
	entry.strikeCache.recordCrash(answer.call.fingerprint(), entry.settings.Clock.Now())
	entry.reportUnreachable(ctx, answer.call, dest.replica)
	return answer.abort(unknown)
}

// reportUnreachable calls OnUnreachable for a replica that a call could not reach.
// A lost connection counts once for all its look-ups, so that a single call never
// gets a replica marked as dead. Nothing is reported if the caller left, since that
// proves nothing.
func (entry *Entry) reportUnreachable(ctx context.Context, call call, replica placer.Replica) {
	if ctx.Err() == nil {
		entry.settings.OnUnreachable(call.service, replica.Name)
	}
}

// lookUp makes one look-up and relays the answer if there is one. The third result
// is true if no Found frame arrived, or the connection was lost before the end of
// the answer.
func (entry *Entry) lookUp(ctx context.Context, answer *relayedAnswer, dest destination) (classifier.Failure, bool, bool) {
	stream, found, closeStream, err := entry.openLookUp(ctx, dest, &encoder.Lookup{
		RequestId:   answer.requestID,
		Incarnation: dest.incarnation,
		Offset:      answer.length,
		Team:        answer.call.team,
		Tombstone:   answer.requestID == answer.call.id,
		Follow:      true,
	})
	if err != nil {
		return classifier.Failure{}, false, true
	}
	defer closeStream()
	switch state := found.GetState(); {
	case state == encoder.RunState_RUN_STATE_DONE || state == encoder.RunState_RUN_STATE_RUNNING:
		return answer.follow(stream)
	case dest.provesNotRun(state, entry.settings.Clock.Now()):
		failure, done := answer.abort(classifier.New(classifier.Unreachable, "the call had not arrived when its connection broke"))
		return failure, done, false
	}
	failure, done := answer.abort(classifier.New(classifier.OutcomeUnknown, dest.replica.Name+" no longer knows the call"))
	return failure, done, false
}

// leaveTombstone leaves a tombstone for a keyed call whose connection broke before
// its grant arrived, so that its key is free for the resend.
//
// It guards against a lost grant: the caller is told "not run" and resends at once,
// but its key counts as in progress until the agent notices that the first
// connection is gone. One look-up is enough, since nothing depends on it: if it
// fails, the agent frees the key by itself, at the latest RunTimeout (of
// runner.Settings) after the grant.
func (entry *Entry) leaveTombstone(ctx context.Context, call call, dest destination) {
	if call.idempotent || call.key == "" {
		return
	}
	_, _, closeStream, err := entry.openLookUp(ctx, dest, &encoder.Lookup{
		RequestId: call.id, Incarnation: dest.incarnation, Team: call.team, Tombstone: true,
	})
	if err == nil {
		closeStream()
	}
}

// openLookUp opens a stream, sends the look-up and reads the Found frame. The
// stream stays open for the answer until the returned function is called.
func (entry *Entry) openLookUp(
	ctx context.Context, dest destination, lookup *encoder.Lookup,
) (*encoder.Stream, *encoder.Found, func(), error) {
	conn, err := entry.settings.Pool.Open(ctx, dest.replica.Address)
	if err != nil {
		return nil, nil, nil, err
	}
	stream := encoder.NewStream(conn)
	_ = conn.SetDeadline(entry.settings.Clock.Now().Add(lookUpTimeout).Time())
	err = stream.Write(encoder.Of(lookup))
	var found *encoder.Found
	if err == nil {
		found, err = encoder.ReadAs(stream, (*encoder.Frame).GetFound)
	}
	if err == nil && found.GetRequestId() != lookup.GetRequestId() {
		err = classifier.New(classifier.Protocol, "an answer to another look-up")
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	_ = conn.SetDeadline(entry.settings.Clock.Now().Time().AddDate(1, 0, 0))
	// Closing the stream tells the agent that the caller has left.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return stream, found, func() { stop(); _ = conn.Close() }, nil
}

// newRelayedAnswer returns an answer of which nothing has arrived.
func (entry *Entry) newRelayedAnswer(w http.ResponseWriter, call call) *relayedAnswer {
	return &relayedAnswer{
		entry: entry, w: w, control: http.NewResponseController(w), call: call, digest: xxhash.New(), requestID: call.id,
	}
}

// attempts collects the results of the attempts of one call. The caller may be told
// "not run" only if that is true of every attempt.
type attempts struct {
	last    classifier.Failure
	unknown bool
}

// add records a failed attempt and reports whether another replica may be tried: if
// the failure's kind has RetryElsewhere, and for an idempotent call also after
// OutcomeUnknown. It is called only if nothing was written to the caller.
func (attempts *attempts) add(call call, failure classifier.Failure) bool {
	attempts.last = failure
	if failure.Kind == classifier.OutcomeUnknown {
		attempts.unknown = true
		return call.idempotent
	}
	return classifier.AnswerOf(failure.Kind).RetryElsewhere
}

func (attempts *attempts) failure() classifier.Failure {
	if attempts.unknown && classifier.AnswerOf(attempts.last.Kind).Ran == classifier.RanNo {
		return classifier.New(classifier.OutcomeUnknown, "one attempt was lost; the last one ended with "+attempts.last.Kind.String())
	}
	return attempts.last
}
