package storekeeper

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Cause is the purpose of a read or write of the store.
type Cause string

// The causes.
const (
	ForConfig    Cause = "config"
	ForInstances Cause = "instances"
	ForRecord    Cause = "record"
	ForClaims    Cause = "claims"
	ForStrikes   Cause = "strikes"
	ForOrders    Cause = "orders"
	ForOther     Cause = "other"
)

// CauseOf returns the cause of a call, given its table or the first part of its
// object's name. Each name in the store belongs to one package, so the name
// determines the cause, and callers can't forget to pass it.
func CauseOf(name string) Cause {
	switch name {
	case "config":
		return ForConfig
	case "record", "segments":
		return ForRecord
	case "claims", "eras":
		return ForClaims
	case "strikes":
		return ForStrikes
	case "planners":
		return ForOrders
	}
	return ForOther
}

// background reports whether calls of a cause are background work: no caller waits
// for them, and they are retried automatically. A budget limits only such calls.
// Claims and strikes decide about a caller's call: if the budget refused them, the
// process would refuse the caller of an order, or let a request crash one more
// engine. The number of admitted calls bounds them.
func (cause Cause) background() bool {
	switch cause {
	case ForConfig, ForInstances, ForRecord, ForOrders:
		return true
	}
	return false
}

// Rates are the maximum numbers of calls per second of one cause in one process.
type Rates struct {
	Reads  int
	Writes int
}

const (
	// failuresBeforePause is how many consecutive failures start a pause.
	failuresBeforePause = 3
	// initialPause and maxPause bound the backoff before jitter, which shortens it by
	// up to a half. No call is sent during the pause.
	initialPause = 200 * timekeeper.Millisecond
	maxPause     = 4 * timekeeper.Second
)

// Budget is a rate limiter and circuit breaker for the calls of one cause to the
// store. It is an immutable value.
type Budget struct {
	windowStart timekeeper.Instant
	reads       int
	writes      int
	failures    int
	pausedUntil timekeeper.Instant
}

// Allow reports whether a call may be sent, and returns the budget after it.
//
// All processes of the fleet share a store that serves some two thousand reads
// and several hundred writes a second. If a fault made one cause call the store in
// a tight loop, the store would refuse the claims of orders. The limit is per cause
// and process, so a cause can only starve itself. It applies to background causes
// only; see background.
func (budget Budget) Allow(write bool, rates Rates, now timekeeper.Instant) (Budget, bool) {
	if now < budget.pausedUntil {
		return budget, false
	}
	if now.Since(budget.windowStart) >= timekeeper.Second {
		budget.windowStart, budget.reads, budget.writes = now, 0, 0
	}
	if write {
		budget.writes++
		return budget, budget.writes <= rates.Writes
	}
	budget.reads++
	return budget, budget.reads <= rates.Reads
}

// Record returns the budget after a call has ended. answered is false if the store
// gave no answer or refused the call for its rate. jitter is a random number from
// [0, 1).
//
// A slow store would block each caller for the whole timeout, and a store that
// recovers would get the calls of all waiting processes at the same time. After a few
// consecutive failures, calls therefore fail immediately until a pause with
// jitter is over.
func (budget Budget) Record(answered bool, jitter float64, now timekeeper.Instant) Budget {
	if answered {
		budget.failures, budget.pausedUntil = 0, 0
		return budget
	}
	budget.failures++
	if budget.failures < failuresBeforePause {
		return budget
	}
	pause := min(initialPause<<min(budget.failures-failuresBeforePause, 8), maxPause)
	budget.pausedUntil = now.Add(timekeeper.Span(float64(pause) * (0.5 + jitter/2)))
	return budget
}
