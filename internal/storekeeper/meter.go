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

// Tally is how often a cause has used the store.
type Tally struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused were over the rate, or came in the pause after failures; they
	// never reached the store.
	Refused int `json:"refused"`
	// Failed were sent and got no answer, or were refused by the store.
	Failed int `json:"failed"`
}

// Outcome is what became of a call, as the metrics name it.
type Outcome string

// The uses. A call that failed was counted as read or written before.
const (
	Read    Outcome = "read"
	Written Outcome = "written"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// with returns the tally with one more use.
func (tally Tally) with(use Outcome) Tally {
	switch use {
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

// MeterSettings set up a meter. Clock must be set.
type MeterSettings struct {
	Clock timekeeper.Clock
	Seed  uint64
	// Rates returns the bounds of each cause; nil means none.
	Rates func() Rates
	// Count takes each use for the metrics; nil means it is dropped.
	Count func(cause Cause, use Outcome)
}

// Meter stands between a process and its platform. It counts every read and
// write by cause, holds each cause to its rate, and after failures lets
// nothing through for a while.
type Meter struct {
	settings MeterSettings

	mu      sync.Mutex
	draws   *rand.Rand
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
		draws:    rand.New(rand.NewPCG(settings.Seed, 4)),
		budgets:  map[Cause]Budget{},
		tallies:  map[Cause]Tally{},
	}
}

// Tallies returns what each cause has used.
func (meter *Meter) Tallies() map[Cause]Tally {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return maps.Clone(meter.tallies)
}

// Wrap returns the platform with the meter before it. A call that the meter
// refuses is ErrBusy: nothing was done.
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

// metered makes one call under the budget of its cause.
func metered[Out any](meter *Meter, cause Cause, write bool, call func() (Out, error)) (Out, error) {
	if !meter.allow(cause, write) {
		var none Out
		return none, eris.Wrapf(ErrBusy, "the process holds back calls for %s", cause)
	}
	out, err := call()
	meter.settle(cause, err)
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

// count notes one use; the lock must be held.
func (meter *Meter) count(cause Cause, use Outcome) {
	meter.tallies[cause] = meter.tallies[cause].with(use)
	meter.settings.Count(cause, use)
}

func (meter *Meter) settle(cause Cause, err error) {
	now := meter.settings.Clock.Now()
	answered := !eris.Is(err, ErrUnknown) && !eris.Is(err, ErrBusy)
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if !answered {
		meter.count(cause, Failed)
	}
	if cause.background() {
		meter.budgets[cause] = meter.budgets[cause].Record(answered, meter.draws.Float64(), now)
	}
}
