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
	// calm is how long a replica must stay up for its earlier returns to be forgotten.
	calm = 10 * timekeeper.Minute
	// firstRamp is how long a replica takes to earn its whole share back after
	// one return; each further return doubles it.
	firstRamp = 10 * timekeeper.Second
	// longestRamp bounds the time to earn back.
	longestRamp = 5 * timekeeper.Minute
	// leastWeight is the share that a replica has when it has just come back:
	// enough to learn whether it holds, too little to hurt when it doesn't.
	leastWeight = 0.1
)

// Evaluate decides anew who is held dead, and forgets who is long gone.
//
// The load: thousands of processes that each hear of a replica at second hand.
// The harm it prevents: a cut between data centres silences half of a service
// at once, and without a floor everyone on the one side would drop the other
// side's replicas and crush what is left. So at most half of a service's
// replicas are held dead at once, the longest silent first. A call to a
// replica that is in truth dead costs one failed dial and goes on to the next
// candidate; a service that is emptied by mistake costs every call.
func (table *Table) Evaluate(now timekeeper.Instant) {
	table.wake(now)
	table.forget(now)
	limit := table.silence(now)
	var silent []*Row
	present := 0
	for _, row := range table.order {
		if row.leaving() {
			continue
		}
		present++
		if table.deadBy(now, row, limit) {
			silent = append(silent, row)
		}
	}
	slices.SortFunc(silent, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.ReportedAt, b.ReportedAt), cmp.Compare(a.Name, b.Name))
	})
	allowed := min(len(silent), present/2)
	for i, row := range silent {
		table.hold(now, row, i < allowed)
	}
	for _, row := range table.order {
		if !row.leaving() && !table.deadBy(now, row, limit) {
			table.hold(now, row, false)
		}
	}
}

// wake notices a pause of this process itself. Without it, a process that was
// stopped for half a minute would hold dead, when it wakes, everyone whom it
// hasn't heard yet: it was the one who was away.
func (table *Table) wake(now timekeeper.Instant) {
	if table.judged != 0 && now.Since(table.judged) > table.rules.SilenceTimeout/2 {
		table.woke = now
	}
	table.judged = now
}

// hold sets whether a row is held dead; a change is news.
func (table *Table) hold(now timekeeper.Instant, row *Row, dead bool) {
	if row.dead == dead {
		return
	}
	row.dead = dead
	table.version++
	row.changed, row.newsAt, row.news = table.version, table.version, now
	table.newsVersion = table.version
}

// deadBy reports whether a replica has been silent for too long.
func (table *Table) deadBy(now timekeeper.Instant, row *Row, limit timekeeper.Span) bool {
	if table.rules.Indirect {
		return row.gone() || row.fails >= failsToDie && now.Since(row.failed) <= table.rules.RetryAfter
	}
	if row.fails >= failsToDie {
		limit /= 2
	}
	return row.gone() || now.Since(max(row.ReportedAt, table.woke)) > limit
}

// silence returns how long a replica may be silent now: by the age that the
// freshest quarter of the service keeps within. When a network is slow, all
// ages grow together, and slow is not dead.
//
// The failure: a data centre with half of a service's replicas is lost. By the
// median age the lost would set the measure for themselves and nobody would
// ever be held dead; the symptom is calls that try them first for hours. What
// the quarter says holds until three of four are gone, and no more than half
// are held dead anyway.
func (table *Table) silence(now timekeeper.Instant) timekeeper.Span {
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
	return max(table.rules.SilenceTimeout, quartersOfSilence*ages[freshQuarter(len(ages))])
}

// freshQuarter returns the index of the age that the freshest quarter keeps
// within. The first age is that of the agent's own word, which says nothing of
// the network, so it counts only where there is no third replica.
func freshQuarter(count int) int {
	const quarters = 4
	if count <= 2 {
		return 0
	}
	return max(1, (count-1)/quarters)
}

// forget drops rows that have been silent for long and that no list names. A
// table of an Indirect process drops only those that were called dead or leaving.
func (table *Table) forget(now timekeeper.Instant) {
	for name, row := range table.rows {
		quiet := now.Since(max(row.ReportedAt, row.news)) > table.rules.ForgetAfter
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

// Weight returns the share of its usual traffic that a replica gets, up to 1.
// A replica that keeps coming back earns it more slowly each time: otherwise
// each flap would draw a full share of calls and lose them.
func (row Row) Weight(now timekeeper.Instant) float64 {
	if row.returns == 0 {
		return 1
	}
	ramp := min(longestRamp, firstRamp<<min(row.returns-1, 10))
	share := float64(now.Since(row.returned)) / float64(ramp)
	return min(1, max(leastWeight, share))
}

// Mean returns the load of the whole service and how old that knowledge is at
// most but for its oldest tenth: of 183 replicas one is always late, and what
// a tenth did meanwhile moves the mean little. Replicas known only by the list
// count for nothing.
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

// StateName names what an agent says that it is.
func StateName(state encoder.ReplicaState) string {
	return StateOf(Row{Incarnation: 1, State: state, dead: Row{State: state}.gone()})
}

// StateOf names what the table holds a row to be.
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
