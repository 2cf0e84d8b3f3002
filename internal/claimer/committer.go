package claimer

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Outcome is what became of a claim's row.
type Outcome uint8

// The outcomes.
const (
	// Won says that the row is in the table and names the claim's request.
	Won Outcome = iota + 1
	// Lost says that the row names another request.
	Lost
	// Unknown says that the store did not tell.
	Unknown
)

// Result is the outcome of one claim; Row is the row that was found when Lost.
type Result struct {
	Outcome Outcome
	Row     Row
}

const (
	// mostInGroup bounds one write. It is far above what arrives during one
	// write at the design size, and keeps a write's body under 32 KB.
	mostInGroup = 64
	// rounds bounds how often a group is tried again after a conflict or a
	// lost answer. Two conflicts with fresh claims in a row don't happen by
	// chance; past that the callers are told to come back.
	rounds = 3
)

type waiting struct {
	row    Row
	result chan Result
}

// Committer writes the claims of one agent in groups.
type Committer struct {
	table storekeeper.Table
	now   func() timekeeper.Instant
	queue chan waiting
}

// NewCommitter returns a committer; Run must be running for Claim to return.
func NewCommitter(table storekeeper.Table, now func() timekeeper.Instant) *Committer {
	return &Committer{table: table, now: now, queue: make(chan waiting, mostInGroup)}
}

// Claim inserts a row together with those of others and returns its result.
func (committer *Committer) Claim(ctx context.Context, row Row) Result {
	claim := waiting{row: row, result: make(chan Result, 1)}
	select {
	case committer.queue <- claim:
	case <-ctx.Done():
		return Result{Outcome: Unknown}
	}
	select {
	case result := <-claim.result:
		return result
	case <-ctx.Done():
		return Result{Outcome: Unknown}
	}
}

// Run writes groups until ctx ends.
func (committer *Committer) Run(ctx context.Context) {
	for {
		select {
		case first := <-committer.queue:
			group := committer.collect(first)
			rows := make([]Row, len(group))
			for i, claim := range group {
				rows[i] = claim.row
			}
			for i, result := range committer.Commit(ctx, rows) {
				group[i].result <- result
			}
		case <-ctx.Done():
			return
		}
	}
}

// collect takes what has arrived meanwhile. It doesn't wait for more: a lone
// call pays for one write and no delay, and a burst fills the next group while
// the present one is written.
func (committer *Committer) collect(first waiting) []waiting {
	group := []waiting{first}
	for len(group) < mostInGroup {
		select {
		case claim := <-committer.queue:
			group = append(group, claim)
		default:
			return group
		}
	}
	return group
}

// Commit inserts the rows, all together where possible, and settles each by
// reading back when the store did not tell or something conflicted.
func (committer *Committer) Commit(ctx context.Context, rows []Row) []Result {
	results := make([]Result, len(rows))
	open := make([]int, len(rows))
	expect := make([]uint64, len(rows))
	for i := range rows {
		open[i] = i
	}
	for range rounds {
		err := committer.insert(ctx, rows, open, expect)
		if err == nil {
			for _, i := range open {
				results[i] = Result{Outcome: Won}
			}
			return results
		}
		if eris.Is(err, storekeeper.ErrBusy) {
			break
		}
		open = committer.readBack(ctx, rows, open, expect, results)
		if len(open) == 0 {
			return results
		}
	}
	for _, i := range open {
		results[i] = Result{Outcome: Unknown}
	}
	return results
}

func (committer *Committer) insert(ctx context.Context, rows []Row, open []int, expect []uint64) error {
	writes := make([]storekeeper.Write, 0, len(open))
	for _, i := range open {
		write, err := rows[i].write(expect[i])
		if err != nil {
			return err
		}
		writes = append(writes, write)
	}
	if committer.table.Commit == nil {
		return storekeeper.ErrBusy
	}
	return committer.table.Commit(ctx, writes)
}

// readBack settles the open claims by their rows and returns those that may be
// inserted again. Inserting again is safe: should the first write still take
// effect, the second conflicts, and the row that is read then is our own.
func (committer *Committer) readBack(ctx context.Context, rows []Row, open []int, expect []uint64, results []Result) []int {
	var again []int
	for _, i := range open {
		stored, err := committer.table.Get(ctx, Table, rows[i].Key)
		if eris.Is(err, storekeeper.ErrAbsent) {
			expect[i] = 0
			again = append(again, i)
			continue
		}
		if err != nil {
			results[i] = Result{Outcome: Unknown}
			continue
		}
		found, err := decode(stored)
		switch {
		case err != nil:
			results[i] = Result{Outcome: Unknown}
		case found.Owner == rows[i].Owner:
			results[i] = Result{Outcome: Won}
		case committer.now().Since(found.Expires) > Grace:
			expect[i] = found.Version
			again = append(again, i)
		default:
			results[i] = Result{Outcome: Lost, Row: found}
		}
	}
	return again
}

// Mark notes in the table that calls ran to their end. It is best effort: a
// mark that is lost costs a caller "unknown" in place of "ran" once the owner
// is gone.
func (committer *Committer) Mark(ctx context.Context, rows []Row) error {
	writes := make([]storekeeper.Write, 0, len(rows))
	for _, row := range rows {
		stored, err := committer.table.Get(ctx, Table, row.Key)
		if err != nil {
			return err
		}
		write, err := row.write(stored.Version)
		if err != nil {
			return err
		}
		writes = append(writes, write)
	}
	if len(writes) == 0 {
		return nil
	}
	return committer.table.Commit(ctx, writes)
}

// Sweep deletes expired claims among up to limit rows after the key after, in
// one write, and returns how many. Rows past the grace bind nobody; without
// the sweep the table would grow by a row for each keyed call for ever.
func (committer *Committer) Sweep(ctx context.Context, after string, limit int) (int, error) {
	rows, err := committer.table.Scan(ctx, Table, "", after, limit)
	if err != nil {
		return 0, err
	}
	var writes []storekeeper.Write
	for _, stored := range rows {
		row, err := decode(stored)
		if err == nil && committer.now().Since(row.Expires) > 2*Grace {
			writes = append(writes, storekeeper.Write{Table: Table, Key: stored.Key, Expect: stored.Version, Delete: true})
		}
	}
	if len(writes) == 0 {
		return 0, nil
	}
	return len(writes), committer.table.Commit(ctx, writes)
}
