package reporter

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Rules are the limits by which a table evaluates replicas.
type Rules struct {
	// SilenceTimeout is the minimum silence after which a replica counts as dead; zero
	// means 8 seconds: four times the 99th percentile of the age of a digest among 50
	// agents, so that random delays alone make no replica count as dead.
	SilenceTimeout timekeeper.Span
	// ForgetAfter is how long the row of a silent, unlisted replica is kept; zero
	// means 10 minutes. Until then, digests of an older incarnation are ignored.
	ForgetAfter timekeeper.Span
	// RetryAfter is the time after which an entry retries a replica that it could not
	// reach and that agents report as live; zero means 10 seconds.
	RetryAfter timekeeper.Span
	// Indirect is set for an entry, which receives digests of most replicas rarely and
	// so doesn't evaluate silence: only agents' reports and failed dials count.
	Indirect bool
}

const (
	defaultSilenceTimeout = 8 * timekeeper.Second
	defaultForgetAfter    = 10 * timekeeper.Minute
	// silenceFactor is the multiple of the first quartile of the service's ages for
	// which a replica must be silent. With 183 replicas it lies above the 99th
	// percentile of their ages, so that random delays make hardly any count as dead.
	silenceFactor = 7
	// confirmingFailures is the number of failed dials in a row that halves the
	// required silence, or makes a replica count as dead at an entry.
	confirmingFailures = 2
	defaultRetryAfter  = 10 * timekeeper.Second
	// updateLifetime is how long after a change of more than a load a message with
	// updates by age may contain the whole digest: longer than a change needs to
	// reach 400 agents.
	updateLifetime = 12 * timekeeper.Second
)

func (rules Rules) withDefaults() Rules {
	if rules.SilenceTimeout == 0 {
		rules.SilenceTimeout = defaultSilenceTimeout
	}
	if rules.ForgetAfter == 0 {
		rules.ForgetAfter = defaultForgetAfter
	}
	if rules.RetryAfter == 0 {
		rules.RetryAfter = defaultRetryAfter
	}
	return rules
}

// Table holds the known state of the replicas of one service. It does no I/O and
// has no clock of its own; it is not safe for concurrent use.
type Table struct {
	service string
	rules   Rules
	rows    map[string]*Row
	// order holds the same rows sorted by name.
	order   []*Row
	ids     map[uint32]string
	version uint64
	// lastUpdateVersion is the version of the last change other than of a load.
	lastUpdateVersion uint64
	// evaluatedAt is when the rows were last evaluated. resumedAt is when this process
	// resumed after a pause in which it could receive nothing.
	evaluatedAt timekeeper.Instant
	resumedAt   timekeeper.Instant
}

// NewTable returns an empty table.
func NewTable(service string, rules Rules) *Table {
	return &Table{
		service: service,
		rules:   rules.withDefaults(),
		rows:    map[string]*Row{},
		ids:     map[uint32]string{},
	}
}

// Merge merges a digest of a replica and reports whether it changed more than the
// load: a new replica, incarnation, state, strike or set of adapters, or a newer
// digest of a replica that counted as dead.
//
// Digests are ordered by incarnation, then by sequence. A paused process may
// resume after its replacement has taken its name, and send digests of itself;
// calls would then go to a process that the platform has replaced. A later start
// always has a higher incarnation, so digests of the old process have no effect.
func (table *Table) Merge(now timekeeper.Instant, digest *encoder.Digest) bool {
	reportedAt := now.Add(-timekeeper.Span(max(0, digest.GetAge())))
	row, ok := table.rows[digest.GetInstance()]
	if !ok {
		table.put(now, Row{Name: digest.GetInstance()}.WithDigest(digest, reportedAt), true)
		return true
	}
	known := *row
	if !table.supersedes(now, known, digest) {
		return false
	}
	merged := known.WithDigest(digest, reportedAt)
	if merged.Incarnation == known.Incarnation {
		merged.Sequence = max(merged.Sequence, known.Sequence)
		merged.ReportedAt = max(merged.ReportedAt, known.ReportedAt)
	}
	if known.Incarnation == digest.GetIncarnation() && known.State == encoder.ReplicaState_REPLICA_STATE_DRAINING {
		// A draining incarnation never serves again.
		merged.State = known.State
	}
	if !table.rules.Indirect || merged.Incarnation != known.Incarnation {
		// For an agent, a digest relayed by a peer proves that the replica is up. An
		// entry must reach the replica itself: agents may reach a replica that the
		// entry can't.
		merged.failures = 0
	}
	merged = table.countReturn(now, known, merged)
	updated := merged.Incarnation != known.Incarnation || merged.State != known.State ||
		len(merged.Strikes) != len(known.Strikes) || known.dead || !slices.Equal(merged.Adapters, known.Adapters)
	merged.dead = known.dead && merged.reportedDead()
	table.put(now, merged, updated)
	return updated
}

