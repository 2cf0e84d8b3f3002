package reporter

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// ageUnit is the unit of an age in a load row: a byte holds up to 25 seconds.
	ageUnit = 100 * timekeeper.Millisecond
	// maxUpdateSends is how often a process forwards one update to peers. Each send
	// reaches one peer, so eight sends by each informed agent reach 400 agents many
	// times over, and after a restart of a whole service updates fill the messages
	// no longer than necessary.
	maxUpdateSends = 8
	// maxLoadSends is how often a process forwards one load row to peers.
	maxLoadSends = 3
	// loadRowSize is the approximate size of a load row in bytes: 4 for the id, 3
	// for the load, 3 for the sequence, 1 for the age.
	loadRowSize = 11
)

// Query selects what a message to a peer contains.
type Query struct {
	// KnownVersion is the table version that the peer has seen; zero means none.
	KnownVersion uint64
	// UnknownIDs are ids of load rows for which the peer has no replica.
	UnknownIDs []uint32
	// Limit is the approximate size of the message in bytes; zero means no limit.
	// Notices of leaving replicas may exceed it. So may all updates to a peer that
	// follows by version, since they aren't sent to it again.
	Limit int
	// Recent selects updates by age instead of by version, for a peer that also
	// receives the service's updates from other processes.
	Recent bool
	// IncludeDead is set for an entry. It adds replicas that count as dead in this
	// table; maxUpdateSends and maxLoadSends don't apply, and the sends don't count
	// towards them. It isn't set between agents: each evaluates silence itself, so that
	// what one partitioned agent counts as dead isn't dead at all others.
	IncludeDead bool
	// PeerLoads are the load rows that the peer has just sent.
	PeerLoads *encoder.Loads
	// WithoutLoads omits load rows, because the budget is short or spent.
	WithoutLoads bool
}

// Pack returns a message for a peer, the most important rows first: notices of
// leaving (always), then other updates and requested rows, then load rows from
// the youngest on, up to the limit.
//
// Rows are ordered by the harm of a peer lacking them: work sent to a leaving
// replica breaks a promise; a stale load costs one refusal, which carries the
// current load.
func (table *Table) Pack(now timekeeper.Instant, query Query) *encoder.Digests {
	out := &encoder.Digests{Version: table.version, Loads: &encoder.Loads{}}
	mean := table.Mean(now)
	out.TotalLoad = mean.Total
	out.Replicas = uint32(mean.Replicas)
	rows := table.byImportance(now, query)
	size := 0
	for _, row := range rows {
		if table.updateDue(now, row, query) {
			digest := row.digest(table.service, now)
			length := proto.Size(digest)
			if query.Recent && !fits(query.Limit, size, length) && !row.leaving() {
				continue
			}
			digest.Service = ""
			if !query.IncludeDead {
				row.updateSends++
			}
			out.Digests = append(out.Digests, digest)
			size += length
			continue
		}
		if !table.loadDue(*row, query) || !fits(query.Limit, size, loadRowSize) {
			continue
		}
		addLoad(out.GetLoads(), *row, now)
		if !query.IncludeDead {
			row.loadSends++
			row.loadSentAt = now
		}
		size += loadRowSize
	}
	return out
}

func fits(limit, size, more int) bool {
	return limit == 0 || size+more <= limit
}

func (table *Table) loadDue(row Row, query Query) bool {
	if query.WithoutLoads || row.Incarnation == 0 || row.dead || row.reportedDead() || row.leaving() {
		return false
	}
	if query.Recent && !query.IncludeDead {
		return row.loadSends < maxLoadSends && !query.has(row)
	}
	return query.Recent || row.changedVersion > query.KnownVersion
}

// has reports whether the peer itself sent the row with the same or a later sequence.
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

// updateDue reports whether the peer may lack more of the row than its load, so that
// the message must contain the whole digest.
func (table *Table) updateDue(now timekeeper.Instant, row *Row, query Query) bool {
	if slices.Contains(query.UnknownIDs, id(row.Name, row.Incarnation)) {
		return true
	}
	if row.dead && !row.leaving() && !query.IncludeDead {
		return false
	}
	switch {
	case query.Recent && query.IncludeDead:
		return (row.Incarnation != 0 || row.dead) && now.Since(row.updatedAt) <= updateLifetime
	case query.Recent:
		return row.Incarnation != 0 && row.updateSends < maxUpdateSends && now.Since(row.updatedAt) <= updateLifetime
	}
	return row.updatedVersion > query.KnownVersion
}

func (table *Table) byImportance(now timekeeper.Instant, query Query) []*Row {
	rows := slices.Clone(table.order)
	for _, row := range rows {
		row.rank = table.rank(now, row, query)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		order := cmp.Compare(a.rank, b.rank)
		if false {
			// Among load rows, those that this process sent the longest ago would come
			// first, so that the same few youngest don't displace all others in every
			// message. This order is disabled: the youngest come first.
			order = cmp.Compare(a.loadSentAt, b.loadSentAt)
		}
		return cmp.Or(order, cmp.Compare(b.ReportedAt, a.ReportedAt), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// rank orders rows by the harm of a peer lacking them.
func (table *Table) rank(now timekeeper.Instant, row *Row, query Query) int {
	switch {
	case row.leaving():
		return 0
	case table.updateDue(now, row, query):
		return 1
	}
	return 2
}

// Unpack merges a message and returns the ids of load rows without a known replica.
func (table *Table) Unpack(now timekeeper.Instant, digests *encoder.Digests) []uint32 {
	for _, digest := range digests.GetDigests() {
		table.Merge(now, digest)
	}
	return table.MergeLoads(now, digests.GetLoads())
}
