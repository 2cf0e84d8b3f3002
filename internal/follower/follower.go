package follower

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ErrHistoryLost is returned by Source.Changes when the changes since the
// version are no longer known, and everything has to be read again.
var ErrHistoryLost = eris.New("the store no longer has the changes since then")

// Version counts the changes of the store.
type Version uint64

// Change is a row that was written or removed.
type Change[T any] struct {
	Key     string
	Value   T
	Removed bool
	// LapsesIn is how much longer another's copy keeps a row that the table lacks since an
	// outage; zero means that the table has it.
	LapsesIn timekeeper.Span
}

// Source reads one table. Both fields must be set. Each call must end within
// the time that a silent connection may be borne.
type Source[T any] struct {
	// Snapshot returns all rows, and the newest version.
	Snapshot func(ctx context.Context) ([]Change[T], Version, error)
	// Changes returns what changed after a version, as soon as something did or
	// after the wait, and the version to go on from.
	Changes func(ctx context.Context, after Version, wait timekeeper.Span) ([]Change[T], Version, error)
}

// Follower keeps a copy of a table.
//
// One goroutine reads; others may call Told, Compare, Listing and Rows. The copy is
// under the lock copying, with which Apply, Confirm, Tell, Sum and OthersServed are
// called; the other functions of the settings are called without it, and may look at the
// follower. The lock mu comes after it.
type Follower[T any] struct {
	settings Settings[T]
	draws    *rand.Rand

	// pause is how long to wait before the next call of a store that fails.
	pause timekeeper.Span
	// borrowed is when another process was asked last.
	borrowed timekeeper.Instant

	copying sync.Mutex
	rows    map[string]T
	lapsing map[string]timekeeper.Instant
	version Version
	known   bool
	failing timekeeper.Instant
	// doubted is when another process was last seen to find the store failing.
	doubted timekeeper.Instant
	// lenient is until when missing rows stay, settles until when the table may fill.
	lenient, settles timekeeper.Instant
	// sum is the checksum of all rows.
	sum uint64
	// told are rows that others told of, by the version at which they were so.
	told map[string]Version
	// fresh is when the copy was last known to be the table's, by an own reading or by
	// another's; behind is since when others have a newer one; zero means that none has.
	fresh, behind timekeeper.Instant
	// differs is since when another's copy of the same version is different, differed when
	// that was seen last, settled when everything was read for it.
	differs, differed, settled timekeeper.Instant

	mu       sync.Mutex
	answered timekeeper.Instant
	synced   bool
}

// Synced reports whether a whole copy has been read.
func (follower *Follower[T]) Synced() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.synced
}

// LastAnswered returns when the store answered last; zero means never.
func (follower *Follower[T]) LastAnswered() timekeeper.Instant {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.answered
}

// Run follows the table until ctx ends.
func (follower *Follower[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duty := follower.duty()
		if duty == idle {
			_ = follower.settings.Clock.Sleep(ctx, lookEvery)
			continue
		}
		if duty == catchUp && follower.catchUp(ctx) {
			continue
		}
		follower.Step(ctx)
		follower.rest(ctx)
	}
}

// Step reads once and returns how long to wait before the next step.
func (follower *Follower[T]) Step(ctx context.Context) timekeeper.Span {
	answer, err := follower.read(ctx)
	now := follower.settings.Clock.Now()
	if ctx.Err() != nil {
		// The process stops; that says nothing about the store.
		return 0
	}
	if err != nil {
		pause := follower.failed(err, now)
		follower.borrow(ctx)
		return pause
	}
	follower.takeIn(answer, follower.settings.FailingElsewhere(), now)
	return follower.pace()
}

// untilDue returns how long the store may hold a read for a change: no longer than until
// the next lapsed row is due to go. Rows go by an answer of the store alone, since the read
// that brings them back may be on its way.
func (follower *Follower[T]) untilDue(wait timekeeper.Span) timekeeper.Span {
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	for _, due := range follower.lapsing {
		wait = min(wait, max(leastWait, due.Since(now)))
	}
	return wait
}

// leastWait is the shortest time for which the store is asked to hold a read.
const leastWait = timekeeper.Millisecond

// answer is what a read of the store brought.
type answer[T any] struct {
	rows    []Change[T]
	version Version
	// whole reports that rows are all rows of the table, not what has changed.
	whole bool
}

// read reads what has changed, or everything.
func (follower *Follower[T]) read(ctx context.Context) (answer[T], error) {
	known, version, sound := follower.position()
	if known && !sound {
		follower.log("copies of one version differ, reading everything", version)
	}
	if known && sound {
		pacing := follower.settings.Wait
		wait := pacing.spread(pacing.For(follower.settings.Readers()), follower.draws.Float64())
		changes, newest, err := follower.settings.Source.Changes(ctx, version, follower.untilDue(wait))
		if err == nil && newest < version {
			return answer[T]{}, errStale
		}
		if !eris.Is(err, ErrHistoryLost) {
			return answer[T]{rows: changes, version: newest}, err
		}
		follower.log("changes lost, reading everything", version)
	}
	rows, newest, err := follower.settings.Source.Snapshot(ctx)
	if err == nil && newest < version {
		return answer[T]{}, errStale
	}
	return answer[T]{rows: rows, version: newest, whole: true}, err
}

// position returns whether there is a copy, of which version it is, and whether others
// have the same.
func (follower *Follower[T]) position() (known bool, version Version, sound bool) {
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	return follower.known, follower.version, !follower.disputed(now, disputedFor)
}

// errStale is a read that is behind what is known already.
var errStale = eris.New("the store's answer is older than what is known")

func (follower *Follower[T]) log(text string, version Version) {
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "version": uint64(version),
	}).Info(text)
}
