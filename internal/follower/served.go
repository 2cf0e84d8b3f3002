package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// noticeDelay is how much later than this process another one may notice that the store
	// is unavailable: answers until then may have been given before the outage.
	noticeDelay = 500 * timekeeper.Millisecond
	// maxServedGap is the longest time without an answer to any other process while the
	// store is available: of many processes at least one is served each second.
	maxServedGap = 2 * timekeeper.Second
)

// ServedSince returns since when the store has served other processes without a gap up to
// now, counting answers after an instant at which it stopped answering this process; zero
// means that it does not serve them. served are the instants of its answers to others, in
// order. The result shows how long a replica whose row is missing has had time to write it
// again; if the store was back for a moment and unavailable again, the second return
// counts.
func ServedSince(served []timekeeper.Instant, from, now timekeeper.Instant) timekeeper.Instant {
	since, last := timekeeper.Instant(0), timekeeper.Instant(0)
	for _, at := range served {
		if at <= from.Add(noticeDelay) {
			continue
		}
		if at.Since(last) > maxServedGap {
			since = at
		}
		last = at
	}
	if now.Since(last) > maxServedGap {
		return 0
	}
	return since
}