// supersedes reports whether a digest replaces the row's state.
func (table *Table) supersedes(now timekeeper.Instant, known Row, digest *encoder.Digest) bool {
	if digest.GetIncarnation() != known.Incarnation {
		return digest.GetIncarnation() > known.Incarnation
	}
	if digest.GetState() == encoder.ReplicaState_REPLICA_STATE_GONE && known.State != digest.GetState() {
		// A digest that reports a replica dead has the last sequence that the
		// reporting agent received. This process may have received a later one; it
		// accepts the report all the same once the replica has been silent here too.
		return digest.GetSequence() >= known.Sequence || now.Since(known.ReportedAt) > table.rules.SilenceTimeout/2
	}
	return digest.GetSequence() > known.Sequence
}

// countReturn counts the return of a dead replica or a new incarnation of a known one.
func (table *Table) countReturn(now timekeeper.Instant, known, merged Row) Row {
	if merged.reportedDead() {
		return merged
	}
	newIncarnation := known.Incarnation != 0 && merged.Incarnation != known.Incarnation
	if newIncarnation || (known.dead && known.Incarnation != 0) {
		if now.Since(known.returnedAt) > stableAfter {
			merged.returns = 0
		}
		merged.returns++
		merged.returnedAt = now
	}
	if newIncarnation {
		merged.Leaving = false
	}
	return merged
}

// put stores a row; updated says that more than its load changed, so that peers get
// the whole digest.
func (table *Table) put(now timekeeper.Instant, row Row, updated bool) {
	table.version++
	row.changedVersion = table.version
	if updated {
		row.updatedVersion = table.version
		row.updatedAt = now
		row.updateSends = 0
		table.lastUpdateVersion = table.version
		table.ids[id(row.Name, row.Incarnation)] = row.Name
	}
	if known := table.rows[row.Name]; known != nil {
		*known = row
		return
	}
	kept := &row
	table.rows[row.Name] = kept
	at, _ := slices.BinarySearchFunc(table.order, row.Name, func(row *Row, name string) int { return cmp.Compare(row.Name, name) })
	table.order = slices.Insert(table.order, at, kept)
}

// MergeLoads merges load rows and returns the ids that belong to no known replica.
func (table *Table) MergeLoads(now timekeeper.Instant, loads *encoder.Loads) []uint32 {
	var unknown []uint32
	count := min(len(loads.GetIds()), len(loads.GetLoads()), len(loads.GetSequences()), len(loads.GetAges()))
	for i, key := range loads.GetIds()[:count] {
		row := table.rows[table.ids[key]]
		if row == nil || id(row.Name, row.Incarnation) != key {
			if row == nil {
				unknown = append(unknown, key)
			}
			continue
		}
		digest := row.digest(table.service, now)
		digest.State = row.State
		if row.reportedDead() {
			digest.State = encoder.ReplicaState_REPLICA_STATE_LIVE
		}
		digest.Load = loads.GetLoads()[i]
		digest.Sequence = loads.GetSequences()[i]
		digest.Age = int64(loads.GetAges()[i]) * int64(ageUnit)
		digest.Address = ""
		table.Merge(now, digest)
	}
	return unknown
}

// MergeList merges the platform's list: new replicas, sites, addresses and marks of
// leaving. A replica that the list omits keeps the state of its digests.
func (table *Table) MergeList(now timekeeper.Instant, instances []storekeeper.Instance) {
	for _, row := range table.rows {
		row.Listed = false
	}
	for _, instance := range instances {
		row, ok := table.rows[instance.Name]
		if !ok {
			table.put(now, Row{
				Name: instance.Name, ReportedAt: now, State: encoder.ReplicaState_REPLICA_STATE_LIVE,
			}, true)
			row = table.rows[instance.Name]
		}
		if row.Leaving != instance.Leaving {
			table.version++
			row.updatedVersion, row.changedVersion, row.updatedAt = table.version, table.version, now
			table.lastUpdateVersion = table.version
		}
		row.Listed = true
		row.Leaving = instance.Leaving
		row.Site = instance.Site
		row.listAddress = instance.Address
	}
}

// RecordFailure records that a dial to a replica, or a query to its agent, failed.
func (table *Table) RecordFailure(now timekeeper.Instant, name string) {
	if row := table.rows[name]; row != nil {
		if table.rules.Indirect && now.Since(row.failedAt) > table.rules.RetryAfter {
			// An entry rarely contacts most replicas. Two failures an hour apart are
			// two unrelated faults and don't show that the replica is unreachable.
			row.failures = 0
		}
		row.failures++
		row.failedAt = now
	}
}

// RecordAnswer records that the replica's agent answered this process directly.
func (table *Table) RecordAnswer(name string) {
	if row := table.rows[name]; row != nil {
		row.failures = 0
	}
}

// Rows returns all rows sorted by name.
func (table *Table) Rows() []Row {
	rows := make([]Row, 0, len(table.order))
	for _, row := range table.order {
		rows = append(rows, *row)
	}
	return rows
}

// Changes returns the rows whose state has changed since the previous call.
func (table *Table) Changes() []Row {
	var changes []Row
	for _, row := range table.order {
		if state := StateOf(*row); state != row.lastChangesState {
			row.lastChangesState = state
			changes = append(changes, *row)
		}
	}
	return changes
}

// Version returns a number that increases with each change.
func (table *Table) Version() uint64 {
	return table.version
}
