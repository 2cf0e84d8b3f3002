package reporter

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Rules are the limits by which a table judges replicas.
type Rules struct {
	// SilenceTimeout is how long a replica may be silent before it is held dead; zero
	// means 8 seconds: four times the 99th percentile of the age of a digest
	// among 50 agents, so that chance alone holds nobody dead.
	SilenceTimeout timekeeper.Span
	// ForgetAfter is how long a silent replica that no list names is remembered;
	// zero means 10 minutes. Within it, an older incarnation isn't believed.
	ForgetAfter timekeeper.Span
	// RetryAfter is after what time an entry tries a replica again that it could not
	// reach, though agents call it live; zero means 10 seconds.
	RetryAfter timekeeper.Span
	// Indirect says that others judge silence (an entry, which hears of most
	// replicas rarely); only verdicts of agents and failed dials count then.
	Indirect bool
}

const (
	defaultSilence = 8 * timekeeper.Second
	defaultForget  = 10 * timekeeper.Minute
	// quartersOfSilence is how many times the age of the service's freshest
	// quarter a replica must be silent for: with 183 replicas past the 99th
	// percentile of their ages, so that chance alone holds hardly anybody dead.
	quartersOfSilence = 7
	// failsToDie is how many failed dials in a row halve the silence asked for.
	failsToDie  = 2
	defaultCool = 10 * timekeeper.Second
	// newsFor is how long a change of state is told in full in each exchange:
	// longer than a change needs to reach 400 agents.
	newsFor = 12 * timekeeper.Second
)

func (rules Rules) withDefaults() Rules {
	if rules.SilenceTimeout == 0 {
		rules.SilenceTimeout = defaultSilence
	}
	if rules.ForgetAfter == 0 {
		rules.ForgetAfter = defaultForget
	}
	if rules.RetryAfter == 0 {
		rules.RetryAfter = defaultCool
	}
	return rules
}

// Table is what is believed about the replicas of one service. It has no I/O
// and no clock of its own; it is not safe for use by several goroutines.
type Table struct {
	service string
	rules   Rules
	rows    map[string]*Row
	// order holds the same rows by name.
	order   []*Row
	ids     map[uint32]string
	version uint64
	// newsVersion is the version of the last change that was more than a load.
	newsVersion uint64
	// judged is when the rows were judged last, and woke is when this process
	// came back from a pause in which it could hear nobody.
	judged timekeeper.Instant
	woke   timekeeper.Instant
}

// NewTable returns a table that knows of no replica.
func NewTable(service string, rules Rules) *Table {
	return &Table{
		service: service,
		rules:   rules.withDefaults(),
		rows:    map[string]*Row{},
		ids:     map[uint32]string{},
	}
}

// Merge takes in what was said about a replica and reports whether it was news
// to the table: a new replica, incarnation, state or strike.
//
// Order is by incarnation, then by sequence. The failure: a paused process
// wakes after its replacement has taken its name, and speaks of itself. The
// symptom would be calls to a process that the platform has written off. A
// later start always has a higher incarnation, so the old voice changes nothing.
func (table *Table) Merge(now timekeeper.Instant, digest *encoder.Digest) bool {
	said := now.Add(-timekeeper.Span(max(0, digest.GetAge())))
	row, ok := table.rows[digest.GetInstance()]
	if !ok {
		table.put(now, Row{Name: digest.GetInstance()}.WithDigest(digest, said), true)
		return true
	}
	known := *row
	if !table.newer(now, known, digest) {
		return false
	}
	merged := known.WithDigest(digest, said)
	if merged.Incarnation == known.Incarnation {
		merged.Sequence = max(merged.Sequence, known.Sequence)
		merged.ReportedAt = max(merged.ReportedAt, known.ReportedAt)
	}
	if known.Incarnation == digest.GetIncarnation() && known.State == encoder.ReplicaState_REPLICA_STATE_DRAINING {
		// An incarnation that drains never serves again.
		merged.State = known.State
	}
	if !table.rules.Indirect || merged.Incarnation != known.Incarnation {
		// For an agent, hearsay of a peer proves it alive. An entry must reach it
		// itself: others may speak to a replica that is cut off from the entry.
		merged.fails = 0
	}
	merged = table.comeBack(now, known, merged)
	news := merged.Incarnation != known.Incarnation || merged.State != known.State ||
		len(merged.Strikes) != len(known.Strikes) || known.dead || !slices.Equal(merged.Adapters, known.Adapters)
	merged.dead = known.dead && merged.gone()
	table.put(now, merged, news)
	return news
}

