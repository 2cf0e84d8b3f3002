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

// Errors of a proposal whose outcome the store didn't tell.
var (
	// ErrNotAccepted says that the head was never asked to move.
	ErrNotAccepted = eris.New("not accepted: the store doesn't answer, and nothing was changed")
	// ErrOutcomeUnknown says that the change may or may not be accepted.
	ErrOutcomeUnknown = eris.New("not known whether accepted: the store doesn't answer; run the same command again, which is harmless")
)

const (
	// settleRounds and settlePause bound how long a proposal asks a store that
	// doesn't answer: some three seconds, or more when each call times out.
	settleRounds = 5
	settlePause  = 200 * timekeeper.Millisecond
	longestPause = 2 * timekeeper.Second
)

// Proposal is a configuration that an operator wants accepted.
type Proposal struct {
	Bundle resolver.Bundle
	// BaseRevision is the revision that the operator started from.
	BaseRevision uint64
	// ChangeID tells this change from others; empty means that it follows from
	// the content, the operator and Edited, so that the same command run again
	// is the same change.
	ChangeID string
	Operator string
	Comment  string
	// RollbackTo is the revision whose content the bundle brings back, or 0.
	RollbackTo uint64
}

// Result is what became of a proposal that was not refused.
type Result struct {
	Change
	// Unchanged says that this content was in force already under the
	// revision, and that nothing was written.
	Unchanged bool
}

// Conflict says that another change came first.
type Conflict struct {
	BaseRevision uint64
	Now    Head
	// Since are the changes after Edited, oldest first.
	Since []Change
	// Differences are what they changed; empty when it could not be read.
	Differences []resolver.Difference
}

// Error tells the loser of a race what changed.
func (conflict Conflict) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "not accepted: revision %d is in force, and this was edited from %d\n", conflict.Now.Revision, conflict.BaseRevision)
	for _, change := range conflict.Since {
		fmt.Fprintf(&out, "  revision %d by %s at %s: %s\n", change.Revision, orNobody(change.Operator), change.At, change.Comment)
	}
	for _, diff := range conflict.Differences {
		fmt.Fprintf(&out, "  %s\n", diff)
	}
	return out.String() + "edit from the revision in force, and apply again"
}

func orNobody(operator string) string {
	if operator == "" {
		return "an unnamed operator"
	}
	return operator
}

// Unwrap makes a conflict a storekeeper.ErrConflict.
func (conflict Conflict) Unwrap() error { return storekeeper.ErrConflict }

// Proposer accepts configurations.
type Proposer struct {
	Platform storekeeper.Platform
	Clock    timekeeper.Clock
	// Record takes the event of an accepted change; nil means it is dropped.
	Record func(event recorder.Event)
}

