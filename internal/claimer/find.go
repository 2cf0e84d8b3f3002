package claimer

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Find returns the claim with a row key computed by RowKey. The second result is
// false if the key is unclaimed.
func Find(ctx context.Context, table storekeeper.Table, key string) (Row, bool, error) {
	stored, err := table.Get(ctx, Table, key)
	if eris.Is(err, storekeeper.ErrAbsent) {
		return Row{}, false, nil
	}
	if err != nil {
		return Row{}, false, err
	}
	row, err := decode(stored)
	return row, err == nil, err
}
