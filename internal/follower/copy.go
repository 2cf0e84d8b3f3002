package follower

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// applyAnswer applies an answer of the store. failingElsewhere says that other processes
// find the store failing.
func (follower *Follower[T]) applyAnswer(answer answer[T], failingElsewhere bool, now timekeeper.Instant) {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	follower.recordRecovery(answer, failingElsewhere, now)
	// Updates that arrived during the read may be newer than the answer.
	if !answer.version.Before(follower.version) {
		follower.applyNewer(answer, now)
	} else {
		follower.log("answer is older than the copy", answer.version)
	}
	follower.confirm(Confirmation{At: answer.validAt(now), From: FromStore})
	follower.behindSince = 0
	if answer.whole {
		follower.recordReread(now)
	}
	follower.mu.Lock()
	follower.lastAnswer, follower.synced = now, true
	follower.mu.Unlock()
}

// applyNewer applies an answer that is at least as new as the copy; copyLock must be held.
func (follower *Follower[T]) applyNewer(answer answer[T], now timekeeper.Instant) {
	first := !follower.hasCopy
	before := maps.Clone(follower.rows)
	changed := follower.applyChanges(follower.dropOutdated(answer), answer.version, now)
	follower.version = answer.version
	changed = follower.removeExpired(now) || changed
	if first {
		follower.hasCopy, follower.fillingUntil = true, now.Add(fillTime)
	}
	follower.notify(changed || first)
	if !first {
		follower.publish(before)
	}
}

// dropOutdated forgets the updates up to an answer's version, and returns the changes of
// the answer without those of rows that a newer update has changed; copyLock must be held.
func (follower *Follower[T]) dropOutdated(answer answer[T]) []Change[T] {
	maps.DeleteFunc(follower.updateVersions, func(_ string, version Version) bool { return !answer.version.Before(version) })
	return slices.DeleteFunc(follower.changesOf(answer), func(change Change[T]) bool {
		_, newer := follower.updateVersions[change.Key]
		return newer
	})
}

// changesOf returns the changes of an answer. An answer with the whole table also removes
// each row that it lacks.
func (follower *Follower[T]) changesOf(answer answer[T]) []Change[T] {
	if !answer.whole {
		return answer.rows
	}
	changes := answer.rows
	present := make(map[string]bool, len(changes))
	for _, row := range changes {
		present[row.Key] = true
	}
	for key := range follower.rows {
		if !present[key] {
			changes = append(changes, Change[T]{Key: key, Removed: true})
		}
	}
	return changes
}

// applyChanges applies the changes up to a version and reports whether it wrote or removed
// a row; copyLock must be held. Only rows of the copy are kept when they are missing: a row
// that the changes write and remove again may be one that the copy has lost meanwhile, by the
// word of another process.
func (follower *Follower[T]) applyChanges(changes []Change[T], version Version, now timekeeper.Instant) bool {
	changed, before := false, maps.Clone(follower.rows)
	for _, change := range changes {
		if !change.Removed {
			follower.markReturned(change.Key, version)
			follower.put(change.Key, change.Value)
			if change.LapsesIn > 0 {
				_, listed := before[change.Key]
				follower.keepLapsing(change.Key, now.Add(change.LapsesIn), listed, now)
				follower.log("another's row lapsed in an outage, kept for a while: "+change.Key, version)
			}
			changed = true
			continue
		}
		if _, found := follower.rows[change.Key]; !found {
			continue
		}
		if _, lapsing := follower.lapsing[change.Key]; lapsing && now < follower.lapsing[change.Key] {
			continue
		}
		if _, listed := before[change.Key]; listed && now < follower.keepUntil {
			follower.lapsing[change.Key] = follower.keepUntil
			follower.log("row lapsed in an outage, kept for a while: "+change.Key, version)
			continue
		}
		follower.drop(change.Key)
		changed = true
	}
	return changed
}

// markReturned ends the lapse of a row that is in the table again; copyLock must be held.
func (follower *Follower[T]) markReturned(key string, version Version) {
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

// removeExpired removes lapsed rows that were not written again in time.
func (follower *Follower[T]) removeExpired(now timekeeper.Instant) bool {
	changed := false
	for key, expiresAt := range follower.lapsing {
		if now < expiresAt {
			continue
		}
		delete(follower.lapsing, key)
		follower.drop(key)
		follower.log("lapsed row is gone: "+key, follower.version)
		changed = true
	}
	return changed
}
