package follower

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
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

// Settings set up a follower. Clock, Log, Source and Apply must be set.
type Settings[T any] struct {
	// Name is the table's name in logs.
	Name   string
	Clock  timekeeper.Clock
	Log    logrus.FieldLogger
	Source Source[T]
	// Apply takes each new copy, and the version of the store that it is of. It must
	// not keep the map.
	Apply func(rows map[string]T, version Version)
	// Pace is the least time between two reads; zero means none. Reading a table
	// whose rows are all written again and again costs a call for each write
	// otherwise.
	Pace Pacing
	// Wait is how long the store may hold a read for a change. A connection that
	// has gone silent is noticed some time after it.
	Wait Pacing
	// Readers returns how many processes read the table and tell each other of
	// changes, this one among them. Nil means that it is the only one.
	Readers func() int
	// Sharers returns how many processes there are, those among them that leave the
	// reading to others. While the store fails they share the calls that find out when
	// it is back. Nil means that this is the only one.
	Sharers func() int
	// Reads reports whether this process reads the table right now; otherwise others
	// tell it of changes. Nil means that it always does. One that has no copy yet reads
	// in any case.
	Reads func() bool
	// Sum returns a checksum of a row, by which copies are compared. It must be set for
	// anything that others tell to count.
	Sum func(key string, value T) uint64
	// Tell is called with what a read of this process has changed. It must not call
	// the follower. Nil means that there is nobody to tell.
	Tell func(news News[T])
	// Doubted reports whether another process finds the store failing: then it is no use
	// to read only because nobody tells anything, and rows that are missing afterwards
	// may have lapsed. Nil means that nothing is known of others.
	Doubted func() bool
	// Lapse is how long a row that is missing after an outage stays; zero means
	// not at all.
	Lapse timekeeper.Span
	// OthersServed returns when the store first served another process after an
	// instant; zero means that it has not. Rows that are missing a Lapse after that
	// are gone, however long the store has been away for this process. Nil means
	// that nothing is known of others.
	OthersServed func(from timekeeper.Instant) timekeeper.Instant
	// Copy asks another process for its copy of the table and the version that it is
	// of, where the store fails. Nil means that nobody can be asked.
	Copy func(ctx context.Context) ([]Change[T], Version, error)
	Seed uint64
}

const (
	// firstPause and longestPause bound the time between two reads of a store
	// that fails. The longest one is well under the time in which a change has
	// to be in force after the store is back.
	firstPause   = 60 * timekeeper.Millisecond
	longestPause = 600 * timekeeper.Millisecond
	// outage is how long the store must have failed for rows that are missing
	// afterwards to count as lapsed: shorter gaps make no row lapse. sharedOutage is the
	// same where others found it failing: what they last confirmed may be a second old.
	outage       = timekeeper.Second
	sharedOutage = 2 * timekeeper.Second
)

// Follower keeps a copy of a table.
//
// One goroutine reads; others may call Told, Compare, Listing and Rows. The copy is
// under the lock copying, with which Apply, Tell, Sum and OthersServed are called; the
// other functions of the settings are called without it, and may look at the follower.
// The lock mu comes after it.
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
	// lenient is until when missing rows stay, settles until when the table may fill.
	lenient, settles timekeeper.Instant
	// sum is the checksum of all rows.
	sum uint64
	// told are rows that others told of, by the version at which they were so.
	told map[string]Version
	// fresh is when the copy was last known to be the table's, by an own reading or by
	// another's; behind is since when others have a newer one; zero means that none has.
	fresh, behind timekeeper.Instant

	mu       sync.Mutex
	answered timekeeper.Instant
	synced   bool
}

// New returns a follower that knows nothing.
func New[T any](settings Settings[T]) *Follower[T] {
	if settings.OthersServed == nil {
		settings.OthersServed = func(timekeeper.Instant) timekeeper.Instant { return 0 }
	}
	if settings.Readers == nil {
		settings.Readers = func() int { return 1 }
	}
	if settings.Sharers == nil {
		settings.Sharers = func() int { return 1 }
	}
	if settings.Reads == nil {
		settings.Reads = func() bool { return true }
	}
	if settings.Sum == nil {
		settings.Sum = func(string, T) uint64 { return 0 }
	}
	if settings.Tell == nil {
		settings.Tell = func(News[T]) {}
	}
	if settings.Doubted == nil {
		settings.Doubted = func() bool { return false }
	}
	return &Follower[T]{
		settings: settings,
		draws:    rand.New(rand.NewPCG(settings.Seed, 23)),
		rows:     map[string]T{},
		lapsing:  map[string]timekeeper.Instant{},
		told:     map[string]Version{},
	}
}

