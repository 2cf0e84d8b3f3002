package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Errors of a proposal when the store doesn't answer.
var (
	// ErrNotAccepted means that no write of the head was sent.
	ErrNotAccepted = eris.New("not accepted: the store doesn't answer, and nothing was changed")
	// ErrOutcomeUnknown means that the change may or may not have been accepted.
	ErrOutcomeUnknown = eris.New("not known whether accepted: the store doesn't answer; run the same command again, which is harmless")
)

const (
	// maxRounds, firstRetryDelay and maxRetryDelay bound how long a proposal retries
	// while the store doesn't answer: some three seconds, or more when each call
	// times out.
	maxRounds       = 5
	firstRetryDelay = 200 * timekeeper.Millisecond
	maxRetryDelay   = 2 * timekeeper.Second
)

// Proposal is a configuration that an operator wants accepted.
type Proposal struct {
	Bundle resolver.Bundle
	// BaseRevision is the revision that the operator edited.
	BaseRevision uint64
	// ChangeID identifies this change; empty means that it is derived from the content,
	// the operator and BaseRevision, so that the same command run again is the same
	// change.
	ChangeID string
	Operator string
	Comment  string
	// RollbackTo is the revision whose content the bundle restores, or 0.
	RollbackTo uint64
}

// Result is the outcome of a proposal that was not refused.
type Result struct {
	Change
	// Unchanged is set when this content was already in force under the revision, so
	// that nothing was written.
	Unchanged bool
}

// Conflict is the error when another change was accepted first.
type Conflict struct {
	BaseRevision uint64
	Now          Head
	// Since are the changes after BaseRevision, oldest first.
	Since []Change
	// Differences are the changed settings; empty when they could not be read.
	Differences []resolver.Difference
}

// Error lists the changes that were accepted first.
func (conflict Conflict) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "not accepted: revision %d is in force, and this was edited from %d\n", conflict.Now.Revision, conflict.BaseRevision)
	for _, change := range conflict.Since {
		fmt.Fprintf(&out, "  revision %d by %s at %s: %s\n", change.Revision, operatorName(change.Operator), change.At, change.Comment)
	}
	for _, diff := range conflict.Differences {
		fmt.Fprintf(&out, "  %s\n", diff)
	}
	return out.String() + "edit from the revision in force, and apply again"
}

func operatorName(operator string) string {
	if operator == "" {
		return "an unnamed operator"
	}
	return operator
}

// Unwrap makes a conflict a storekeeper.ErrConflict.
func (conflict Conflict) Unwrap() error { return storekeeper.ErrConflict }

// Proposer makes proposed configurations the accepted ones.
type Proposer struct {
	Platform storekeeper.Platform
	Clock    timekeeper.Clock
	// Record receives an event for each accepted change; nil means that events are
	// dropped.
	Record func(event recorder.Event)
}

// Propose commits the proposal as the revision after its BaseRevision. An error is
// resolver.Faults, a Conflict, ErrNotAccepted or ErrOutcomeUnknown.
//
// The answer to a write can be lost after the write took effect. If the operator
// saw that as a failure and applied the change again, it would conflict with the
// operator's own change. So after a lost answer, Propose looks for the change by
// its id in the history. If it isn't there, Propose retries the same commit; both
// commits expect the same version of the head's row, so at most one of them takes
// effect, however late the first one arrives.
func (proposer Proposer) Propose(ctx context.Context, proposal Proposal) (Result, error) {
	if faults := proposal.Bundle.Sources().Check(); len(faults) > 0 {
		return Result{}, faults
	}
	encoded, err := encodeBundle(proposal.Bundle)
	if err != nil {
		return Result{}, err
	}
	next := proposal.change(encoded.Hash, proposer.Clock.Now())
	if err := proposer.putBody(ctx, encoded); err != nil {
		return Result{}, eris.Wrap(ErrNotAccepted, err.Error())
	}
	sent := false
	for round := range maxRounds {
		result, err := proposer.attempt(ctx, next, proposal.BaseRevision, &sent)
		if err == nil || !retriable(err) {
			return result, err
		}
		if proposer.waitForRetry(ctx, round) != nil {
			break
		}
	}
	if sent {
		return Result{}, ErrOutcomeUnknown
	}
	return Result{}, ErrNotAccepted
}

func (proposal Proposal) change(hash string, now timekeeper.Instant) Change {
	id := proposal.ChangeID
	if id == "" {
		id = hashOf(fmt.Appendf(nil, "%d %s %q", proposal.BaseRevision, hash, proposal.Operator))[:16]
	}
	return Change{
		Head:       Head{Revision: proposal.BaseRevision + 1, Hash: hash, ChangeID: id},
		At:         now,
		Operator:   proposal.Operator,
		Comment:    proposal.Comment,
		RollbackTo: proposal.RollbackTo,
	}
}

// retriable reports whether another attempt may succeed or show the outcome.
func retriable(err error) bool {
	return eris.Is(err, storekeeper.ErrUnknown) || eris.Is(err, storekeeper.ErrBusy) || eris.Is(err, errHeadMoved)
}

// errHeadMoved means that the head changed between the read and the commit.
var errHeadMoved = eris.New("the head moved")