// newer reports whether a digest says more than the row.
func (table *Table) newer(now timekeeper.Instant, known Row, digest *encoder.Digest) bool {
	if digest.GetIncarnation() != known.Incarnation {
		return digest.GetIncarnation() > known.Incarnation
	}
	if digest.GetState() == encoder.ReplicaState_REPLICA_STATE_GONE && known.State != digest.GetState() {
		// A verdict repeats the last sequence that its agent heard. This process
		// may have heard a later one itself; the verdict holds all the same once
		// the replica has been silent here too.
		return digest.GetSequence() >= known.Sequence || now.Since(known.ReportedAt) > table.rules.SilenceTimeout/2
	}
	return digest.GetSequence() > known.Sequence
}

// comeBack counts a return from the dead or a new life of a known name.
func (table *Table) comeBack(now timekeeper.Instant, known, merged Row) Row {
	if merged.gone() {
		return merged
	}
	newLife := known.Incarnation != 0 && merged.Incarnation != known.Incarnation
	if newLife || (known.dead && known.Incarnation != 0) {
		if now.Since(known.returned) > calm {
			merged.returns = 0
		}
		merged.returns++
		merged.returned = now
	}
	if newLife {
		merged.Leaving = false
	}
	return merged
}

func (table *Table) put(now timekeeper.Instant, row Row, news bool) {
	table.version++
	row.changed = table.version
	if news {
		row.newsAt = table.version
		row.news = now
		row.newsSent = 0
		table.newsVersion = table.version
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

// MergeLoads takes in load rows and returns the ids that it couldn't place.
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
		if row.gone() {
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

// MergeList takes in the platform's list: names and addresses to start from. A
// replica that the list omits stays as its digests say.
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
			row.newsAt, row.changed, row.news = table.version, table.version, now
			table.newsVersion = table.version
		}
		row.Listed = true
		row.Leaving = instance.Leaving
		row.Site = instance.Site
		row.listAddress = instance.Address
	}
}

// RecordFailure notes that a dial to a replica, or a question to its agent, failed.
func (table *Table) RecordFailure(now timekeeper.Instant, name string) {
	if row := table.rows[name]; row != nil {
		if table.rules.Indirect && now.Since(row.failed) > table.rules.RetryAfter {
			// An entry seldom speaks to most replicas. Two failures an hour apart
			// are two accidents, and no replica that can't be reached.
			row.fails = 0
		}
		row.fails++
		row.failed = now
	}
}

// RecordAnswer notes that the replica's agent has answered this process itself.
func (table *Table) RecordAnswer(name string) {
	if row := table.rows[name]; row != nil {
		row.fails = 0
	}
}

// Rows returns all rows in the order of their names.
func (table *Table) Rows() []Row {
	rows := make([]Row, 0, len(table.order))
	for _, row := range table.order {
		rows = append(rows, *row)
	}
	return rows
}

// Changes returns the rows whose state changed since it was last called.
func (table *Table) Changes() []Row {
	var changes []Row
	for _, row := range table.order {
		if state := StateOf(*row); state != row.announced {
			row.announced = state
			changes = append(changes, *row)
		}
	}
	return changes
}

// Version returns a number that grows with each change.
func (table *Table) Version() uint64 {
	return table.version
}
