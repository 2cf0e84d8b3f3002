package follower

import (
	"context"
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Update holds the changes that a read made to a reader's copy, for other processes.
type Update[T any] struct {
	// Version is the table's version after the changes.
	Version Version
	Changes []Change[T]
}

// Summary describes a copy of a table.
type Summary struct {
	Version Version
	// Sum is the checksum of all rows.
	Sum uint64
	// At is when the store answered.
	At timekeeper.Instant
	// From names the process that sent the summary, for logs.
	From string
}

const (
	// summaryLifetime is how long a process sends the summary of its last read.
	summaryLifetime = 10 * timekeeper.Second
	// staleAfter is how long a process waits for a summary that confirms its copy before it
	// reads for itself. Readers read within 450 ms of each other and send a summary once a
	// second, so only the loss of several in a row triggers a read.
	staleAfter = 3 * timekeeper.Second
	// behindTimeout is how long another process's copy must have been newer before it is
	// fetched: mostly the update itself is in the same digest, or in the next one.
	behindTimeout = 400 * timekeeper.Millisecond
)

// action is what a process has to do next for its copy.
type action uint8

const (
	idle action = iota
	readTable
	catchUp
)

// action decides whether the process reads the table, fetches another process's copy, or
// leaves the work to the readers.
//
// If each of hundreds of processes called the store for each change, that would be too
// expensive. A process reads if it is a reader, has no copy, finds the store failing itself,
// holds lapsed rows, or still differs from readers that have read the table again. It also
// reads if its copy has not been confirmed for seconds although no other process finds the
// store failing.
func (follower *Follower[T]) action() action {
	isReader := follower.settings.IsReader()
	failingElsewhere := follower.settings.FailingElsewhere()
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if failingElsewhere {
		follower.failedElsewhereAt = now
	}
	switch {
	case isReader || !follower.hasCopy || follower.failingSince != 0 || len(follower.lapsing) > 0:
		return readTable
	case follower.mismatched(now, 2*mismatchTimeout):
		return readTable
	case follower.isBehind(now):
		return catchUp
	case now.Since(follower.confirmedAt) > staleAfter && !failingElsewhere:
		return readTable
	}
	return idle
}

// isBehind reports whether another process has had a newer copy for behindTimeout; copyLock
// must be held.
func (follower *Follower[T]) isBehind(now timekeeper.Instant) bool {
	return follower.behindSince != 0 && now.Since(follower.behindSince) >= behindTimeout
}

// LastConfirmed returns when the copy last matched the table; zero means never.
func (follower *Follower[T]) LastConfirmed() timekeeper.Instant {
	return follower.LastConfirmation().At
}

// Summary returns the summary of the last read of this process; false means that there is
// no recent read, that the copy holds lapsed rows, or that it is of an earlier era.
func (follower *Follower[T]) Summary() (Summary, bool) {
	lastAnswer := follower.LastAnswered()
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	summary := Summary{Version: follower.version, Sum: follower.sum, At: lastAnswer}
	current := lastAnswer != 0 && now.Since(lastAnswer) <= summaryLifetime && follower.version.Era >= follower.era
	return summary, current && len(follower.lapsing) == 0
}

// CompareSum returns the summary of the copy, whoever confirmed it, and whether another copy with a
// checksum has the same rows. A copy with lapsed rows, which the table lacks, never does.
func (follower *Follower[T]) CompareSum(sum uint64) (summary Summary, same bool) {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	summary = Summary{Version: follower.version, Sum: follower.sum, At: follower.confirmedAt}
	return summary, follower.hasCopy && follower.sum == sum && len(follower.lapsing) == 0
}

// Rows returns the rows of the copy and its version; false means that there is no copy. For
// a lapsed row LapsesIn is set, so that a process that fetches the copy does not keep the
// row for good.
func (follower *Follower[T]) Rows() (rows []Change[T], version Version, hasCopy bool) {
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	for key, value := range follower.rows {
		row := Change[T]{Key: key, Value: value}
		if expiresAt, lapsing := follower.lapsing[key]; lapsing {
			row.LapsesIn = max(1, expiresAt.Since(now))
		}
		rows = append(rows, row)
	}
	return rows, follower.version, follower.hasCopy
}

// ApplyUpdate applies an update of another process and reports whether it changed the copy.
//
// Only an update that is newer than the copy counts. The version of the copy stays, since
// earlier updates may be missing.
func (follower *Follower[T]) ApplyUpdate(update Update[T]) bool {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if !follower.hasCopy || !follower.version.Before(update.Version) {
		return false
	}
	before := follower.sum
	for _, change := range update.Changes {
		if update.Version.Before(follower.updateVersions[change.Key]) {
			continue
		}
		follower.updateVersions[change.Key] = update.Version
		if change.Removed {
			delete(follower.lapsing, change.Key)
			follower.drop(change.Key)
			continue
		}
		follower.markReturned(change.Key, update.Version)
		follower.put(change.Key, change.Value)
	}
	if follower.sum == before {
		return false
	}
	follower.apply()
	return true
}

// Compare evaluates the summary of another process's copy. A newer version with the same
// checksum advances this copy to it. With a newer version and another checksum, this process
// fetches that copy unless the missing updates arrive first. The same version with another
// checksum is a mismatch: one of the copies is wrong.
func (follower *Follower[T]) Compare(other Summary) {
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if !follower.hasCopy || other.Version.Before(follower.version) || other.Version.Era < follower.era {
		return
	}
	expired := follower.dropExpiredElsewhere(other, now)
	same := other.Sum == follower.sum
	switch {
	case same:
		follower.advance(other.Version)
		maps.DeleteFunc(follower.updateVersions, func(_ string, version Version) bool { return !other.Version.Before(version) })
		follower.confirm(Confirmation{At: other.At, From: other.From})
		follower.behindSince = 0
		if expired {
			follower.apply()
		}
	case other.Version == follower.version:
		follower.recordMismatch(now)
	case follower.behindSince == 0:
		follower.behindSince = now
	}
}

// dropExpiredElsewhere removes lapsed rows whose time was over when the store answered another
// process, if that process has the same copy without them; copyLock must be held. That answer
// counts like one to this process, which the store may reject or leave without an answer for
// seconds. It does not count soon after an outage for all, in which rows may have lapsed again.
func (follower *Follower[T]) dropExpiredElsewhere(other Summary, now timekeeper.Instant) bool {
	if len(follower.lapsing) == 0 || !follower.servingOthers(now) {
		return false
	}
	var expired []string
	sum := follower.sum
	for key, expiresAt := range follower.lapsing {
		if value, found := follower.rows[key]; found && other.At >= expiresAt {
			sum ^= follower.settings.Sum(key, value)
			expired = append(expired, key)
		}
	}
	if len(expired) == 0 || sum != other.Sum {
		return false
	}
	for _, key := range expired {
		delete(follower.lapsing, key)
		follower.drop(key)
		follower.log("lapsed row is gone, as another's copy shows: "+key, other.Version)
	}
	return true
}

// advance moves the copy to a newer version at which another process's copy has the same
// checksum; copyLock must be held. Copies with lapsed rows have no summary, so a matching
// checksum proves that the table has each row again. The changes up to that version are
// never read here and could not show it.
func (follower *Follower[T]) advance(version Version) {
	if version == follower.version {
		return
	}
	follower.logger(version).WithFields(logrus.Fields{
		"version-before": follower.version.Number, "era-before": follower.version.Era,
		"rows": len(follower.rows), "rows-lapsing": len(follower.lapsing), "rows-told": len(follower.updateVersions),
	}).Info("another's copy is the same and newer")
	follower.version = version
	clear(follower.lapsing)
	follower.settings.Confirm(version)
}

// catchUp fetches another process's newer copy and reports whether there was one.
func (follower *Follower[T]) catchUp(ctx context.Context) bool {
	follower.copyLock.Lock()
	follower.behindSince = 0
	follower.copyLock.Unlock()
	if follower.settings.FetchCopy == nil {
		return false
	}
	_, newer := follower.fetchCopy(ctx)
	return newer
}

// publish calls Settings.Publish with the changes since an earlier copy. It leaves out
// lapsed rows, which other processes would take for rows of the table. copyLock must be
// held.
func (follower *Follower[T]) publish(before map[string]T) {
	update := Update[T]{Version: follower.version}
	for key, value := range follower.rows {
		if _, lapsing := follower.lapsing[key]; lapsing {
			continue
		}
		old, found := before[key]
		if !found || follower.settings.Sum(key, old) != follower.settings.Sum(key, value) {
			update.Changes = append(update.Changes, Change[T]{Key: key, Value: value})
		}
	}
	for key := range before {
		if _, found := follower.rows[key]; !found {
			update.Changes = append(update.Changes, Change[T]{Key: key, Removed: true})
		}
	}
	if len(update.Changes) > 0 {
		follower.settings.Publish(update)
	}
}
