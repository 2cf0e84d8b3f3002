package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Table is the name of the table of claims in the platform's store.
const Table = "claims"

// Row is a claim as stored in the table.
type Row struct {
	Key         string             `json:"-"`
	Owner       Owner              `json:"owner"`
	Fingerprint uint64             `json:"fingerprint"`
	Expires     timekeeper.Instant `json:"expires"`
	// Done means that the call completed; Digest is the digest of its answer.
	Done   bool   `json:"done,omitempty"`
	Digest uint64 `json:"digest,omitempty"`
	// Version is the version of the row in the table.
	Version uint64 `json:"-"`
}

// RowKey returns the key of a claim's row. It is a hash, which limits its length
// and keeps the caller's key out of the store.
func RowKey(team, service, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

func rowOf(key string, record *keyRecord) Row {
	return Row{
		Key: key, Owner: record.owner, Fingerprint: record.fingerprint, Expires: record.expires, Done: record.completed, Digest: record.digest,
	}
}

func (row Row) write(expect uint64) (storekeeper.Write, error) {
	value, err := json.Marshal(row)
	return storekeeper.Write{Table: Table, Key: row.Key, Value: value, Expect: expect}, eris.Wrap(err, "encode claim")
}

func decode(stored storekeeper.Row) (Row, error) {
	var row Row
	err := json.Unmarshal(stored.Value, &row)
	row.Key, row.Version = stored.Key, stored.Version
	return row, eris.Wrap(err, "decode claim")
}