// Synced reports whether a whole copy has been read.
func (follower *Follower[T]) Synced() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.synced
}

// Answered returns when the store answered last; zero means never.
func (follower *Follower[T]) Answered() timekeeper.Instant {
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
	bounded, release := follower.untilDue(ctx)
	answer, err := follower.read(bounded)
	release()
	now := follower.settings.Clock.Now()
	if context.Cause(bounded) == errDue {
		// Rows are due to go; the read goes on in the next step.
		follower.dropLapsed(now)
		return 0
	}
	if ctx.Err() != nil {
		// The process stops; that says nothing about the store.
		return 0
	}
	if err != nil {
		pause := follower.failed(err, now)
		follower.borrow(ctx)
		return pause
	}
	follower.takeIn(answer, follower.settings.Doubted(), now)
	return follower.pace()
}

// takeIn takes in what the store answered. doubted says that others found it failing.
func (follower *Follower[T]) takeIn(answer answer[T], doubted bool, now timekeeper.Instant) {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	follower.recovered(doubted, now)
	// What others told meanwhile may be newer than the answer.
	if answer.version >= follower.version {
		follower.takeNewer(answer, now)
	}
	follower.fresh, follower.behind = now, 0
	follower.mu.Lock()
	follower.answered, follower.synced = now, true
	follower.mu.Unlock()
}

// takeNewer takes in an answer that is as new as the copy; the lock must be held.
func (follower *Follower[T]) takeNewer(answer answer[T], now timekeeper.Instant) {
	first := !follower.known
	before := maps.Clone(follower.rows)
	changed := follower.take(follower.notOlder(answer), now)
	follower.version = answer.version
	changed = follower.expire(now) || changed
	if first {
		follower.known, follower.settles = true, now.Add(settling)
	}
	if changed || first {
		follower.apply()
	}
	if !first {
		follower.tell(before)
	}
}

// dropLapsed removes rows that are due to go, outside of a read.
func (follower *Follower[T]) dropLapsed(now timekeeper.Instant) {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	before := maps.Clone(follower.rows)
	if follower.expire(now) {
		follower.apply()
		follower.tell(before)
	}
}

// errDue ends a read when lapsed rows are due to go.
var errDue = eris.New("lapsed rows are due")

