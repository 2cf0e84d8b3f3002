package storekeeper

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services.
var (
	// ErrAbsent means that the row or object does not exist.
	ErrAbsent = eris.New("not there")
	// ErrConflict means that a row did not have the expected version, or that the
	// object exists; nothing was written.
	ErrConflict = eris.New("changed since it was read")
	// ErrBusy means that the store refused the call for its rate, or that the process's
	// Meter held it back; nothing was done.
	ErrBusy = eris.New("over the store's rate")
	// ErrEra means that the store is in another era than a write expects; nothing was written.
	ErrEra = eris.New("the store is in another era")
	// ErrUnknown means that the call got no complete answer, or one with an unexpected
	// status; a write may have taken effect.
	ErrUnknown = eris.New("no answer from the store")
)

// Row is a row of a table. Version 0 means that the row does not exist.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Write is one change in a commit. Expect is the version that the row must have;
// 0 means that the row must not exist. Era is the era that the store must be in; 0 means any.
// Versions of rows are given out again in a later era, so that a version alone may match by
// chance.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Era    uint64 `json:"era,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table struct {
	// Get returns a row, or ErrAbsent.
	Get func(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows, in key order, whose keys start with prefix and
	// are greater than the key after.
	Scan func(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none; it returns ErrEra if the era is not the expected one,
	// and ErrConflict if the version of any row is not.
	Commit func(ctx context.Context, writes []Write) error
	// Era returns the era of the store. It is 1 at first, and one higher each time the store
	// comes back from a copy that lacks the last seconds. Nil means that it never does.
	Era func(ctx context.Context) (uint64, error)
}

// Objects is the object store. Objects are immutable.
type Objects struct {
	// Put stores an object; it returns ErrConflict if the name exists.
	Put func(ctx context.Context, name string, body []byte) error
	// Get returns an object, or ErrAbsent.
	Get func(ctx context.Context, name string) ([]byte, error)
	// List returns up to limit names that start with prefix and are greater than the
	// name after.
	List func(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// Instance is a row of the platform's list of instances.
type Instance struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is the address of the instance's agent.
	Address string `json:"address"`
	Site    string `json:"site"`
	Region  string `json:"region,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Directory is the platform's list of instances. It lags behind the actual instances.
type Directory struct {
	List func(ctx context.Context) ([]Instance, error)
}

// Platform holds the services of the platform.
type Platform struct {
	Table     Table
	Objects   Objects
	Directory Directory
}
