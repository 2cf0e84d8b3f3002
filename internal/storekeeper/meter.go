package storekeeper

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Tally counts the calls of one cause to the store.
type Tally struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused calls exceeded the rate or came during the pause after failures; they
	// were not sent to the store.
	Refused int `json:"refused"`
	// Failed calls were sent, and got no answer or were refused by the store.
	Failed int `json:"failed"`
}

// Outcome is the label of a call's result in the metrics.
type Outcome string

// The outcomes. A call that is sent counts as Read or Written, and also as Failed if
// it fails.
const (
	Read    Outcome = "read"
	Written Outcome = "written"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// with returns the tally with one more call of the outcome.
func (tally Tally) with(outcome Outcome) Tally {
	switch outcome {
	case Read:
		tally.Reads++
	case Written:
		tally.Writes++
	case Refused:
		tally.Refused++
	case Failed:
		tally.Failed++
	}
	return tally
}

// MeterSettings configures a meter. Clock must be set.
type MeterSettings struct {
	Clock timekeeper.Clock
	Seed  uint64
	// Rates returns the limits of each background cause; nil means no limits.
	Rates func() Rates
	// Count is called with each outcome, for the metrics; it may be nil.
	Count func(cause Cause, outcome Outcome)
}

// Meter wraps the platform for a process. It counts reads and writes by cause. For
// each background cause it limits the rate, and pauses calls after consecutive
// failures.
type Meter struct {
	settings MeterSettings

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[Cause]Budget
	tallies map[Cause]Tally
}

// NewMeter returns a meter.
func NewMeter(settings MeterSettings) *Meter {
	if settings.Rates == nil {
		const unbounded = 1 << 30
		settings.Rates = func() Rates { return Rates{Reads: unbounded, Writes: unbounded} }
	}
	if settings.Count == nil {
		settings.Count = func(Cause, Outcome) {}
	}
	return &Meter{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 4)),
		budgets:  map[Cause]Budget{},
		tallies:  map[Cause]Tally{},
	}
}

// Tallies returns the counts of each cause.
func (meter *Meter) Tallies() map[Cause]Tally {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return maps.Clone(meter.tallies)
}

// Wrap returns the platform with the meter in front of it. A call that the meter
// refuses returns ErrBusy and is not sent.
func (meter *Meter) Wrap(platform Platform) Platform {
	return Platform{
		Table: Table{
			Get: func(ctx context.Context, table, key string) (Row, error) {
				return metered(meter, CauseOf(table), false, func() (Row, error) { return platform.Table.Get(ctx, table, key) })
			},
			Scan: func(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
				return metered(meter, CauseOf(table), false, func() ([]Row, error) {
					return platform.Table.Scan(ctx, table, prefix, after, limit)
				})
			},
			Era: meter.era(platform.Table.Era),
			Commit: func(ctx context.Context, writes []Write) error {
				_, err := metered(meter, causeOfWrites(writes), true, func() (struct{}, error) {
					return struct{}{}, platform.Table.Commit(ctx, writes)
				})
				return err
			},
		},
		Objects: meter.objects(platform.Objects),
		Directory: Directory{List: func(ctx context.Context) ([]Instance, error) {
			return metered(meter, ForInstances, false, func() ([]Instance, error) { return platform.Directory.List(ctx) })
		}},
	}
}

// era returns a metered read of the era. Only claims depend on it.
func (meter *Meter) era(read func(ctx context.Context) (uint64, error)) func(ctx context.Context) (uint64, error) {
	if read == nil {
		return nil
	}
	return func(ctx context.Context) (uint64, error) {
		return metered(meter, ForClaims, false, func() (uint64, error) { return read(ctx) })
	}
}

func (meter *Meter) objects(objects Objects) Objects {
	return Objects{
		Put: func(ctx context.Context, name string, body []byte) error {
			_, err := metered(meter, causeOfObject(name), true, func() (struct{}, error) {
				return struct{}{}, objects.Put(ctx, name, body)
			})
			return err
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			return metered(meter, causeOfObject(name), false, func() ([]byte, error) { return objects.Get(ctx, name) })
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]string, error) {
			return metered(meter, causeOfObject(prefix), false, func() ([]string, error) {
				return objects.List(ctx, prefix, after, limit)
			})
		},
	}
}

func causeOfObject(name string) Cause {
	first, _, _ := strings.Cut(name, "/")
	return CauseOf(first)
}

func causeOfWrites(writes []Write) Cause {
	if len(writes) == 0 {
		return ForOther
	}
	return CauseOf(writes[0].Table)
}

// metered makes a call if the budget of its cause allows it.
func metered[Out any](meter *Meter, cause Cause, write bool, call func() (Out, error)) (Out, error) {
	if !meter.allow(cause, write) {
		var zero Out
		return zero, eris.Wrapf(ErrBusy, "the process holds back calls for %s", cause)
	}
	out, err := call()
	meter.record(cause, err)
	return out, err
}

func (meter *Meter) allow(cause Cause, write bool) bool {
	rates := meter.settings.Rates()
	now := meter.settings.Clock.Now()
	meter.mu.Lock()
	defer meter.mu.Unlock()
	budget, allowed := meter.budgets[cause].Allow(write, rates, now)
	allowed = allowed || !cause.background()
	meter.budgets[cause] = budget
	switch {
	case !allowed:
		meter.count(cause, Refused)
	case write:
		meter.count(cause, Written)
	default:
		meter.count(cause, Read)
	}
	return allowed
}

// count counts one outcome; the caller must hold the lock.
func (meter *Meter) count(cause Cause, outcome Outcome) {
	meter.tallies[cause] = meter.tallies[cause].with(outcome)
	meter.settings.Count(cause, outcome)
}

func (meter *Meter) record(cause Cause, err error) {
	now := meter.settings.Clock.Now()
	answered := !eris.Is(err, ErrUnknown) && !eris.Is(err, ErrBusy)
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if !answered {
		meter.count(cause, Failed)
	}
	if cause.background() {
		meter.budgets[cause] = meter.budgets[cause].Record(answered, meter.random.Float64(), now)
	}
}