// untilDue bounds a read by when the next lapsed row is due to go: reads wait for
// changes, and there may be none for long.
func (follower *Follower[T]) untilDue(ctx context.Context) (context.Context, func()) {
	follower.copying.Lock()
	lapsing := slices.Collect(maps.Values(follower.lapsing))
	follower.copying.Unlock()
	if len(lapsing) == 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	fired, release := follower.settings.Clock.After(slices.Min(lapsing).Since(follower.settings.Clock.Now()))
	go func() {
		select {
		case <-fired:
			cancel(errDue)
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// answer is what a read of the store brought.
type answer[T any] struct {
	rows    []Change[T]
	version Version
	// whole reports that rows are all rows of the table, not what has changed.
	whole bool
}

// read reads what has changed, or everything.
func (follower *Follower[T]) read(ctx context.Context) (answer[T], error) {
	known, version := follower.position()
	if known {
		pacing := follower.settings.Wait
		wait := pacing.spread(pacing.For(follower.settings.Readers()), follower.draws.Float64())
		changes, newest, err := follower.settings.Source.Changes(ctx, version, wait)
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

// position returns whether there is a copy, and of which version it is.
func (follower *Follower[T]) position() (known bool, version Version) {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	return follower.known, follower.version
}

// errStale is a read that is behind what is known already.
var errStale = eris.New("the store's answer is older than what is known")

// notOlder returns the changes of an answer but for rows of which others have told
// something newer; the lock must be held.
//
// The failure: an answer is on its way for long, and meanwhile another process reads, and
// tells, that a replica leaves. The symptom: the answer brings the row as it was before,
// and the replica gets work again until the next read.
func (follower *Follower[T]) notOlder(answer answer[T]) []Change[T] {
	maps.DeleteFunc(follower.told, func(_ string, version Version) bool { return version <= answer.version })
	return slices.DeleteFunc(follower.changesOf(answer), func(change Change[T]) bool {
		_, newer := follower.told[change.Key]
		return newer
	})
}

// changesOf returns the changes of an answer: one that is whole also removes each row
// that it lacks.
func (follower *Follower[T]) changesOf(answer answer[T]) []Change[T] {
	if !answer.whole {
		return answer.rows
	}
	changes := answer.rows
	there := make(map[string]bool, len(changes))
	for _, row := range changes {
		there[row.Key] = true
	}
	for key := range follower.rows {
		if !there[key] {
			changes = append(changes, Change[T]{Key: key, Removed: true})
		}
	}
	return changes
}

// take applies changes and reports whether there were any.
func (follower *Follower[T]) take(changes []Change[T], now timekeeper.Instant) bool {
	changed := false
	for _, change := range changes {
		if !change.Removed {
			delete(follower.lapsing, change.Key)
			follower.put(change.Key, change.Value)
			changed = true
			continue
		}
		if _, found := follower.rows[change.Key]; !found {
			continue
		}
		if now < follower.lenient {
			follower.lapsing[change.Key] = follower.lenient
			follower.log("row lapsed in an outage, kept for a while: "+change.Key, follower.version)
			continue
		}
		follower.drop(change.Key)
		changed = true
	}
	return changed
}

// put and drop change one row of the copy and its checksum.
func (follower *Follower[T]) put(key string, value T) {
	follower.drop(key)
	follower.rows[key] = value
	follower.sum ^= follower.settings.Sum(key, value)
}

func (follower *Follower[T]) drop(key string) {
	if value, found := follower.rows[key]; found {
		follower.sum ^= follower.settings.Sum(key, value)
		delete(follower.rows, key)
	}
}

// expire removes lapsed rows that did not come back.
func (follower *Follower[T]) expire(now timekeeper.Instant) bool {
	changed := false
	for key, due := range follower.lapsing {
		if now < due {
			continue
		}
		delete(follower.lapsing, key)
		follower.drop(key)
		follower.log("lapsed row is gone: "+key, follower.version)
		changed = true
	}
	return changed
}

func (follower *Follower[T]) failed(err error, now timekeeper.Instant) timekeeper.Span {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	if follower.failing == 0 {
		follower.failing = now
		follower.settings.Log.WithFields(logrus.Fields{
			"table": follower.settings.Name, "cause": err.Error(), "version": uint64(follower.version),
		}).Warn("store lost")
	}
	follower.pause = min(max(firstPause, 2*follower.pause), longestPause)
	return timekeeper.Span(float64(follower.pause) * (0.5 + follower.draws.Float64()/2))
}

// recovered notes that the store answered, and what to think of rows that are missing
// since; the lock must be held.
func (follower *Follower[T]) recovered(doubted bool, now timekeeper.Instant) {
	follower.pause = 0
	from, away := follower.outageBegan(doubted, now)
	if away {
		back := now
		if served := follower.settings.OthersServed(from); served != 0 {
			back = min(back, served)
		}
		follower.lenient, follower.settles = back.Add(follower.settings.Lapse), now.Add(settling)
	}
	if follower.failing == 0 {
		return
	}
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "away-ms": int64(now.Since(follower.failing)), "outage": away,
	}).Info("store regained")
	follower.failing = 0
}

// outageBegan returns since when the store may have been away for all, and whether that
// is long enough for rows to have lapsed; the lock must be held.
//
// The failure: a few processes read for all, and the store is away for seconds. The
// first one that it serves again may never have failed itself, having left the reading
// to others. The symptom: it takes the rows that lapsed for replicas that are gone, and
// tells everyone; for two seconds there is hardly a replica to send work to.
func (follower *Follower[T]) outageBegan(doubted bool, now timekeeper.Instant) (timekeeper.Instant, bool) {
	if doubted && follower.known {
		return follower.fresh, now.Since(follower.fresh) >= sharedOutage
	}
	if follower.failing == 0 {
		return now, false
	}
	began := max(follower.failing, follower.fresh)
	return began, now.Since(began) >= outage
}

// Failing reports whether the store did not answer the last call.
func (follower *Follower[T]) Failing() bool {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	return follower.failing != 0
}

func (follower *Follower[T]) log(text string, version Version) {
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "version": uint64(version),
	}).Info(text)
}
