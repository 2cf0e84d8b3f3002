package follower

import (
	"context"
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Update is what a read has changed in a reader's copy, for others.
type Update[T any] struct {
	// Version is that of the table at which the rows were so.
	Version Version
	Changes []Change[T]
}

// Summary says how a copy of a table was.
type Summary struct {
	Version Version
	// Sum is the checksum of all rows.
	Sum uint64
	// At is when the store answered.
	At timekeeper.Instant
}

const (
	// listingLife is for how long a process tells others of its last reading.
	listingLife = 10 * timekeeper.Second
	// staleAfter is how long a process goes without hearing that its copy is the table's
	// before it reads for itself. Readers read within 450 ms of each other and tell once
	// a second, so it takes several in a row that are lost.
	staleAfter = 3 * timekeeper.Second
	// behindFor is how long another's copy must have been newer before it is fetched:
	// the change itself mostly comes in the same digest, or in the next.
	behindFor = 400 * timekeeper.Millisecond
)

// duty is what a process has to do for its copy.
type duty uint8

const (
	idle duty = iota
	readTable
	catchUp
)

// duty decides whether the process reads the table, fetches another's copy, or leaves
// the work to those who read for all.
//
// A call of each process for each change is too dear among hundreds. This one reads where
// it is one of the few that do, where it has no copy, where it has lost the store itself,
// where it has not heard for seconds that its copy holds, or where readers that have read
// anew still have another one.
func (follower *Follower[T]) duty() duty {
	reads := follower.settings.IsReader()
	doubted := follower.settings.FailingElsewhere()
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	if doubted {
		follower.doubted = now
	}
	switch {
	case reads || !follower.known || follower.failing != 0 || len(follower.lapsing) > 0:
		return readTable
	case follower.disputed(now, 2*disputedFor):
		return readTable
	case follower.isBehind(now):
		return catchUp
	case now.Since(follower.fresh) > staleAfter && !doubted:
		return readTable
	}
	return idle
}

// isBehind reports whether another's copy has been newer for a while; the lock must be
// held.
func (follower *Follower[T]) isBehind(now timekeeper.Instant) bool {
	return follower.behind != 0 && now.Since(follower.behind) >= behindFor
}

// LastConfirmed returns when the copy was last known to be the table's; zero means never.
func (follower *Follower[T]) LastConfirmed() timekeeper.Instant {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	return follower.fresh
}

// Summary returns what the last reading of this process found; false means that it has
// none to tell of, or that its copy holds rows which the table has no more.
func (follower *Follower[T]) Summary() (Summary, bool) {
	answered := follower.LastAnswered()
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	listing := Summary{Version: follower.version, Sum: follower.sum, At: answered}
	return listing, answered != 0 && now.Since(answered) <= listingLife && len(follower.lapsing) == 0
}

// Rows returns the copy as rows of a table, and of which version it is; false means that
// there is none. A row that the table lacks since an outage says how long it stays, so that
// who gets the copy doesn't keep it for good.
func (follower *Follower[T]) Rows() (rows []Change[T], version Version, known bool) {
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	for key, value := range follower.rows {
		row := Change[T]{Key: key, Value: value}
		if due, lapsing := follower.lapsing[key]; lapsing {
			row.LapsesIn = max(1, due.Since(now))
		}
		rows = append(rows, row)
	}
	return rows, follower.version, follower.known
}

// ApplyUpdate takes in what another process has read. It reports whether that was news.
//
// A change counts where it is newer than the copy. The copy's version stays: there may
// be changes before this one that have not been told.
func (follower *Follower[T]) ApplyUpdate(news Update[T]) bool {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	if !follower.known || news.Version <= follower.version {
		return false
	}
	before := follower.sum
	for _, change := range news.Changes {
		if news.Version < follower.told[change.Key] {
			continue
		}
		follower.told[change.Key] = news.Version
		if change.Removed {
			delete(follower.lapsing, change.Key)
			follower.drop(change.Key)
			continue
		}
		follower.returned(change.Key, news.Version)
		follower.put(change.Key, change.Value)
	}
	if follower.sum == before {
		return false
	}
	follower.apply()
	return true
}

// Compare takes in what another process's copy is like. One that is newer and the same
// makes this copy as new; one that is newer and different has to be fetched, if the
// changes between them don't come by themselves. Of two that are different at one version
// one is wrong.
func (follower *Follower[T]) Compare(other Summary) {
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	same := other.Sum == follower.sum
	switch {
	case !follower.known || other.Version < follower.version:
		return
	case same:
		follower.confirm(other.Version)
		maps.DeleteFunc(follower.told, func(_ string, version Version) bool { return version <= other.Version })
		follower.fresh, follower.behind = max(follower.fresh, other.At), 0
	case other.Version == follower.version:
		follower.dispute(now)
	case follower.behind == 0:
		follower.behind = now
	}
}

// confirm moves the copy to a version at which another's was the same; the lock must be
// held. A copy that holds rows which its table lacks is told to nobody, so one that is the
// same says that each row is there: the changes up to then, which are never read, could
// not.
func (follower *Follower[T]) confirm(version Version) {
	if version == follower.version {
		return
	}
	follower.settings.Log.WithFields(logrus.Fields{
		"table": follower.settings.Name, "version": uint64(version), "version-before": uint64(follower.version),
		"rows": len(follower.rows), "rows-lapsing": len(follower.lapsing), "rows-told": len(follower.told),
	}).Info("another's copy is the same and newer")
	follower.version = version
	clear(follower.lapsing)
	follower.settings.Confirm(version)
}

// catchUp fetches the copy of a process that has a newer one, and reports whether there
// was one.
func (follower *Follower[T]) catchUp(ctx context.Context) bool {
	follower.copying.Lock()
	follower.behind = 0
	follower.copying.Unlock()
	if follower.settings.FetchCopy == nil {
		return false
	}
	return follower.fetch(ctx)
}

// tell tells others what has changed since an earlier copy, but nothing of rows that are
// kept though missing: others would take them for rows of the table. The lock must be held.
func (follower *Follower[T]) tell(before map[string]T) {
	news := Update[T]{Version: follower.version}
	for key, value := range follower.rows {
		if _, lapsing := follower.lapsing[key]; lapsing {
			continue
		}
		known, found := before[key]
		if !found || follower.settings.Sum(key, known) != follower.settings.Sum(key, value) {
			news.Changes = append(news.Changes, Change[T]{Key: key, Value: value})
		}
	}
	for key := range before {
		if _, found := follower.rows[key]; !found {
			news.Changes = append(news.Changes, Change[T]{Key: key, Removed: true})
		}
	}
	if len(news.Changes) > 0 {
		follower.settings.Publish(news)
	}
}