func (proposer Proposer) waitForRetry(ctx context.Context, round int) error {
	return proposer.Clock.Sleep(ctx, min(firstRetryDelay<<round, maxRetryDelay))
}

// putBody stores the body. A body under the same hash is the same body, so a
// conflict with an existing one is a success, also after a lost answer.
func (proposer Proposer) putBody(ctx context.Context, encoded Accepted) error {
	var err error
	for round := range maxRounds {
		err = proposer.Platform.Objects.Put(ctx, prefix+encoded.Hash, encoded.Body)
		if err == nil || eris.Is(err, storekeeper.ErrConflict) {
			return nil
		}
		if proposer.waitForRetry(ctx, round) != nil {
			break
		}
	}
	return err
}

// attempt reads the head and commits the change if the head is still at base. It sets
// sent before it sends the commit.
func (proposer Proposer) attempt(ctx context.Context, next Change, base uint64, sent *bool) (Result, error) {
	now, version, err := ReadHead(ctx, proposer.Platform)
	if err != nil {
		return Result{}, err
	}
	if now.Revision != base {
		return proposer.resolveHeadMismatch(ctx, next, now, base)
	}
	if now.Hash == next.Hash {
		return Result{Change: Change{Head: now}, Unchanged: true}, nil
	}
	*sent = true
	err = proposer.commit(ctx, next, version)
	if eris.Is(err, storekeeper.ErrConflict) {
		return Result{}, errHeadMoved
	}
	if err != nil {
		return Result{}, err
	}
	proposer.recordAccepted(next)
	return Result{Change: next}, nil
}

// commit updates the head and writes the history in one transaction.
func (proposer Proposer) commit(ctx context.Context, next Change, version uint64) error {
	head, err := json.Marshal(next.Head)
	if err != nil {
		return eris.Wrap(err, "encode head")
	}
	row, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	return proposer.Platform.Table.Commit(ctx, []storekeeper.Write{
		{Table: table, Key: headKey, Value: head, Expect: version},
		{Table: table, Key: historyKey(next.Revision), Value: row},
	})
}

// resolveHeadMismatch returns the outcome when the head is not at the base revision:
// the proposed change took effect, the same content is in force, or another change
// was accepted first.
func (proposer Proposer) resolveHeadMismatch(ctx context.Context, next Change, now Head, base uint64) (Result, error) {
	if now.Revision > base {
		existing, err := ReadChange(ctx, proposer.Platform, next.Revision)
		if err != nil && !eris.Is(err, storekeeper.ErrAbsent) {
			return Result{}, err
		}
		if err == nil && existing.ChangeID == next.ChangeID && existing.Hash == next.Hash {
			proposer.recordAccepted(existing)
			return Result{Change: existing}, nil
		}
	}
	if now.Hash == next.Hash {
		return Result{Change: Change{Head: now}, Unchanged: true}, nil
	}
	return Result{}, proposer.conflict(ctx, now, base)
}

// conflict collects the changes since the base revision, as far as the store returns
// them.
func (proposer Proposer) conflict(ctx context.Context, now Head, base uint64) Conflict {
	const maxChanges = 20
	conflict := Conflict{BaseRevision: base, Now: now}
	conflict.Since, _ = History(ctx, proposer.Platform, base, maxChanges)
	conflict.Differences, _ = DiffRevisions(ctx, proposer.Platform, base, now.Revision)
	return conflict
}

func (proposer Proposer) recordAccepted(change Change) {
	if proposer.Record == nil {
		return
	}
	// The event has the time of the change: a command that is run again finds the same
	// change and records it again, and must not make it look accepted later than it was.
	proposer.Record(recorder.Event{At: change.At, Kind: recorder.Accepted, Revision: change.Revision, Detail: change.Hash})
}

// BundleOf returns the files of a revision; those of revision 0 are empty.
func BundleOf(ctx context.Context, platform storekeeper.Platform, revision uint64) (resolver.Bundle, error) {
	if revision == 0 {
		return resolver.Bundle{}, nil
	}
	change, err := ReadChange(ctx, platform, revision)
	if err != nil {
		return resolver.Bundle{}, err
	}
	accepted, err := FetchBody(ctx, platform, change.Head)
	if err != nil {
		return resolver.Bundle{}, err
	}
	return accepted.Bundle()
}

// DiffRevisions returns the differences between two accepted revisions.
func DiffRevisions(ctx context.Context, platform storekeeper.Platform, before, after uint64) ([]resolver.Difference, error) {
	old, err := BundleOf(ctx, platform, before)
	if err != nil {
		return nil, err
	}
	now, err := BundleOf(ctx, platform, after)
	if err != nil {
		return nil, err
	}
	return resolver.Diff(old, now)
}

// Accept accepts the bundle as the revision after base. It returns a Conflict when
// another revision is in force.
func Accept(ctx context.Context, platform storekeeper.Platform, bundle resolver.Bundle, base uint64, changeID string) (Head, error) {
	proposer := Proposer{Platform: platform, Clock: timekeeper.Wall()}
	result, err := proposer.Propose(ctx, Proposal{Bundle: bundle, BaseRevision: base, ChangeID: changeID})
	var conflict Conflict
	if eris.As(err, &conflict) {
		return conflict.Now, err
	}
	return result.Head, err
}
