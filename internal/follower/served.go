package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// atOnce is how soon after this process another one notices that the store is away:
	// answers until then may have been given before.
	atOnce = 500 * timekeeper.Millisecond
	// servedGap is how long no other is served where the store is away from all: of many
	// processes one at least is served each second.
	servedGap = 2 * timekeeper.Second
)

// ServedSince returns since when the store has served others without a gap, up to now and
// after an instant at which it stopped answering this process; zero means that it does not.
// served are instants at which it answered others, in order. It tells how long a replica
// whose row is missing has had to write it again; where the store was back for a moment and
// away again, the second return counts.
func ServedSince(served []timekeeper.Instant, from, now timekeeper.Instant) timekeeper.Instant {
	since, last := timekeeper.Instant(0), timekeeper.Instant(0)
	for _, at := range served {
		if at <= from.Add(atOnce) {
			continue
		}
		if at.Since(last) > servedGap {
			since = at
		}
		last = at
	}
	if now.Since(last) > servedGap {
		return 0
	}
	return since
}
