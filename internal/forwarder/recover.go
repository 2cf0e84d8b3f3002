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

// contact is the agent incarnation that a call was committed to. A zero
// incarnation means that it was not told before the connection broke.
type contact struct {
	replica     placer.Replica
	incarnation uint64
	// since is when the call was offered.
	since timekeeper.Instant
	// unsent says that the offer could not be written.
	unsent bool
}

// provable is how long after its offer a call that an agent has "never seen"
// is known not to have run. Agents keep ended runs for two minutes; an entry
// that was paused for longer would take a forgotten run for one that never
// was. Half of that leaves room for clocks that run at different speeds.
const provable = timekeeper.Minute

// provesNotRun reports whether an agent's answer, read now, proves that the
// call didn't run there and never will. An entry that was not told the
// incarnation may be speaking to the successor of the one that ran it.
func (at contact) provesNotRun(state encoder.RunState, now timekeeper.Instant) bool {
	return state == encoder.RunState_RUN_STATE_NEVER_SEEN && at.incarnation != 0 && now.Since(at.since) < provable
}

// lookUpPauses are the waits before each look-up after a lost connection. A
// broken connection mostly comes back at once (a switch that dropped a flow, a
// proxy that restarted); an agent that is gone is known as gone within a
// second and a half plus dialling, and the caller gets its answer then.
var lookUpPauses = [...]timekeeper.Span{
	0, 50 * timekeeper.Millisecond, 150 * timekeeper.Millisecond, 400 * timekeeper.Millisecond, 900 * timekeeper.Millisecond,
}

// quickLookUps is how many look-ups an idempotent call makes of which nothing
// was written to the caller: another replica may run it, which is sooner done
// than waiting for one that is most likely gone.
const quickLookUps = 2

// lookUpTimeout bounds one look-up up to its Found frame. An agent that is
// paused accepts connections and says nothing; without the bound its callers
// would wait as long as the pause.
const lookUpTimeout = timekeeper.Second

// settle finds out what became of a committed call whose connection was lost,
// and goes on with its answer where there is one.
//
// The failure: a connection breaks after the Run frame was sent. The symptom
// would be a caller told "not run" for a call that runs, or one that sends an
// order again. The agent's own record decides: done or running leads to the
// answer, never seen leaves a tombstone first, and anything else is unknown.
func (entry *Entry) settle(ctx context.Context, answer *relayed, at contact) (classifier.Failure, bool) {
	unknown := classifier.New(classifier.OutcomeUnknown, "the connection to "+at.replica.Name+" was lost and it can't be asked")
	pauses := lookUpPauses[:]
	if answer.call.idempotent && !answer.started {
		pauses = pauses[:quickLookUps]
	}
	for _, pause := range pauses {
		if ctx.Err() != nil || entry.settings.Clock.Sleep(ctx, pause) != nil {
			return answer.broken(classifier.New(classifier.CallerGone, ""))
		}
		failure, done, lost := entry.lookUp(ctx, answer, at)
		if !lost {
			return failure, done
		}
	}
	entry.hints.suspect(answer.call.fingerprint(), entry.settings.Clock.Now())
	entry.failed(ctx, answer.call, at.replica)
	return answer.broken(unknown)
}

// failed tells the view of a replica that a call could not reach. A lost
// connection counts once for all its look-ups, so that one call alone never
// has a replica held dead; a caller that left proves nothing.
func (entry *Entry) failed(ctx context.Context, call call, replica placer.Replica) {
	if ctx.Err() == nil {
		entry.settings.OnUnreachable(call.service, replica.Name)
	}
}

// lookUp asks once. The third result is true when no answer came.
func (entry *Entry) lookUp(ctx context.Context, answer *relayed, at contact) (classifier.Failure, bool, bool) {
	stream, found, hangUp, err := entry.ask(ctx, at, &encoder.Lookup{
		RequestId:   answer.expected,
		Incarnation: at.incarnation,
		Offset:      answer.length,
		Team:        answer.call.team,
		Tombstone:   answer.expected == answer.call.id,
		Follow:      true,
	})
	if err != nil {
		return classifier.Failure{}, false, true
	}
	defer hangUp()
	switch state := found.GetState(); {
	case state == encoder.RunState_RUN_STATE_DONE || state == encoder.RunState_RUN_STATE_RUNNING:
		return answer.follow(stream)
	case at.provesNotRun(state, entry.settings.Clock.Now()):
		failure, done := answer.broken(classifier.New(classifier.Unreachable, "the call had not arrived when its connection broke"))
		return failure, done, false
	}
	failure, done := answer.broken(classifier.New(classifier.OutcomeUnknown, at.replica.Name+" no longer knows the call"))
	return failure, done, false
}

// bury leaves a tombstone for a keyed call whose connection broke before its
// grant came, so that its key is free for the resend.
//
// The failure: the grant is lost on its way. The symptom: the caller is told
// "not run", sends again at once, and is told that its key is in progress,
// until the agent has noticed that the first connection is gone. One look-up
// is enough, since nothing depends on it: without an answer the agent gives
// the key back by itself, RunWait after the grant at the latest.
func (entry *Entry) bury(ctx context.Context, call call, at contact, failure classifier.Failure) {
	if call.idempotent || call.key == "" || failure.Kind != classifier.Unreachable {
		return
	}
	_, _, hangUp, err := entry.ask(ctx, at, &encoder.Lookup{
		RequestId: call.id, Incarnation: at.incarnation, Team: call.team, Tombstone: true,
	})
	if err == nil {
		hangUp()
	}
}

// ask opens a stream, sends the look-up and reads what was found. The stream
// stays open for the answer until the function that ask returns is called.
func (entry *Entry) ask(
	ctx context.Context, at contact, lookup *encoder.Lookup,
) (*encoder.Stream, *encoder.Found, func(), error) {
	conn, err := entry.settings.Pool.Open(ctx, at.replica.Address)
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
	// The agent sees the stream close when the caller leaves.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return stream, found, func() { stop(); _ = conn.Close() }, nil
}

// newRelayed returns an answer of which nothing has come.
func (entry *Entry) newRelayed(w http.ResponseWriter, call call) *relayed {
	return &relayed{
		entry: entry, w: w, control: http.NewResponseController(w), call: call, digest: xxhash.New(), expected: call.id,
	}
}

// attempts collects what the attempts of one call came to. "Not run" may be told
// to the caller only when it is true of every attempt.
type attempts struct {
	last    classifier.Failure
	unknown bool
}

// add notes a failed attempt and reports whether another replica may be tried:
// always when nothing ran, and for an idempotent call also when that can't be
// known, as long as nothing was written to the caller.
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
