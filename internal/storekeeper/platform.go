package storekeeper

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services.
var (
	// ErrAbsent says that a row or object is not there.
	ErrAbsent = eris.New("not there")
	// ErrConflict says that a row was not at the expected version; nothing was written.
	ErrConflict = eris.New("changed since it was read")
	// ErrBusy says that the rate limit was passed; nothing was done.
	ErrBusy = eris.New("over the store's rate")
	// ErrUnknown says that no answer came; a write may have taken effect.
	ErrUnknown = eris.New("no answer from the store")
)

// Row is one row of a table. Version 0 means that there is no row.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Write is one change in a commit. Expect is the version that the row must
// have, 0 for a row that must not exist.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Delete bool   `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table struct {
	// Get returns a row, or ErrAbsent.
	Get func(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and come
	// after the key after, in key order.
	Scan func(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none; ErrConflict when any row has moved.
	Commit func(ctx context.Context, writes []Write) error
}

// Objects is the object store. An object, once put, doesn't change.
type Objects struct {
	// Put stores an object; putting the same name again is ErrConflict.
	Put func(ctx context.Context, name string, body []byte) error
	// Get returns an object, or ErrAbsent.
	Get func(ctx context.Context, name string) ([]byte, error)
	// List returns up to limit names that start with prefix and come after the name after.
	List func(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is where the instance's agent listens.
	Address string `json:"address"`
	Site    string `json:"site"`
	Region  string `json:"region,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Directory is the platform's list of instances. It lags.
type Directory struct {
	List func(ctx context.Context) ([]Instance, error)
}

// Platform is all that the platform gives.
type Platform struct {
	Table     Table
	Objects   Objects
	Directory Directory
}
