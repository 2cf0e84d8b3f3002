package claimer

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Release deletes rows of this owner under which nothing ran, so that another
// may claim their keys.
//
// The failure: an agent leaves with a claim under which it ran nothing, because
// the caller's connection broke before the Run frame. The symptom: the key
// names an agent that is gone, and its caller hears "unknown" until the row
// ends, for an order that never ran. It is best effort: a row that stays costs
// just that. A row that is no longer as it was read is left alone.
func (committer *Committer) Release(ctx context.Context, rows []Row) error {
	for len(rows) > 0 {
		group := rows[:min(len(rows), mostInGroup)]
		rows = rows[len(group):]
		var writes []storekeeper.Write
		for _, row := range group {
			stored, err := committer.table.Get(ctx, Table, row.Key)
			if eris.Is(err, storekeeper.ErrAbsent) {
				continue
			}
			if err != nil {
				return err
			}
			found, err := decode(stored)
			if err != nil {
				return err
			}
			if found.Owner.Agent == row.Owner.Agent && found.Owner.Incarnation == row.Owner.Incarnation && !found.Done {
				writes = append(writes, storekeeper.Write{Table: Table, Key: row.Key, Expect: found.Version, Delete: true})
			}
		}
		if len(writes) == 0 {
			continue
		}
		if err := committer.table.Commit(ctx, writes); err != nil {
			return err
		}
	}
	return nil
}
