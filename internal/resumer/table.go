package resumer

import (
	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// maxRecords limits the records of an entry, at some 150 bytes each. Entries of the largest site
// begin 20 streams a second and keep those of three others, for 15 seconds.
const maxRecords = 1 << 15

// table holds records until they expire. If it is full, the oldest is dropped.
type table struct {
	limit   int
	records map[Key]tableRecord
	// order holds the keys in the order in which they were added, from first on; older ones have
	// been dropped.
	order []Key
	first int
}

type tableRecord struct {
	origin  balancer.Origin
	expires timekeeper.Instant
}

func newTable(limit int) *table { return &table{limit: limit, records: map[Key]tableRecord{}} }

// put adds a record, or extends it. If two streams have the same key, the origin of neither is
// known any more.
func (table *table) put(record Record, now timekeeper.Instant) {
	expires := now.Add(min(max(record.Lifetime, 0), MaxLifetime))
	table.dropOutdated(now)
	if earlier, found := table.records[record.Key]; found {
		switch {
		case now >= earlier.expires:
			earlier.origin = record.Origin
		case earlier.origin != record.Origin:
			earlier.origin = balancer.Origin{}
		}
		earlier.expires = max(earlier.expires, expires)
		table.records[record.Key] = earlier
		return
	}
	if len(table.records) >= table.limit {
		table.dropFirst()
	}
	table.records[record.Key] = tableRecord{origin: record.Origin, expires: expires}
	table.order = append(table.order, record.Key)
}

// find returns the origin of a stream, if it is recorded.
func (table *table) find(key Key, now timekeeper.Instant) (balancer.Origin, bool) {
	record, found := table.records[key]
	if !found || now >= record.expires {
		return balancer.Origin{}, false
	}
	return record.origin, true
}

// dropOutdated drops the oldest records that have expired.
func (table *table) dropOutdated(now timekeeper.Instant) {
	for table.first < len(table.order) && now >= table.records[table.order[table.first]].expires {
		table.dropFirst()
	}
}

func (table *table) dropFirst() {
	delete(table.records, table.order[table.first])
	table.first++
	if table.first*2 > len(table.order) {
		table.order = append(table.order[:0], table.order[table.first:]...)
		table.first = 0
	}
}