// Propose makes the proposal the revision after the one it was edited from. An
// error is resolver.Faults, a Conflict, ErrNotAccepted or ErrUnsettled.
//
// The failure: the store takes the write, and its answer is lost. The symptom:
// the operator is told that it failed, applies again, and loses against the
// own change. The safeguard: after a lost answer the change is looked for
// under its id in the history. When it is not there the same commit is tried
// again; both commits expect the same version of the head's row, so at most
// one of them takes effect, however late the first one lands.
func (proposer Proposer) Propose(ctx context.Context, proposal Proposal) (Result, error) {
	if faults := proposal.Bundle.Sources().Check(); len(faults) > 0 {
		return Result{}, faults
	}
	sealed, err := seal(proposal.Bundle)
	if err != nil {
		return Result{}, err
	}
	next := proposal.change(sealed.Hash, proposer.Clock.Now())
	if err := proposer.putBody(ctx, sealed); err != nil {
		return Result{}, eris.Wrap(ErrNotAccepted, err.Error())
	}
	sent := false
	for round := range settleRounds {
		result, err := proposer.try(ctx, next, proposal.BaseRevision, &sent)
		if err == nil || !unsettled(err) {
			return result, err
		}
		if proposer.pause(ctx, round) != nil {
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

// unsettled reports whether asking again can tell more.
func unsettled(err error) bool {
	return eris.Is(err, storekeeper.ErrUnknown) || eris.Is(err, storekeeper.ErrBusy) || eris.Is(err, errMoved)
}

// errMoved says that the head moved between the reading and the commit.
var errMoved = eris.New("the head moved")

func (proposer Proposer) pause(ctx context.Context, round int) error {
	return proposer.Clock.Sleep(ctx, min(settlePause<<round, longestPause))
}

// putBody stores the body. A body under the same hash is the same body, so
// "there already" is success, also after a lost answer.
func (proposer Proposer) putBody(ctx context.Context, sealed Accepted) error {
	var err error
	for round := range settleRounds {
		err = proposer.Platform.Objects.Put(ctx, prefix+sealed.Hash, sealed.Body)
		if err == nil || eris.Is(err, storekeeper.ErrConflict) {
			return nil
		}
		if proposer.pause(ctx, round) != nil {
			break
		}
	}
	return err
}

// try reads where things stand and commits when nothing came between.
func (proposer Proposer) try(ctx context.Context, next Change, edited uint64, sent *bool) (Result, error) {
	now, version, err := ReadHead(ctx, proposer.Platform)
	if err != nil {
		return Result{}, err
	}
	if now.Revision != edited {
		return proposer.overtaken(ctx, next, now, edited)
	}
	if now.Hash == next.Hash {
		return Result{Change: Change{Head: now}, Unchanged: true}, nil
	}
	*sent = true
	err = proposer.commit(ctx, next, version)
	if eris.Is(err, storekeeper.ErrConflict) {
		return Result{}, errMoved
	}
	if err != nil {
		return Result{}, err
	}
	proposer.note(next)
	return Result{Change: next}, nil
}

// commit moves the head and writes the history in one transaction.
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

// overtaken decides what it means that the head is not at the revision edited:
// the own change took effect, the same content is in force, or another came first.
func (proposer Proposer) overtaken(ctx context.Context, next Change, now Head, edited uint64) (Result, error) {
	if now.Revision > edited {
		there, err := ReadChange(ctx, proposer.Platform, next.Revision)
		if err != nil && !eris.Is(err, storekeeper.ErrAbsent) {
			return Result{}, err
		}
		if err == nil && there.ChangeID == next.ChangeID && there.Hash == next.Hash {
			proposer.note(there)
			return Result{Change: there}, nil
		}
	}
	if now.Hash == next.Hash {
		return Result{Change: Change{Head: now}, Unchanged: true}, nil
	}
	return Result{}, proposer.conflict(ctx, now, edited)
}

// conflict collects what changed since the revision edited, as far as the
// store tells it.
func (proposer Proposer) conflict(ctx context.Context, now Head, edited uint64) Conflict {
	const most = 20
	conflict := Conflict{BaseRevision: edited, Now: now}
	conflict.Since, _ = History(ctx, proposer.Platform, edited, most)
	conflict.Differences, _ = DiffRevisions(ctx, proposer.Platform, edited, now.Revision)
	return conflict
}

func (proposer Proposer) note(change Change) {
	if proposer.Record == nil {
		return
	}
	// The time is the change's own: a command that is run again finds the same
	// change, and must not seem to have accepted it anew.
	proposer.Record(recorder.Event{At: change.At, Kind: recorder.Accepted, Revision: change.Revision, Detail: change.Hash})
}

// BundleOf returns the files of a revision; revision 0 is empty.
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

// DiffRevisions returns what differs between two accepted revisions.
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

// Accept makes the bundle the configuration that follows revision edited. It
// returns a Conflict when another revision is in force.
func Accept(ctx context.Context, platform storekeeper.Platform, bundle resolver.Bundle, edited uint64, changeID string) (Head, error) {
	proposer := Proposer{Platform: platform, Clock: timekeeper.Wall()}
	result, err := proposer.Propose(ctx, Proposal{Bundle: bundle, BaseRevision: edited, ChangeID: changeID})
	var conflict Conflict
	if eris.As(err, &conflict) {
		return conflict.Now, err
	}
	return result.Head, err
}
