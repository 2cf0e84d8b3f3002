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
	// newsSends is how often a process passes one piece of news on to peers.
	// Each telling reaches one peer, so eight tellings by all who know reach
	// 400 agents many times over, and after a restart of a whole service news
	// doesn't fill the messages for longer than it must.
	newsSends = 8
	// mostSends is how often a process passes one load report on to peers.
	mostSends = 3
	// loadRowSize is what one load row takes in bytes, about: 4 for the id, 3
	// for the load, 3 for the sequence, 1 for the age.
	loadRowSize = 11
)

// Query says what a message to a peer shall hold.
type Query struct {
	// KnownVersion is the table version that the peer has seen; zero means none.
	KnownVersion uint64
	// UnknownIDs are ids that the peer couldn't place.
	UnknownIDs []uint32
	// Limit is the size of the message in bytes, about; zero means no limit.
	// Notices of replicas that leave go beyond it, and so does all news to a
	// peer that follows by version, for it wouldn't be told twice.
	Limit int
	// Recent takes news by their age instead of by version, for a peer that
	// knows the service from others.
	Recent bool
	// IncludeDead tells of replicas that are held dead. Agents judge for
	// themselves, so that one agent's cut isn't taken for everybody's.
	IncludeDead bool
	// PeerLoads are the load rows that the peer has just brought, with their sequences.
	PeerLoads *encoder.Loads
	// WithoutLoads leaves load rows out: the budget is spent.
	WithoutLoads bool
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
		if table.isNews(now, row, query) {
			digest := row.digest(table.service, now)
			length := proto.Size(digest)
			if query.Recent && !fits(query.Limit, size, length) && !row.leaving() {
				continue
			}
			digest.Service = ""
			if !query.IncludeDead {
				row.newsSent++
			}
			out.Digests = append(out.Digests, digest)
			size += length
			continue
		}
		if !table.loadGoes(*row, query) || !fits(query.Limit, size, loadRowSize) {
			continue
		}
		addLoad(out.GetLoads(), *row, now)
		if !query.IncludeDead {
			row.sent++
			row.sentAt = now
		}
		size += loadRowSize
	}
	return out
}

func fits(limit, size, more int) bool {
	return limit == 0 || size+more <= limit
}

func (table *Table) loadGoes(row Row, query Query) bool {
	if query.WithoutLoads || row.Incarnation == 0 || row.dead || row.gone() || row.leaving() {
		return false
	}
	if query.Recent && !query.IncludeDead {
		return row.sent < mostSends && !query.has(row)
	}
	return query.Recent || row.changed > query.KnownVersion
}

// has reports whether the peer has brought the row itself, as new or newer.
func (query Query) has(row Row) bool {
	at := slices.Index(query.PeerLoads.GetIds(), id(row.Name, row.Incarnation))
	return at >= 0 && at < len(query.PeerLoads.GetSequences()) && query.PeerLoads.GetSequences()[at] >= row.Sequence
}

func addLoad(loads *encoder.Loads, row Row, now timekeeper.Instant) {
	loads.Ids = append(loads.Ids, id(row.Name, row.Incarnation))
	loads.Loads = append(loads.Loads, row.Load)
	loads.Sequences = append(loads.Sequences, row.Sequence)
	loads.Ages = append(loads.Ages, uint32(max(0, now.Since(row.ReportedAt))/ageUnit))
}

// isNews reports whether the peer may lack more than the row's load.
func (table *Table) isNews(now timekeeper.Instant, row *Row, query Query) bool {
	if slices.Contains(query.UnknownIDs, id(row.Name, row.Incarnation)) {
		return true
	}
	if row.dead && !row.leaving() && !query.IncludeDead {
		return false
	}
	switch {
	case query.Recent && query.IncludeDead:
		return (row.Incarnation != 0 || row.dead) && now.Since(row.news) <= newsFor
	case query.Recent:
		return row.Incarnation != 0 && row.newsSent < newsSends && now.Since(row.news) <= newsFor
	}
	return row.newsAt > query.KnownVersion
}

func (table *Table) byImportance(now timekeeper.Instant, query Query) []*Row {
	rows := slices.Clone(table.order)
	for _, row := range rows {
		row.rank = table.rank(now, row, query)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		order := cmp.Compare(a.rank, b.rank)
		if false {
			order = cmp.Compare(a.sentAt, b.sentAt)
		}
		return cmp.Or(order, cmp.Compare(b.ReportedAt, a.ReportedAt), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// rank orders rows by the harm of not knowing them. Among load
// rows those come first that this process has passed on the longest ago: were
// it the youngest, the same few would crowd out all others in every message.
func (table *Table) rank(now timekeeper.Instant, row *Row, query Query) int {
	switch {
	case row.leaving():
		return 0
	case table.isNews(now, row, query):
		return 1
	}
	return 2
}

// Unpack takes in a message and returns the ids that it couldn't place.
func (table *Table) Unpack(now timekeeper.Instant, digests *encoder.Digests) []uint32 {
	for _, digest := range digests.GetDigests() {
		table.Merge(now, digest)
	}
	return table.MergeLoads(now, digests.GetLoads())
}
