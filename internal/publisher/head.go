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

// Head names the configuration in force.
type Head struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	ChangeID string `json:"change-id"`
}

// ReadHead returns the head and the version of its row; both are zero when no
// configuration has been accepted yet.
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

// Accepted is a head with the body that it names.
type Accepted struct {
	Head
	Body []byte
}

// encodeBundle returns the encoded bundle with its hash.
func encodeBundle(bundle resolver.Bundle) (Accepted, error) {
	body, err := json.Marshal(bundle)
	if err != nil {
		return Accepted{}, eris.Wrap(err, "encode bundle")
	}
	return Accepted{Head: Head{Hash: hashOf(body)}, Body: body}, nil
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Bundle returns the files of the body, or an error if the body doesn't match its
// hash and so isn't the accepted one, whether it came from the store or a peer.
func (accepted Accepted) Bundle() (resolver.Bundle, error) {
	if hashOf(accepted.Body) != accepted.Hash {
		return resolver.Bundle{}, eris.New("the configuration's body doesn't match its hash")
	}
	var bundle resolver.Bundle
	err := json.Unmarshal(accepted.Body, &bundle)
	return bundle, eris.Wrap(err, "decode bundle")
}

// Resolve returns the configuration of a site with the head's revision.
func (accepted Accepted) Resolve(site string) (resolver.Config, error) {
	bundle, err := accepted.Bundle()
	if err != nil {
		return resolver.Config{}, err
	}
	config, faults := bundle.Resolve(site)
	if len(faults) > 0 {
		return resolver.Config{}, faults
	}
	return config.WithRevision(accepted.Revision), nil
}

// FetchBody returns the body that a head names.
func FetchBody(ctx context.Context, platform storekeeper.Platform, head Head) (Accepted, error) {
	body, err := platform.Objects.Get(ctx, prefix+head.Hash)
	return Accepted{Head: head, Body: body}, err
}

// Fetch returns the configuration that a head names, resolved for a site.
func Fetch(ctx context.Context, platform storekeeper.Platform, head Head, site string) (resolver.Config, error) {
	accepted, err := FetchBody(ctx, platform, head)
	if err != nil {
		return resolver.Config{}, err
	}
	return accepted.Resolve(site)
}
