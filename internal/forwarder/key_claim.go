package forwarder

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// claimTimeout bounds the look at a claim before a refusal is told.
	claimTimeout = timekeeper.Second
	// claimRetry is when a caller should ask again for the answer to its key.
	claimRetry = timekeeper.Second
)

// ofKey returns what a caller is told in place of a refusal when an earlier
// request with the same key has been taken.
//
// The failure: an order ran and its answer was lost; the caller sends it again
// under its key, and no replica that could know of the first can be reached, or
// each refuses before it looks. The symptom: "not run", which is true of the
// second sending and false of the order; the caller orders anew under another
// key, and a member is charged twice. A claim is written before anything runs,
// so its absence proves that nothing has. While the store is down the claim
// can't be read, and the refusal speaks of this sending alone.
//
// One read for each refused call with a key, at most 120 a second at the design
// size, where one call in ten has one.
func (entry *Entry) ofKey(ctx context.Context, call call, err error) error {
	answer := classifier.AnswerOf(classifier.Of(err).Kind)
	if call.key == "" || call.idempotent || answer.Ran != classifier.RanNo || !answer.RetryElsewhere {
		return err
	}
	if _, minted := minter.Read(call.key); minted {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	holder, found, errRead := entry.settings.FindClaim(ctx, claimer.RowKey(call.team, call.service, call.key))
	if errRead != nil || !found || holder == call.id {
		return err
	}
	taken := classifier.New(classifier.KeyInProgress, "an earlier request has the key, and its replica can't be asked now")
	return taken.WithRetryAfter(claimRetry)
}
