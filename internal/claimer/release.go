package claimer

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Release deletes the rows returned by Book.TakeUnused, under which no request ran,
// so that other agents can claim their keys.
//
// An agent may leave with an unused claim if the caller's connection broke
// before the Run frame. If the row stayed, callers would get "unknown" until Grace
// after its expiry, for an order that never ran. Release is best effort, since a
// row that stays has no other effect. It skips rows that another incarnation has
// taken over or that are marked as done.
func (committer *Committer) Release(ctx context.Context, rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	era, err := committer.gate.current(ctx)
	if err != nil {
		return err
	}
	for group := range slices.Chunk(rows, maxGroup) {
		writes, err := committer.releases(ctx, group)
		if err != nil {
			return err
		}
		if len(writes) == 0 {
			continue
		}
		if err := committer.gate.write(ctx, era, writes); err != nil {
			return err
		}
	}
	return nil
}

// releases returns the writes that delete rows, except for those that Release skips.
func (committer *Committer) releases(ctx context.Context, rows []Row) ([]storekeeper.Write, error) {
	var writes []storekeeper.Write
	for _, row := range rows {
		stored, err := committer.table.Get(ctx, Table, row.Key)
		if eris.Is(err, storekeeper.ErrAbsent) {
			continue
		}
		if err != nil {
			return nil, err
		}
		found, err := decode(stored)
		if err != nil {
			return nil, err
		}
		if found.Owner.Agent == row.Owner.Agent && found.Owner.Incarnation == row.Owner.Incarnation && !found.Done {
			writes = append(writes, storekeeper.Write{Table: Table, Key: row.Key, Expect: found.Version, Delete: true})
		}
	}
	return writes, nil
}

// TakeUnused returns the rows of keys under which no request has reached the
// upstream, and removes their records so that none can start later.
func (book *Book) TakeUnused() []Row {
	var rows []Row
	for key, record := range book.records {
		if !record.minted && (record.stage == free || record.stage == unconfirmed) {
			rows = append(rows, rowOf(key, record))
			delete(book.records, key)
		}
	}
	return rows
}
