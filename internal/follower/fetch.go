package follower

import (
	"context"
	"maps"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// borrowEvery is the least time between two copies that a process asks others for while
// it has one: what leaves it hears at once, what joins may wait, and a copy of thousands
// of rows takes hundreds of kilobytes.
const borrowEvery = 5 * timekeeper.Second

// borrow takes in another process's copy of the table, if that is newer, so that a process
// that the store turns away from its start on knows the rows. A copy is as good as the
// store's answer of that version; that the store has not answered stays known.
func (follower *Follower[T]) borrow(ctx context.Context) {
	now := follower.settings.Clock.Now()
	known, _, _ := follower.position()
	if follower.settings.FetchCopy == nil || known && now.Since(follower.borrowed) < borrowEvery {
		return
	}
	follower.borrowed = now
	follower.fetch(ctx)
}

// fetch takes in another process's copy and reports whether it was newer.
func (follower *Follower[T]) fetch(ctx context.Context) bool {
	rows, version, err := follower.settings.FetchCopy(ctx)
	now := follower.settings.Clock.Now()
	follower.copying.Lock()
	defer follower.copying.Unlock()
	if err != nil || version <= follower.version {
		return false
	}
	first := !follower.known
	changed := follower.take(follower.notOlder(answer[T]{rows: rows, version: version, whole: true}), version, now)
	follower.version, follower.known = version, true
	follower.log("rows taken from another process's copy", version)
	follower.handOn(changed || first)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.synced = true
	return true
}

// handOn hands on a copy of a newer version, or the version alone where nothing in the
// copy has changed; the lock must be held.
func (follower *Follower[T]) handOn(changed bool) {
	if changed {
		follower.apply()
		return
	}
	follower.settings.Confirm(follower.version)
}

// apply hands on the copy; the lock must be held.
func (follower *Follower[T]) apply() {
	follower.settings.Apply(maps.Clone(follower.rows), follower.version)
}
