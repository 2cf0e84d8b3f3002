package budgeter

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Cause is why a control message was sent.
type Cause uint8

// The causes, from the most to the least important.
const (
	// Notice is the announcement that a replica leaves. It is counted and never limited.
	Notice Cause = iota
	// Config is reads of the accepted configuration.
	Config
	// Digest is the exchange of digests and load rows.
	Digest
	// List is reads of the platform's instance list.
	List
	// Probe is the keepalive of idle sessions.
	Probe
	causes
)

var causeNames = [causes]string{"notice", "config", "digest", "list", "probe"}

// String returns the cause's name in metrics.
func (cause Cause) String() string {
	return causeNames[cause]
}

// Level is how near spending is to the budget; it determines which traffic is reduced.
type Level uint8

// The levels, in the order in which traffic is reduced.
const (
	// Ample: all traffic is sent as configured.
	Ample Level = iota
	// Tight: load rows are halved, since stale loads do the least harm.
	Tight
	// Short: agents make rounds half as often, and the list is read half as often.
	Short
	// Spent: only updates are sent: notices, deaths, new incarnations.
	Spent
)

var levelNames = [...]string{"ample", "tight", "short", "spent"}

// String returns the level's name on status pages.
func (level Level) String() string {
	return levelNames[level]
}

const (
	// DefaultLimit is the budget of a process in bytes a second, sent and received: the
	// 11 KB of the design size less the share of tunnels and bursts.
	DefaultLimit = 8 << 10
	// window is the time over which spending is averaged: long enough that one read of the
	// list doesn't raise the level, short enough to react.
	window = 10 * timekeeper.Second
	// tightAt and shortAt are the fractions of the budget at which their levels begin.
	tightAt = 0.6
	shortAt = 0.8
)

// Settings set up a budget.
type Settings struct {
	// Limit is in bytes a second; zero means DefaultLimit.
	Limit int64
	// Count reports each spending to the metrics; nil means that it isn't reported.
	Count func(cause Cause, bytes int64)
}

// Budget counts spending. Its methods are safe for concurrent use.
type Budget struct {
	limit int64
	count func(cause Cause, bytes int64)

	mu      sync.Mutex
	total   [causes]int64
	average float64
	last    timekeeper.Instant
}

// New returns a budget without any spending.
func New(settings Settings) *Budget {
	if settings.Limit == 0 {
		settings.Limit = DefaultLimit
	}
	if settings.Count == nil {
		settings.Count = func(Cause, int64) {}
	}
	return &Budget{limit: settings.Limit, count: settings.Count}
}

// Spend adds bytes to the spending of a cause.
func (budget *Budget) Spend(now timekeeper.Instant, cause Cause, bytes int64) {
	budget.count(cause, bytes)
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.decay(now)
	budget.total[cause] += bytes
	budget.average += float64(bytes) / (float64(window) / float64(timekeeper.Second))
}

// decay decays the average over the time since the last call; the lock must be held.
func (budget *Budget) decay(now timekeeper.Instant) {
	elapsed := max(0, now.Since(budget.last))
	budget.last = max(budget.last, now)
	remaining := 1 - float64(elapsed)/float64(window)
	budget.average *= max(0, remaining)
}

// Level returns the level at the current average.
func (budget *Budget) Level(now timekeeper.Instant) Level {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.decay(now)
	share := budget.average / float64(budget.limit)
	switch {
	case share >= 1:
		return Spent
	case share >= shortAt:
		return Short
	case share >= tightAt:
		return Tight
	}
	return Ample
}

// Status is the state of a budget.
type Status struct {
	Limit     int64         `json:"limit-bytes-per-second"`
	PerSecond int64         `json:"bytes-per-second"`
	Level     string        `json:"level"`
	Causes    []CauseStatus `json:"causes"`
}

// CauseStatus is the spending of one cause since the process started.
type CauseStatus struct {
	Cause string `json:"cause"`
	Bytes int64  `json:"bytes"`
}

// Status returns the state of the budget.
func (budget *Budget) Status(now timekeeper.Instant) Status {
	level := budget.Level(now)
	budget.mu.Lock()
	defer budget.mu.Unlock()
	status := Status{Limit: budget.limit, PerSecond: int64(budget.average), Level: level.String()}
	for cause, bytes := range budget.total {
		status.Causes = append(status.Causes, CauseStatus{Cause: Cause(cause).String(), Bytes: bytes})
	}
	return status
}
