package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// stableAfter is how long a replica must stay up for its earlier returns to be
	// forgotten.
	stableAfter = 10 * timekeeper.Minute
	// firstRamp is the slow start after a replica's first return: the time until it
	// gets its full share again. Each further return doubles it.
	firstRamp = 10 * timekeeper.Second
	// maxRamp bounds the slow start.
	maxRamp = 5 * timekeeper.Minute
	// minWeight is the share of a replica that has just returned: enough to show
	// whether it is stable, too little to do harm if it isn't.
	minWeight = 0.1
)

// Evaluate updates which replicas count as dead, and removes stale rows.
//
// Thousands of processes each receive a replica's digests through others. A
// partition between data centres silences half of a service at once. Without a
// floor, every process on one side would drop the replicas of the other side and
// overload the rest. So at most half of a service's replicas count as dead at
// once, those silent the longest first. A call to a replica that really is dead
// costs one failed dial and goes on to the next candidate; a service that is
// emptied by mistake fails every call.
func (table *Table) Evaluate(now timekeeper.Instant) {
	table.detectPause(now)
	table.removeStale(now)
	limit := table.silenceLimit(now)
	var silent []*Row
	present := 0
	for _, row := range table.order {
		if row.leaving() {
			continue
		}
		present++
		if table.isDead(now, row, limit) {
			silent = append(silent, row)
		}
	}
	slices.SortFunc(silent, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.ReportedAt, b.ReportedAt), cmp.Compare(a.Name, b.Name))
	})
	allowed := min(len(silent), present/2)
	for i, row := range silent {
		table.setDead(now, row, i < allowed)
	}
	for _, row := range table.order {
		if !row.leaving() && !table.isDead(now, row, limit) {
			table.setDead(now, row, false)
		}
	}
}

// detectPause detects that this process itself was paused. Without it, a process
// that resumes after half a minute would count as dead every replica whose next
// digest hasn't arrived yet.
func (table *Table) detectPause(now timekeeper.Instant) {
	if table.evaluatedAt != 0 && now.Since(table.evaluatedAt) > table.rules.SilenceTimeout/2 {
		table.resumedAt = now
	}
	table.evaluatedAt = now
}

// setDead sets whether a row counts as dead; a change is an update for peers.
func (table *Table) setDead(now timekeeper.Instant, row *Row, dead bool) {
	if row.dead == dead {
		return
	}
	row.dead = dead
	table.version++
	row.changedVersion, row.updatedVersion, row.updatedAt = table.version, table.version, now
	table.lastUpdateVersion = table.version
}

// isDead reports whether a row counts as dead: an agent reported it dead, or it has
// been silent for longer than limit, or half of limit after confirmingFailures failed
// dials. An Indirect table ignores silence; there, confirmingFailures failed dials make
// a row dead for RetryAfter.
func (table *Table) isDead(now timekeeper.Instant, row *Row, limit timekeeper.Span) bool {
	if table.rules.Indirect {
		return row.reportedDead() || row.failures >= confirmingFailures && now.Since(row.failedAt) <= table.rules.RetryAfter
	}
	if row.failures >= confirmingFailures {
		limit /= 2
	}
	return row.reportedDead() || now.Since(max(row.ReportedAt, table.resumedAt)) > limit
}

// silenceLimit returns how long a replica may be silent now: a multiple of the
// first quartile of the ages in the service. On a slow network all ages grow
// together, and slow replicas don't count as dead.
//
// The median would fail when a data centre with half of a service's replicas is
// lost: the lost replicas would raise the median themselves, none would ever count
// as dead, and calls would try them first for hours. The first quartile holds until
// three of four replicas are lost, and at most half count as dead anyway.
func (table *Table) silenceLimit(now timekeeper.Instant) timekeeper.Span {
	var ages []timekeeper.Span
	for _, row := range table.order {
		if row.Incarnation != 0 && !row.leaving() && !row.dead {
			ages = append(ages, now.Since(row.ReportedAt))
		}
	}
	if len(ages) == 0 {
		return table.rules.SilenceTimeout
	}
	slices.Sort(ages)
	return max(table.rules.SilenceTimeout, silenceFactor*ages[quarterIndex(len(ages))])
}

// quarterIndex returns the index of the first quartile among count sorted ages.
// The first age is that of the agent's own digest, which doesn't reflect the
// network, so it counts only where there is no third replica.
func quarterIndex(count int) int {
	const quarters = 4
	if count <= 2 {
		return 0
	}
	return max(1, (count-1)/quarters)
}

// removeStale removes unlisted rows that have been silent for ForgetAfter. The
// table of an Indirect process removes only dead or leaving ones.
func (table *Table) removeStale(now timekeeper.Instant) {
	for name, row := range table.rows {
		quiet := now.Since(max(row.ReportedAt, row.updatedAt)) > table.rules.ForgetAfter
		if quiet && !row.Listed && (!table.rules.Indirect || row.dead || row.leaving()) {
			delete(table.rows, name)
			table.order = slices.DeleteFunc(table.order, func(row *Row) bool { return row.Name == name })
			maps.DeleteFunc(table.ids, func(_ uint32, of string) bool { return of == name })
		}
	}
}

// Live returns the rows that may get new work.
func (table *Table) Live() []Row {
	live := make([]Row, 0, len(table.order))
	for _, row := range table.order {
		if !row.dead && !row.leaving() && row.DialAddress() != "" {
			live = append(live, *row)
		}
	}
	return live
}

// Weight returns the share of its usual traffic that a replica gets, up to 1. A
// flapping replica has a longer slow start after each return: otherwise each flap
// would attract a full share of calls and fail them.
func (row Row) Weight(now timekeeper.Instant) float64 {
	if row.returns == 0 {
		return 1
	}
	ramp := min(maxRamp, firstRamp<<min(row.returns-1, 10))
	share := float64(now.Since(row.returnedAt)) / float64(ramp)
	return min(1, max(minWeight, share))
}

// Mean returns the load of the whole service and the 90th percentile of the age
// of its rows. The oldest tenth is left out: of 183 replicas one is always late,
// and a tenth changes the mean little. Replicas known only from the list don't
// count.
func (table *Table) Mean(now timekeeper.Instant) admitter.Mean {
	var mean admitter.Mean
	var ages []timekeeper.Span
	for _, row := range table.order {
		if row.dead || row.leaving() || row.Incarnation == 0 {
			continue
		}
		mean.Total += row.Load
		mean.Replicas++
		ages = append(ages, now.Since(row.ReportedAt))
	}
	if len(ages) > 0 {
		slices.Sort(ages)
		mean.Age = ages[(len(ages)-1)*9/10]
	}
	return mean
}

// StateName returns the name of a state that an agent reports.
func StateName(state encoder.ReplicaState) string {
	return StateOf(Row{Incarnation: 1, State: state, dead: Row{State: state}.reportedDead()})
}

// StateOf returns the name of the state of a row in the table.
func StateOf(row Row) string {
	switch {
	case row.leaving():
		return "leaving"
	case row.dead:
		return "dead"
	case row.Incarnation == 0:
		return "listed"
	case row.State == encoder.ReplicaState_REPLICA_STATE_STARTING:
		return "starting"
	}
	return "live"
}
