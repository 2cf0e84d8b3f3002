package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

const (
	table   = "config"
	headKey = "head"
	prefix  = "config/"
)

// Head says which configuration is in force.
type Head struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	ChangeID string `json:"change-id"`
}

// ReadHead returns the head and the version of its row; both are zero when no
// configuration was ever accepted.
func ReadHead(ctx context.Context, platform storekeeper.Platform) (Head, uint64, error) {
	row, err := platform.Table.Get(ctx, table, headKey)
	if eris.Is(err, storekeeper.ErrAbsent) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, eris.Wrap(err, "decode head")
	}
	return head, row.Version, nil
}

// Accept makes the bundle the configuration that follows revision edited. It
// returns storekeeper.ErrConflict when another revision is in force.
func Accept(ctx context.Context, platform storekeeper.Platform, bundle resolver.Bundle, edited uint64, changeID string) (Head, error) {
	body, err := json.Marshal(bundle)
	if err != nil {
		return Head{}, eris.Wrap(err, "encode bundle")
	}
	sum := sha256.Sum256(body)
	next := Head{Revision: edited + 1, Hash: hex.EncodeToString(sum[:]), ChangeID: changeID}
	err = platform.Objects.Put(ctx, prefix+next.Hash, body)
	if err != nil && !eris.Is(err, storekeeper.ErrConflict) {
		return Head{}, err
	}
	now, version, err := ReadHead(ctx, platform)
	if err != nil {
		return Head{}, err
	}
	if now.Revision != edited {
		return now, storekeeper.ErrConflict
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, eris.Wrap(err, "encode head")
	}
	write := storekeeper.Write{Table: table, Key: headKey, Value: value, Expect: version}
	return next, platform.Table.Commit(ctx, []storekeeper.Write{write})
}

// Fetch returns the configuration that a head names, resolved for a site.
func Fetch(ctx context.Context, platform storekeeper.Platform, head Head, site string) (resolver.Config, error) {
	body, err := platform.Objects.Get(ctx, prefix+head.Hash)
	if err != nil {
		return resolver.Config{}, err
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != head.Hash {
		return resolver.Config{}, eris.New("the configuration's body doesn't match its hash")
	}
	var bundle resolver.Bundle
	if err := json.Unmarshal(body, &bundle); err != nil {
		return resolver.Config{}, eris.Wrap(err, "decode bundle")
	}
	config, faults := bundle.Resolve(site)
	if len(faults) > 0 {
		return resolver.Config{}, faults
	}
	return config.WithRevision(head.Revision), nil
}
