package claimer

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Outcome says whether a claim's row was inserted.
type Outcome uint8

// The outcomes.
const (
	// Won means that the row is in the table and names the claim's owner.
	Won Outcome = iota + 1
	// Lost means that the row names another owner: another request, incarnation or
	// agent.
	Lost
	// Unknown means that the store confirmed neither.
	Unknown
	// Held means that nothing was written, because the store has just come back from a copy.
	Held
)

// Result is the outcome of one claim. If it is Lost, Row is the row in the table.
type Result struct {
	Outcome Outcome
	Row     Row
	// At is, if the claim is Won or Lost, an instant after which the store had the row.
	At timekeeper.Instant
	// RetryAfter is, if the claim is Held, the time until claims are written again.
	RetryAfter timekeeper.Span
}

const (
	// maxGroup limits the claims in one write. It is far above the number that
	// arrives during one write at the design size, and keeps the body of a write
	// under 32 KB.
	maxGroup = 64
	// maxRounds limits the attempts to write a group after a conflict or a lost
	// answer. Two conflicts in a row with new claims don't happen by chance; after
	// the last round the outcome is Unknown and callers have to retry.
	maxRounds = 3
)

// pendingClaim is a queued claim and the channel of its result.
type pendingClaim struct {
	row    Row
	result chan Result
}

// Committer writes the claims of one agent in groups.
type Committer struct {
	table storekeeper.Table
	now   func() timekeeper.Instant
	queue chan pendingClaim
	gate  *eraGate
}

// NewCommitter returns a committer. Unless Run runs, Claim blocks until its context
// is done; Commit doesn't need Run.
func NewCommitter(table storekeeper.Table, now func() timekeeper.Instant) *Committer {
	return &Committer{table: table, now: now, queue: make(chan pendingClaim, maxGroup), gate: newEraGate(table, now)}
}

// Claim inserts a row in a group with those of concurrent callers and returns
// its result.
func (committer *Committer) Claim(ctx context.Context, row Row) Result {
	claim := pendingClaim{row: row, result: make(chan Result, 1)}
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

// Run writes groups until ctx is done.
func (committer *Committer) Run(ctx context.Context) {
	for {
		select {
		case first := <-committer.queue:
			group := committer.collectGroup(first)
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

// collectGroup takes the queued claims without waiting for more: a single call
// takes one write and no delay, and a burst fills the next group while the
// current one is written.
func (committer *Committer) collectGroup(first pendingClaim) []pendingClaim {
	group := []pendingClaim{first}
	for len(group) < maxGroup {
		select {
		case claim := <-committer.queue:
			group = append(group, claim)
		default:
			return group
		}
	}
	return group
}

// Commit inserts the rows, in one write where possible. After a conflict or a
// lost answer it reads each row back to find its outcome. While the store may lack claims that
// other agents have made, nothing is written.
func (committer *Committer) Commit(ctx context.Context, rows []Row) []Result {
	results, eraOver := committer.commit(ctx, rows)
	if eraOver {
		// All claims may have been written again since this process last asked for the era.
		results, _ = committer.commit(ctx, rows)
	}
	return results
}

// commit inserts the rows in the era that this process knows. It reports whether the store is in
// a later one; nothing is written then.
func (committer *Committer) commit(ctx context.Context, rows []Row) ([]Result, bool) {
	era, wait, err := committer.gate.admit(ctx)
	switch {
	case err != nil:
		return sameResult(rows, Result{Outcome: Unknown}), false
	case wait > 0:
		return sameResult(rows, Result{Outcome: Held, RetryAfter: wait}), false
	}
	results := committer.commitIn(ctx, era, rows)
	return results, slices.ContainsFunc(results, func(result Result) bool { return result.Outcome == Held })
}

func sameResult(rows []Row, result Result) []Result {
	return slices.Repeat([]Result{result}, len(rows))
}

// commitIn inserts the rows in an era.
func (committer *Committer) commitIn(ctx context.Context, era uint64, rows []Row) []Result {
	results := make([]Result, len(rows))
	uncertain := Result{Outcome: Unknown}
	unresolved := make([]int, len(rows))
	expect := make([]uint64, len(rows))
	for i := range rows {
		unresolved[i] = i
	}
	for round := range maxRounds {
		at := committer.now()
		err := committer.insert(ctx, era, rows, unresolved, expect)
		if err == nil {
			for _, i := range unresolved {
				results[i] = Result{Outcome: Won, At: at}
			}
			return results
		}
		if eris.Is(err, storekeeper.ErrBusy) {
			break
		}
		if eris.Is(err, storekeeper.ErrEra) {
			if round == 0 {
				uncertain = Result{Outcome: Held, RetryAfter: holdTime}
			}
			break
		}
		unresolved = committer.readBack(ctx, rows, unresolved, expect, results)
		if len(unresolved) == 0 {
			return results
		}
	}
	for _, i := range unresolved {
		results[i] = uncertain
	}
	return results
}

func (committer *Committer) insert(ctx context.Context, era uint64, rows []Row, unresolved []int, expect []uint64) error {
	writes := make([]storekeeper.Write, 0, len(unresolved))
	for _, i := range unresolved {
		write, err := rows[i].write(expect[i])
		if err != nil {
			return err
		}
		writes = append(writes, write)
	}
	if committer.table.Commit == nil {
		return storekeeper.ErrBusy
	}
	return committer.gate.write(ctx, era, writes)
}

// readBack reads the rows of unresolved claims. It returns the claims to insert
// again, with their row versions in expect, and sets the results of the others.
// Inserting again is safe: if the first write still takes effect, the second
// conflicts and the next readBack finds the claim's own row.
func (committer *Committer) readBack(ctx context.Context, rows []Row, unresolved []int, expect []uint64, results []Result) []int {
	var retry []int
	for _, i := range unresolved {
		at := committer.now()
		stored, err := committer.table.Get(ctx, Table, rows[i].Key)
		if eris.Is(err, storekeeper.ErrAbsent) {
			expect[i] = 0
			retry = append(retry, i)
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
			results[i] = Result{Outcome: Won, At: at}
		case committer.now().Since(found.Expires) > Grace:
			expect[i] = found.Version
			retry = append(retry, i)
		default:
			results[i] = Result{Outcome: Lost, Row: found, At: at}
		}
	}
	return retry
}

// Mark records in the table that calls completed. It is best effort: if a mark is
// lost, a caller gets "unknown" instead of "ran" once the owner is gone.
func (committer *Committer) Mark(ctx context.Context, rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	era, err := committer.gate.current(ctx)
	if err != nil {
		return err
	}
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
	return committer.gate.write(ctx, era, writes)
}

// Sweep deletes, in one write, the claims that expired more than 2*Grace ago, and
// returns their number. It scans up to limit rows that follow the row key `after`.
// The deleted rows no longer bind their keys; without Sweep the table would keep a
// row for each keyed call forever.
func (committer *Committer) Sweep(ctx context.Context, after string, limit int) (int, error) {
	era, err := committer.gate.current(ctx)
	if err != nil {
		return 0, err
	}
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
	return len(writes), committer.gate.write(ctx, era, writes)
}
