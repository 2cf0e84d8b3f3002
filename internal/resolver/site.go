package resolver

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Site is a data centre.
type Site struct {
	// Region is where the site lies; sites of a region are near each other.
	Region string `toml:"region"`
}

// The promises by name.
const (
	PromiseBoundedLoad   = "bounded-load"
	PromiseWholeAnswer   = "whole-answer"
	PromiseNotRun        = "not-run"
	PromiseAtMostOnce    = "at-most-once"
	PromiseLeaving       = "leaving"
	PromiseGracefulStop  = "graceful-stop"
	PromiseConfiguration = "configuration"
)

// AllPromises returns the names of all promises.
func AllPromises() []string {
	return []string{
		PromiseBoundedLoad, PromiseWholeAnswer, PromiseNotRun, PromiseAtMostOnce,
		PromiseLeaving, PromiseGracefulStop, PromiseConfiguration,
	}
}

// Promises say which promises apply to the fleet.
type Promises struct {
	// Apply names the promises that apply; empty means all.
	Apply []string `toml:"apply"`
}

// Applies reports whether a promise applies.
func (promises Promises) Applies(promise string) bool {
	return len(promises.Apply) == 0 || slices.Contains(promises.Apply, promise)
}

// Limits bound what each process spends on the platform's store.
type Limits struct {
	// PollInterval is the mean time between two looks at the head; zero means 2 seconds.
	PollInterval timekeeper.Span `toml:"poll-every"`
	// OrderLease is how long a planner holds its lease; zero means 30 seconds.
	OrderLease timekeeper.Span `toml:"order-lease"`
	// StoreReads is how many reads a second a process makes at most; zero means 20.
	StoreReads int `toml:"store-reads"`
	// StoreWrites is how many writes a second a process makes at most; zero means 50.
	StoreWrites int `toml:"store-writes"`
}

// Defaults of the limits.
const (
	DefaultPollInterval   = 2 * timekeeper.Second
	DefaultOrderLease  = 30 * timekeeper.Second
	DefaultStoreReads  = 20
	DefaultStoreWrites = 50
)

// WithDefaults returns the limits with every zero replaced by its default.
func (limits Limits) WithDefaults() Limits {
	limits.PollInterval = cmp.Or(limits.PollInterval, DefaultPollInterval)
	limits.OrderLease = cmp.Or(limits.OrderLease, DefaultOrderLease)
	limits.StoreReads = cmp.Or(limits.StoreReads, DefaultStoreReads)
	limits.StoreWrites = cmp.Or(limits.StoreWrites, DefaultStoreWrites)
	return limits
}
