package follower

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// takeIn takes in what the store answered. doubted says that others found it failing.
func (follower *Follower[T]) takeIn(answer answer[T], doubted bool, now timekeeper.Instant) {
	follower.copying.Lock()
	defer follower.copying.Unlock()
	follower.recovered(doubted, now)
	// What others told meanwhile may be newer than the answer.
	if answer.version >= follower.version {
		follower.takeNewer(answer, now)
	} else {
		follower.log("answer is older than the copy", answer.version)
	}
	follower.fresh, follower.behind = now, 0
	if answer.whole {
		follower.settle(now)
	}
	follower.mu.Lock()
	follower.answered, follower.synced = now, true
	follower.mu.Unlock()
}

// takeNewer takes in an answer that is as new as the copy; the lock must be held.
func (follower *Follower[T]) takeNewer(answer answer[T], now timekeeper.Instant) {
	first := !follower.known
	before := maps.Clone(follower.rows)
	changed := follower.take(follower.notOlder(answer), answer.version, now)
	follower.version = answer.version
	changed = follower.expire(now) || changed
	if first {
		follower.known, follower.settles = true, now.Add(settling)
	}
	follower.handOn(changed || first)
	if !first {
		follower.tell(before)
	}
}

// notOlder returns the changes of an answer but for rows of which others have told
// something newer while it was on its way; the lock must be held.
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

// take applies the changes up to a version and reports whether there were any.
func (follower *Follower[T]) take(changes []Change[T], version Version, now timekeeper.Instant) bool {
	changed := false
	for _, change := range changes {
		if !change.Removed {
			follower.returned(change.Key, version)
			follower.put(change.Key, change.Value)
			if change.LapsesIn > 0 {
				follower.lapsing[change.Key] = now.Add(change.LapsesIn)
				follower.log("another's row lapsed in an outage, kept for a while: "+change.Key, version)
			}
			changed = true
			continue
		}
		if _, found := follower.rows[change.Key]; !found {
			continue
		}
		if now < follower.lenient {
			follower.lapsing[change.Key] = follower.lenient
			follower.log("row lapsed in an outage, kept for a while: "+change.Key, version)
			continue
		}
		follower.drop(change.Key)
		changed = true
	}
	return changed
}

// returned notes that a row is in the table again; the lock must be held.
func (follower *Follower[T]) returned(key string, version Version) {
	if _, lapsing := follower.lapsing[key]; lapsing {
		delete(follower.lapsing, key)
		follower.log("lapsed row is back: "+key, version)
	}
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
