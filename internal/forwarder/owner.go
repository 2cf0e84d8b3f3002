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

// owner is the agent incarnation and request that a key is bound to.
type owner struct {
	agent       string
	incarnation uint64
	request     string
	// itself says that the owner was the one who told so.
	itself bool
}

// heard collects what refusals told about one call.
type heard struct {
	owner owner
}

// note takes in a refusal.
func (heard *heard) note(refused *encoder.Refused) {
	if refused.GetOwner() == "" {
		return
	}
	heard.owner = owner{
		agent:       refused.GetOwner(),
		incarnation: refused.GetOwnerIncarnation(),
		request:     refused.GetOwnerRequest(),
		itself:      refused.GetOwnerIncarnation() == refused.GetIncarnation(),
	}
}

// spread returns the hash by which a call without a chat is ranked. A keyed
// call goes by its key, so that a resend meets the agent that ran it without a
// look in the store; a model call by its contents, so that one that crashes
// engines meets the agent that remembers it; others by their own id.
func (call call) spread() uint64 {
	switch {
	case call.key != "" && !call.idempotent:
		return xxhash.Sum64String(call.team + "\x00" + call.key)
	case call.path == completionsPath:
		return call.fingerprint()
	}
	return xxhash.Sum64String(call.id)
}

// carryMinted offers a call to the one incarnation that its minted key names.
// No other may run it, so whoever can't be reached leaves the outcome unknown:
// the key may have run there before.
func (entry *Entry) carryMinted(ctx context.Context, w http.ResponseWriter, call call, named minter.PublicPart) error {
	call.heard = &heard{owner: owner{agent: named.Instance, incarnation: named.Incarnation}}
	failure := classifier.New(classifier.OutcomeUnknown, "the key's agent is gone or can't be reached; if it never ran it never will")
	return entry.carryOwned(ctx, w, call, failure)
}

// carryOwned leads a call whose key is bound to the owner: for a replay of the
// answer, for a run if nothing has run yet, and else to the failure given.
// Nobody else may run it.
func (entry *Entry) carryOwned(ctx context.Context, w http.ResponseWriter, call call, otherwise classifier.Failure) error {
	address, ok := entry.settings.Locate(call.heard.owner.agent)
	if !ok {
		return otherwise
	}
	bound := call.heard.owner
	replica := placer.Replica{Name: bound.agent, Address: address}
	if !bound.itself {
		call.bound = bound.incarnation
		failure, done := entry.attempt(ctx, w, call, replica, 1)
		if done {
			return nil
		}
		entry.logAttempt(call, replica, failure)
		entry.recordAttempt(call, replica, failure)
		switch {
		case failure.Kind == classifier.Unreachable || failure.Kind == classifier.WrongInstance:
			return otherwise
		case !call.heard.owner.itself:
			return failure
		}
		otherwise = failure
	}
	return entry.replay(ctx, w, call, replica, otherwise)
}

// replay follows the answer of the request that holds the key.
func (entry *Entry) replay(
	ctx context.Context, w http.ResponseWriter, call call, replica placer.Replica, otherwise classifier.Failure,
) error {
	if otherwise.Kind == classifier.KeyReused || call.heard.owner.request == "" {
		return otherwise
	}
	answer := entry.newRelayed(w, call)
	answer.expected = call.heard.owner.request
	answer.replay = true
	failure, done, lost := entry.lookUp(ctx, answer, contact{replica: replica, incarnation: call.heard.owner.incarnation})
	switch {
	case done:
		return nil
	case lost && answer.started:
		_, _ = answer.broken(classifier.New(classifier.AnswerCut, "the connection broke during a replay"))
	case lost, failure.Kind == classifier.Unreachable, failure.Kind == classifier.OutcomeUnknown:
		return otherwise
	}
	return failure
}
