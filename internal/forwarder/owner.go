package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/placer"
)

// owner is the agent incarnation that a key is bound to, and the request that the
// agent took the key for.
type owner struct {
	agent       string
	incarnation uint64
	request     string
	// selfReported is true if the refusal that names the owner came from the owner.
	selfReported bool
}

// refusalInfo collects what the refusals of one call report.
type refusalInfo struct {
	owner owner
}

// record stores the owner of the key that a refusal names, if any.
func (refusalInfo *refusalInfo) record(refused *encoder.Refused) {
	if refused.GetOwner() == "" {
		return
	}
	refusalInfo.owner = owner{
		agent:        refused.GetOwner(),
		incarnation:  refused.GetOwnerIncarnation(),
		request:      refused.GetOwnerRequest(),
		selfReported: refused.GetOwnerIncarnation() == refused.GetIncarnation(),
	}
}

// rankHash returns the hash by which replicas are ranked for a call without a chat.
// A call that must run at most once uses its key, if it has one, so that a resend
// reaches the agent that ran it without a read of the store. A model call uses its
// fingerprint, so that one that crashes engines reaches the agent that remembers
// it. Other calls use their own id.
func (call call) rankHash() uint64 {
	switch {
	case call.key != "" && !call.idempotent:
		return xxhash.Sum64String(call.team + "\x00" + call.key)
	case call.path == completionsPath:
		return call.fingerprint()
	}
	return xxhash.Sum64String(call.id)
}

// forwardMinted offers a call to the agent incarnation that its minted key names.
// No other may run it, so if the agent can't be reached the outcome is unknown: the
// key may have run there before.
func (entry *Entry) forwardMinted(ctx context.Context, w http.ResponseWriter, call call, minted minter.PublicPart) error {
	call.refusalInfo = &refusalInfo{owner: owner{agent: minted.Instance, incarnation: minted.Incarnation}}
	failure := classifier.New(classifier.OutcomeUnknown, "the key's agent is gone or can't be reached; if it never ran it never will")
	return entry.forwardToOwner(ctx, w, call, failure)
}

// forwardToOwner forwards a call to the owner of its key, the only agent that may
// run the call: the owner replays the answer, or runs the call if nothing has run
// yet. Otherwise forwardToOwner returns the owner's refusal, or fallback if the
// owner is not listed, can't be reached or has restarted.
func (entry *Entry) forwardToOwner(ctx context.Context, w http.ResponseWriter, call call, fallback classifier.Failure) error {
	address, ok := entry.settings.Locate(call.refusalInfo.owner.agent)
	if !ok {
		return fallback
	}
	keyOwner := call.refusalInfo.owner
	replica := placer.Replica{Name: keyOwner.agent, Address: address}
	if !keyOwner.selfReported {
		call.boundIncarnation = keyOwner.incarnation
		failure, done := entry.attempt(ctx, w, call, replica, 1)
		if done {
			return nil
		}
		entry.logFailedAttempt(call, replica, failure)
		entry.recordFailedAttempt(call, replica, failure)
		switch {
		case failure.Kind == classifier.Unreachable || failure.Kind == classifier.WrongInstance:
			return fallback
		case !call.refusalInfo.owner.selfReported:
			return failure
		}
		fallback = failure
	}
	return entry.replay(ctx, w, call, replica, fallback)
}

// replay relays the answer of the request that holds the key. It returns fallback
// if the key was reused with another body, or if that request is unknown, can't be
// looked up or has no known outcome.
func (entry *Entry) replay(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, fallback classifier.Failure,
) error {
	if fallback.Kind == classifier.KeyReused || call.refusalInfo.owner.request == "" {
		return fallback
	}
	answer := entry.newRelayedAnswer(w, call)
	answer.requestID = call.refusalInfo.owner.request
	answer.replay = true
	failure, done, lost := entry.lookUp(ctx, answer, destination{replica: replica, incarnation: call.refusalInfo.owner.incarnation})
	switch {
	case done:
		return nil
	case lost && answer.headWritten:
		_, _ = answer.abort(classifier.New(classifier.AnswerCut, "the connection broke during a replay"))
	case lost, failure.Kind == classifier.Unreachable, failure.Kind == classifier.OutcomeUnknown:
		return fallback
	}
	return failure
}
