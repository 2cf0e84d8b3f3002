package forwarder

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// hintLife is how long an entry passes on a strike that it heard of. It
	// bridges the time until the table's row is written; a verdict that an
	// operator lifts may be passed on that much longer.
	hintLife = 30 * timekeeper.Second
	// mostHints bounds what an entry remembers. A site with more than a
	// thousand requests that crash engines within ten minutes has another problem.
	mostHints = 1024
)

// hint is what an entry heard or saw of one request's strikes.
type hint struct {
	strikes uint32
	expires timekeeper.Instant
}

// hints are the strikes that an entry passes on with its offers.
type hints struct {
	mu   sync.Mutex
	byID map[uint64]hint
}

// learn takes in the strikes that came with a digest.
func (hints *hints) learn(digest *encoder.Digest, now timekeeper.Instant) {
	if len(digest.GetStrikes()) == 0 {
		return
	}
	hints.mu.Lock()
	defer hints.mu.Unlock()
	for _, strike := range digest.GetStrikes() {
		known := hints.byID[strike.GetFingerprint()]
		known.strikes = max(known.strikes, strike.GetCount())
		hints.put(strike.GetFingerprint(), known, now)
	}
}

// suspect notes that an engine, or a whole instance, was lost while it ran a request.
func (hints *hints) suspect(fingerprint uint64, now timekeeper.Instant) {
	hints.mu.Lock()
	defer hints.mu.Unlock()
	known := hints.byID[fingerprint]
	known.strikes = max(known.strikes, 1)
	hints.put(fingerprint, known, now)
}

// put stores a hint; the lock must be held.
func (hints *hints) put(fingerprint uint64, known hint, now timekeeper.Instant) {
	if hints.byID == nil {
		hints.byID = map[uint64]hint{}
	}
	for other, old := range hints.byID {
		if len(hints.byID) >= mostHints || old.expires.Before(now) {
			delete(hints.byID, other)
		}
	}
	known.expires = now.Add(hintLife)
	hints.byID[fingerprint] = known
}

// of returns what is known about a request.
func (hints *hints) of(fingerprint uint64, now timekeeper.Instant) hint {
	hints.mu.Lock()
	defer hints.mu.Unlock()
	known := hints.byID[fingerprint]
	if known.expires.Before(now) {
		return hint{}
	}
	return known
}

// clear forgets a request that ran to its end.
func (hints *hints) clear(fingerprint uint64) {
	hints.mu.Lock()
	defer hints.mu.Unlock()
	delete(hints.byID, fingerprint)
}
