package resolver

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Site is a data centre.
type Site struct {
	// Region groups sites that are near each other.
	Region string `toml:"region"`
}

// Names of the promises.
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

// Promises selects the promises that apply to the fleet.
type Promises struct {
	// Apply names the promises that apply; empty means all.
	Apply []string `toml:"apply"`
}

// Applies reports whether a promise applies.
func (promises Promises) Applies(promise string) bool {
	return len(promises.Apply) == 0 || slices.Contains(promises.Apply, promise)
}

// Limits bound the load that each process puts on the platform's store.
type Limits struct {
	// PollInterval is the mean time between two polls of the configuration's head row;
	// zero means 2 seconds.
	PollInterval timekeeper.Span `toml:"poll-every"`
	// OrderLease is the duration of a planner's lease; zero means 30 seconds.
	OrderLease timekeeper.Span `toml:"order-lease"`
	// StoreReads is the maximum number of reads per second by a process for each
	// background cause (see storekeeper.Rates); zero means 20.
	StoreReads int `toml:"store-reads"`
	// StoreWrites is the maximum number of writes per second, counted in the same way;
	// zero means 50.
	StoreWrites int `toml:"store-writes"`
}

// Defaults of the limits.
const (
	DefaultPollInterval = 2 * timekeeper.Second
	DefaultOrderLease   = 30 * timekeeper.Second
	DefaultStoreReads   = 20
	DefaultStoreWrites  = 50
)

// WithDefaults returns the limits with every zero replaced by its default.
func (limits Limits) WithDefaults() Limits {
	limits.PollInterval = cmp.Or(limits.PollInterval, DefaultPollInterval)
	limits.OrderLease = cmp.Or(limits.OrderLease, DefaultOrderLease)
	limits.StoreReads = cmp.Or(limits.StoreReads, DefaultStoreReads)
	limits.StoreWrites = cmp.Or(limits.StoreWrites, DefaultStoreWrites)
	return limits
}
