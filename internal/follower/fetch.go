package follower

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// minFetchInterval is the minimum time between two copies that a process with a copy
// fetches while the store fails. Peers report at once which replicas leave; replicas that
// join may wait; and a copy of thousands of rows takes hundreds of kilobytes.
const minFetchInterval = 5 * timekeeper.Second

// fetchIfDue fetches another process's copy of the table, so that a process that the store
// has rejected since its start has the rows. The copy is as good as the store's answer of
// that version, but lastAnswer stays: the store has not answered this process.
func (follower *Follower[T]) fetchIfDue(ctx context.Context) {
	now := follower.settings.Clock.Now()
	if follower.settings.FetchCopy == nil || follower.position().hasCopy && now.Since(follower.lastFetch) < minFetchInterval {
		return
	}
	follower.lastFetch = now
	follower.fetchCopy(ctx)
}

// Copy is another process's copy of a table.
type Copy[T any] struct {
	Rows    []Change[T]
	Version Version
	// Same reports that the copy has the checksum that was asked for and no lapsed rows; Rows is
	// empty then.
	Same bool
	// Confirmation is that of the copy; zero means that it isn't known.
	Confirmation Confirmation
	// ServedSince is since when the store has served processes without a gap up to now, as far as
	// that process knows; zero means that it doesn't. See Settings.ServingOthersSince.
	ServedSince timekeeper.Instant
}

// NewestCopy returns the copy that was confirmed last, with the earliest of all known instants since which
// the store has served processes. There must be at least one copy.
func NewestCopy[T any](copies []Copy[T]) Copy[T] {
	newest := slices.MaxFunc(copies, func(one, other Copy[T]) int {
		return cmp.Or(cmp.Compare(one.Confirmation.At, other.Confirmation.At), one.Version.Compare(other.Version))
	})
	for _, copied := range copies {
		if copied.ServedSince != 0 && (newest.ServedSince == 0 || copied.ServedSince < newest.ServedSince) {
			newest.ServedSince = copied.ServedSince
		}
	}
	return newest
}

// fetchCopy fetches another process's copy, applies it if it is newer, and reports whether
// there was an answer and whether it was newer.
func (follower *Follower[T]) fetchCopy(ctx context.Context) (answered, newer bool) {
	have := follower.have()
	copied, err := follower.settings.FetchCopy(ctx, have)
	now := follower.settings.Clock.Now()
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if err != nil || follower.hasCopy && copied.Version.Era < follower.era {
		return err == nil, false
	}
	follower.verifyOutage(copied.ServedSince, now)
	switch {
	case copied.Same && have.Sum == follower.sum:
		// The version stays: checksums leave out which replicas are cold, and the changes show that.
		follower.confirm(copied.Confirmation)
	case !copied.Same && follower.version.Before(copied.Version):
		follower.takeCopy(copied, now)
		return true, true
	}
	return true, false
}

// takeCopy replaces the copy by a newer one; copyLock must be held.
func (follower *Follower[T]) takeCopy(copied Copy[T], now timekeeper.Instant) {
	first := !follower.hasCopy
	if !first && follower.mayHaveLapsed(copied.ServedSince, now) {
		follower.keepMissing(cmp.Or(copied.ServedSince, follower.settings.ServingOthersSince(follower.confirmedAt)), now)
	}
	taken := answer[T]{rows: copied.Rows, version: copied.Version, whole: true}
	changed := follower.applyChanges(follower.dropOutdated(taken), copied.Version, now)
	follower.version, follower.hasCopy = copied.Version, true
	follower.confirm(copied.Confirmation)
	follower.log("rows taken from another process's copy", copied.Version)
	follower.notify(changed || first)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.synced = true
}

// have returns the summary of the copy as it is.
func (follower *Follower[T]) have() Summary {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	return Summary{Version: follower.version, Sum: follower.sum}
}

// notify calls Settings.Apply with a copy of a newer version, or Settings.Confirm with the
// version alone if no row has changed; copyLock must be held.
func (follower *Follower[T]) notify(changed bool) {
	if changed {
		follower.apply()
		return
	}
	follower.settings.Confirm(follower.version)
}

// apply calls Settings.Apply with a clone of the copy; copyLock must be held.
func (follower *Follower[T]) apply() {
	follower.settings.Apply(maps.Clone(follower.rows), follower.version)
}
