package storekeeper

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Cause says what a read or write of the store is for.
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

// CauseOf returns the cause of a call from its table, or the first part of its
// object's name. Everything in the store belongs to one package, so the name
// tells the cause, and no caller can forget to say it.
func CauseOf(name string) Cause {
	switch name {
	case "config":
		return ForConfig
	case "record", "segments":
		return ForRecord
	case "claims":
		return ForClaims
	case "strikes":
		return ForStrikes
	case "planners":
		return ForOrders
	}
	return ForOther
}

// background reports whether a cause is work that nobody waits for and that is
// tried again by itself. Only such work is held back. Claims and strikes decide
// about a call of their own: held back by a budget of the process, they would
// refuse the caller of an order, or let a request crash one more engine. What
// bounds them is the number of calls that are admitted.
func (cause Cause) background() bool {
	switch cause {
	case ForConfig, ForInstances, ForRecord, ForOrders:
		return true
	}
	return false
}

// Rates bound the calls of one cause in one process, a second.
type Rates struct {
	Reads  int
	Writes int
}

const (
	// patience is how many failures in a row open the pause.
	patience = 3
	// firstPause and longestPause bound the time in which nothing is asked.
	firstPause   = 200 * timekeeper.Millisecond
	longestPause = 4 * timekeeper.Second
)

// Budget decides whether a call of one cause may go to the store. It is an
// immutable value.
type Budget struct {
	second   timekeeper.Instant
	reads    int
	writes   int
	failures int
	until    timekeeper.Instant
}

// Allow decides about one call.
//
// The load: every process of the fleet reads and writes the same store, which
// gives some two thousand reads and several hundred writes a second. The harm:
// a fault makes one cause ask in a tight loop, and the store refuses the
// claims of orders for it. The limit is by cause and process, so a cause can
// only starve itself. It is for causes in the background; see background.
func (budget Budget) Allow(write bool, rates Rates, now timekeeper.Instant) (Budget, bool) {
	if now < budget.until {
		return budget, false
	}
	if now.Since(budget.second) >= timekeeper.Second {
		budget.second, budget.reads, budget.writes = now, 0, 0
	}
	if write {
		budget.writes++
		return budget, budget.writes <= rates.Writes
	}
	budget.reads++
	return budget, budget.reads <= rates.Reads
}

// Record takes in how a call ended: whether the store answered. draw is from
// [0, 1).
//
// The harm: a store that is slow holds each caller for the whole timeout, and
// a store that comes back is met by all who waited. After a few failures in a
// row calls end at once, until a pause with jitter is over.
func (budget Budget) Record(answered bool, draw float64, now timekeeper.Instant) Budget {
	if answered {
		budget.failures, budget.until = 0, 0
		return budget
	}
	budget.failures++
	if budget.failures < patience {
		return budget
	}
	pause := min(firstPause<<min(budget.failures-patience, 8), longestPause)
	budget.until = now.Add(timekeeper.Span(float64(pause) * (0.5 + draw/2)))
	return budget
}
