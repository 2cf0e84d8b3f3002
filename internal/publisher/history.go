package publisher

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// historyPrefix is the key prefix of accepted changes. The revision follows in
// twenty digits, so that the keys sort by revision.
const historyPrefix = "history/"

// Change is one accepted change. Its row is written in the commit that updates the
// head, so each accepted change is in the history exactly once.
type Change struct {
	Head
	At       timekeeper.Instant `json:"at"`
	Operator string             `json:"operator,omitempty"`
	Comment  string             `json:"comment,omitempty"`
	// RollbackTo is the revision whose content this change restored, or 0.
	RollbackTo uint64 `json:"rollback-to,omitempty"`
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, revision)
}

// ReadChange returns the change that created a revision, or storekeeper.ErrAbsent.
func ReadChange(ctx context.Context, platform storekeeper.Platform, revision uint64) (Change, error) {
	row, err := platform.Table.Get(ctx, table, historyKey(revision))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

func decodeChange(row storekeeper.Row) (Change, error) {
	var change Change
	err := json.Unmarshal(row.Value, &change)
	return change, eris.Wrap(err, "decode a change of the history")
}

// History returns up to limit changes with revisions above after, in ascending order.
func History(ctx context.Context, platform storekeeper.Platform, after uint64, limit int) ([]Change, error) {
	rows, err := platform.Table.Scan(ctx, table, historyPrefix, historyKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
