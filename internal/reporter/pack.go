package reporter

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// ageUnit is the unit of an age in a load row: a byte holds 25 seconds.
	ageUnit = 100 * timekeeper.Millisecond
	// loadRowSize is what one load row takes in bytes, about: 4 for the id, 3
	// for the load, 3 for the sequence, 1 for the age.
	loadRowSize = 11
)

// Query says what a message to a peer shall hold.
type Query struct {
	// Known is the table version that the peer has seen; zero means none.
	Known uint64
	// Wanted are ids that the peer couldn't place.
	Wanted []uint32
	// Limit is the size of the message in bytes, about; zero means no limit.
	// Notices of replicas that leave go beyond it.
	Limit int
	// Recent takes news by their age instead of by version, for a peer whose
	// table isn't followed by version.
	Recent bool
	// NewsOnly leaves load rows out: the budget is spent.
	NewsOnly bool
}

// Pack returns a message with what a peer should hear, the most important
// first: notices of leaving (always), other news, rows asked for, then load
// rows from the youngest on, until the limit.
//
// The order is by the harm of not knowing: work sent to a leaving replica
// fails a promise; a stale load costs one refusal, which brings the fresh one.
func (table *Table) Pack(now timekeeper.Instant, query Query) *encoder.Digests {
	out := &encoder.Digests{Version: table.version, Loads: &encoder.Loads{}}
	mean := table.Mean(now)
	out.TotalLoad = mean.Total
	out.Replicas = uint32(mean.Replicas)
	rows := table.byImportance(now, query)
	size := 0
	for _, row := range rows {
		if table.isNews(now, *row, query) {
			digest := row.digest(table.service, now)
			length := proto.Size(digest)
			if !fits(query.Limit, size, length) && !row.leaving() {
				continue
			}
			digest.Service = ""
			out.Digests = append(out.Digests, digest)
			size += length
			continue
		}
		if !table.loadGoes(*row, query) || !fits(query.Limit, size, loadRowSize) {
			continue
		}
		addLoad(out.GetLoads(), *row, now)
		size += loadRowSize
	}
	return out
}

func fits(limit, size, more int) bool {
	return limit == 0 || size+more <= limit
}

func (table *Table) loadGoes(row Row, query Query) bool {
	if query.NewsOnly || row.Incarnation == 0 || row.dead || row.leaving() {
		return false
	}
	return query.Recent || row.changed > query.Known
}

func addLoad(loads *encoder.Loads, row Row, now timekeeper.Instant) {
	loads.Ids = append(loads.Ids, id(row.Name, row.Incarnation))
	loads.Loads = append(loads.Loads, row.Load)
	loads.Sequences = append(loads.Sequences, row.Sequence)
	loads.Ages = append(loads.Ages, uint32(max(0, now.Since(row.Said))/ageUnit))
}

// isNews reports whether the peer may lack more than the row's load.
func (table *Table) isNews(now timekeeper.Instant, row Row, query Query) bool {
	if slices.Contains(query.Wanted, id(row.Name, row.Incarnation)) {
		return true
	}
	if query.Recent {
		return row.Incarnation != 0 && (!row.dead || row.leaving()) && now.Since(row.news) <= newsFor
	}
	return row.newsAt > query.Known
}

func (table *Table) byImportance(now timekeeper.Instant, query Query) []*Row {
	rows := make([]*Row, 0, len(table.rows))
	for _, row := range table.rows {
		rows = append(rows, row)
	}
	rank := func(row *Row) int {
		switch {
		case row.leaving():
			return 0
		case table.isNews(now, *row, query):
			return 1
		}
		return 2
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Said, a.Said), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// Unpack takes in a message and returns the ids that it couldn't place.
func (table *Table) Unpack(now timekeeper.Instant, digests *encoder.Digests) []uint32 {
	for _, digest := range digests.GetDigests() {
		table.Merge(now, digest)
	}
	return table.MergeLoads(now, digests.GetLoads())
}
