package quarantiner

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// survivalMemory is for how long at least a survival is remembered, unless there are more than
	// maxSurvivals meanwhile.
	survivalMemory = timekeeper.Minute
	maxSurvivals   = 8192
)

// survivals are the instants at which answers on features last survived, in two generations: the
// older one is dropped as a whole. The zero value is empty.
type survivals struct {
	current, previous map[Feature]timekeeper.Instant
	since             timekeeper.Instant
	// latest is the last survival of any feature.
	latest timekeeper.Instant
}

func (survivals *survivals) add(feature Feature, now timekeeper.Instant) {
	if survivals.current == nil || len(survivals.current) >= maxSurvivals || now.Since(survivals.since) > survivalMemory {
		survivals.previous, survivals.current = survivals.current, map[Feature]timekeeper.Instant{}
		survivals.since = now
	}
	survivals.current[feature], survivals.latest = now, now
}

// last returns when an answer on the feature last survived, and whether that is known.
func (survivals *survivals) last(feature Feature) (timekeeper.Instant, bool) {
	if at, found := survivals.current[feature]; found {
		return at, true
	}
	at, found := survivals.previous[feature]
	return at, found
}
