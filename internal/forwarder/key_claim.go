package forwarder

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// claimTimeout bounds the read of a claim before a refusal is sent.
	claimTimeout = timekeeper.Second
	// claimRetry is when a caller should ask again for the answer to its key.
	claimRetry = timekeeper.Second
)

// claimsKey reports whether the call runs only under a claim in the store: it has a key of its
// caller's own, and isn't idempotent.
func (call call) claimsKey() bool {
	_, minted := minter.Parse(call.key)
	return call.key != "" && !call.idempotent && !minted
}

// checkKeyClaim returns KeyInProgress in place of err if err is a "not run" refusal
// with RetryElsewhere and an earlier request has claimed the call's key. Otherwise
// it returns err. Idempotent calls need no claim, and minted keys have no row, so
// both get err.
//
// It guards against a false "not run": an order ran and its answer was lost, the
// caller resends it under its key, and no replica that knows the first request can
// be reached, or each refuses before it checks keys. "Not run" would be true of the
// resend but not of the order, so the caller would order anew under another key and
// a member would be charged twice. A claim is written before anything runs, so its
// absence proves that nothing has run. While the store is down the claim can't be
// read, and the refusal covers the resend only.
//
// It costs one read for each refused call with a key: at most 120 a second at the
// design size, where one call in ten has one.
func (entry *Entry) checkKeyClaim(ctx context.Context, call call, err error) error {
	answer := classifier.AnswerOf(classifier.Of(err).Kind)
	if !call.claimsKey() || answer.Ran != classifier.RanNo || !answer.RetryElsewhere {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	holder, found, readErr := entry.settings.FindClaim(ctx, claimer.RowKey(call.team, call.service, call.key))
	if readErr != nil || !found || holder == call.id {
		return err
	}
	inProgress := classifier.New(classifier.KeyInProgress, "an earlier request has the key, and its replica can't be asked now")
	return inProgress.WithRetryAfter(claimRetry)
}
