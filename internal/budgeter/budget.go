package budgeter

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Cause is why a control message was sent.
type Cause uint8

// The causes, from the most to the least important.
const (
	// Notice is the word of a replica that leaves. It is counted, never held back.
	Notice Cause = iota
	// Config is the reading of the accepted configuration.
	Config
	// Digest is the exchange of digests and load rows.
	Digest
	// List is the reading of the platform's instance list.
	List
	// Probe is the keepalive of idle sessions.
	Probe
	causes
)

var causeNames = [causes]string{"notice", "config", "digest", "list", "probe"}

// String returns the cause as it stands in metrics.
func (cause Cause) String() string {
	return causeNames[cause]
}

// Level says how near the budget is, and with it what gives way.
type Level uint8

// The levels in the order in which things give way.
const (
	// Ample: everything goes as set.
	Ample Level = iota
	// Tight: load rows are halved, for stale load costs the least.
	Tight
	// Short: agents' rounds come half as often, entries ask for news only, and
	// the list is read half as often.
	Short
	// Spent: only news goes: notices, deaths, new incarnations.
	Spent
)

var levelNames = [...]string{"ample", "tight", "short", "spent"}

// String returns the level as it stands in status pages.
func (level Level) String() string {
	return levelNames[level]
}

const (
	// DefaultLimit is the budget of a process in bytes a second, sent and
	// received: the 11 KB of the design size less what tunnels and bursts take.
	DefaultLimit = 8 << 10
	// window is the time over which spending is averaged: long enough that one
	// reading of the list doesn't look like a rush, short enough to react.
	window = 10 * timekeeper.Second
	// tightAt and shortAt are shares of the budget at which a level begins.
	tightAt = 0.6
	shortAt = 0.8
)

// Settings set up a budget.
type Settings struct {
	// Limit is in bytes a second; zero means DefaultLimit.
	Limit int64
	// Count takes each spending to the metrics; nil means it is dropped.
	Count func(cause Cause, bytes int64)
}

// Budget counts spending. Its methods may be called from several goroutines.
type Budget struct {
	limit int64
	count func(cause Cause, bytes int64)

	mu      sync.Mutex
	total   [causes]int64
	average float64
	last    timekeeper.Instant
}

// New returns a budget that nothing has been spent of.
func New(settings Settings) *Budget {
	if settings.Limit == 0 {
		settings.Limit = DefaultLimit
	}
	if settings.Count == nil {
		settings.Count = func(Cause, int64) {}
	}
	return &Budget{limit: settings.Limit, count: settings.Count}
}

// Spend counts bytes of a cause.
func (budget *Budget) Spend(now timekeeper.Instant, cause Cause, bytes int64) {
	budget.count(cause, bytes)
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.decay(now)
	budget.total[cause] += bytes
	budget.average += float64(bytes) / (float64(window) / float64(timekeeper.Second))
}

// decay lets old spending fade; the lock must be held.
func (budget *Budget) decay(now timekeeper.Instant) {
	passed := max(0, now.Since(budget.last))
	budget.last = max(budget.last, now)
	left := 1 - float64(passed)/float64(window)
	budget.average *= max(0, left)
}

// Level returns how near the budget is.
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

// Status is what a budget says about itself.
type Status struct {
	Limit     int64         `json:"limit-bytes-per-second"`
	PerSecond int64         `json:"bytes-per-second"`
	Level     string        `json:"level"`
	Causes    []CauseStatus `json:"causes"`
}

// CauseStatus is what one cause has cost since the process started.
type CauseStatus struct {
	Cause string `json:"cause"`
	Bytes int64  `json:"bytes"`
}

// Status returns what the budget says about itself.
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
