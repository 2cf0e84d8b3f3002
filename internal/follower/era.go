package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// EnterEra records that the store has come back from a copy. The whole table is read anew. What
// it then lacks is kept for a Lapse, as after an outage: rows that were written since the copy was
// made are written again.
func (follower *Follower[T]) EnterEra(era uint64, now timekeeper.Instant) {
	follower.copyLock.Lock()
	defer follower.copyLock.Unlock()
	if era <= follower.era {
		return
	}
	follower.era = era
	if follower.hasCopy {
		follower.keepUntil = max(follower.keepUntil, now.Add(follower.settings.Lapse))
		follower.certainUntil = max(follower.certainUntil, follower.keepUntil)
		follower.fillingUntil = now.Add(fillTime)
		follower.extendLapsing()
	}
}
