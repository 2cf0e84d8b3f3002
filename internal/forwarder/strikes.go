package forwarder

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// strikeTTL is how long an entry passes on a strike that it received or saw. It
	// bridges the time until the table's row is written; a verdict that an operator
	// lifts may be passed on for that much longer.
	strikeTTL = 30 * timekeeper.Second
	// maxStrikeRecords bounds the cache. A site with more than a thousand requests
	// that crash engines within strikeTTL has another problem.
	maxStrikeRecords = 1024
)

// strikeRecord is the number of strikes that an entry knows of one request.
type strikeRecord struct {
	count   uint32
	expires timekeeper.Instant
}

// strikeCache holds the strikes that an entry sends with its offers.
type strikeCache struct {
	mu            sync.Mutex
	byFingerprint map[uint64]strikeRecord
}

// recordStrikes records the strikes that a digest carries.
func (strikeCache *strikeCache) recordStrikes(digest *encoder.Digest, now timekeeper.Instant) {
	if len(digest.GetStrikes()) == 0 {
		return
	}
	strikeCache.mu.Lock()
	defer strikeCache.mu.Unlock()
	for _, strike := range digest.GetStrikes() {
		record := strikeCache.byFingerprint[strike.GetFingerprint()]
		record.count = max(record.count, strike.GetCount())
		strikeCache.put(strike.GetFingerprint(), record, now)
	}
}

// recordCrash records that an engine or a whole instance was lost while it ran a
// request.
func (strikeCache *strikeCache) recordCrash(fingerprint uint64, now timekeeper.Instant) {
	strikeCache.mu.Lock()
	defer strikeCache.mu.Unlock()
	record := strikeCache.byFingerprint[fingerprint]
	record.count = max(record.count, 1)
	strikeCache.put(fingerprint, record, now)
}

// put stores a record; the caller must hold the lock.
func (strikeCache *strikeCache) put(fingerprint uint64, record strikeRecord, now timekeeper.Instant) {
	if strikeCache.byFingerprint == nil {
		strikeCache.byFingerprint = map[uint64]strikeRecord{}
	}
	for other, old := range strikeCache.byFingerprint {
		if len(strikeCache.byFingerprint) >= maxStrikeRecords || old.expires.Before(now) {
			delete(strikeCache.byFingerprint, other)
		}
	}
	record.expires = now.Add(strikeTTL)
	strikeCache.byFingerprint[fingerprint] = record
}

// get returns the record of a request, or the zero value if there is none or it has
// expired.
func (strikeCache *strikeCache) get(fingerprint uint64, now timekeeper.Instant) strikeRecord {
	strikeCache.mu.Lock()
	defer strikeCache.mu.Unlock()
	record := strikeCache.byFingerprint[fingerprint]
	if record.expires.Before(now) {
		return strikeRecord{}
	}
	return record
}

// clear removes a request that ran to its end.
func (strikeCache *strikeCache) clear(fingerprint uint64) {
	strikeCache.mu.Lock()
	defer strikeCache.mu.Unlock()
	delete(strikeCache.byFingerprint, fingerprint)
}
