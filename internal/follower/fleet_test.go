package follower_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"

	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// fleetAlone, fleetNear and digestEvery are as entries have them.
	fleetAlone  = 4
	fleetNear   = 1200 * timekeeper.Millisecond
	digestEvery = timekeeper.Second
	storeTakes  = 4 * timekeeper.Millisecond
)

// heartbeats writes all rows of replicas again and again, as replicas do.
func heartbeats(ctx context.Context, clock timekeeper.Clock, table *sharedTable, replicas int) {
	number := 0
	for ctx.Err() == nil {
		table.mu.Lock()
		key := fmt.Sprintf("r%d", number%replicas)
		value, found := table.rows[key]
		away := table.away
		table.mu.Unlock()
		if found && !away {
			table.write(follower.Change[string]{Key: key, Value: value})
		}
		number++
		_ = clock.Sleep(ctx, 100)
	}
}

// leaveBound is within what time a replica that leaves must be known everywhere: it
// serves two seconds more.
const leaveBound = 2 * timekeeper.Second

func TestAFewReadForAll(t *testing.T) {
	// Twenty-four processes follow a list whose rows are written ten times a second, and
	// a few of them read it. Whatever happens to those, a caller must never be sent to a
	// replica that left two seconds ago, and a replica that joined gets work at once.
	// Each case breaks something and lets a replica leave and another join in the same
	// moment; those that are cut off for good, or gone, are not asked.
	tests := []struct {
		name string
		loss float64
		// fail breaks something, given the processes and those that read.
		fail func(fleet *processes, readers []*process)
		// calls is how many the store may get in the ten seconds after that.
		calls int
	}{
		{"nothing happens", 0, func(*processes, []*process) {}, 35},
		{"digests are lost", 0.05, func(*processes, []*process) {}, 60},
		{"a reader hangs", 0, func(_ *processes, readers []*process) { readers[0].hangs.Store(true) }, 45},
		{"a reader is turned away alone", 0, func(_ *processes, readers []*process) { readers[0].turnedAway.Store(true) }, 45},
		{"all readers are turned away", 0, func(_ *processes, readers []*process) {
			for _, reader := range readers {
				reader.turnedAway.Store(true)
			}
		}, 60},
		{"a reader is cut off from the others", 0, func(_ *processes, readers []*process) { readers[0].cutOff.Store(true) }, 60},
		{"one that doesn't read is cut off", 0, func(fleet *processes, _ []*process) {
			for _, one := range fleet.all {
				if !one.reads() {
					one.cutOff.Store(true)
					return
				}
			}
		}, 60},
		{"a reader is gone", 0, func(_ *processes, readers []*process) {
			readers[0].gone.Store(true)
			readers[0].hangs.Store(true)
		}, 45},
		{"all readers are gone at once", 0, func(_ *processes, readers []*process) {
			for _, reader := range readers {
				reader.gone.Store(true)
				reader.hangs.Store(true)
			}
		}, 70},
		{"the history is lost", 0, func(fleet *processes, _ []*process) { fleet.table.forget() }, 45},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playFailure(t, test.loss, test.fail, test.calls, seed) })
			})
		}
	}
}

// playFailure breaks something in a fleet, lets a replica leave, one go and one join, and
// checks when that is known and what it costs.
func playFailure(
	t *testing.T, loss float64, fail func(fleet *processes, readers []*process), calls int, seed uint64,
) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(12)
	fleet := startProcesses(ctx, table, 24, 3, loss, seed)
	go heartbeats(ctx, fleet.clock, table, 12)
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	var readers []*process
	for _, one := range fleet.all {
		if one.reads() {
			readers = append(readers, one)
		}
	}
	if len(readers) < 4 || len(readers) > 9 {
		t.Fatalf("%d readers", len(readers))
	}
	_, before := table.now()
	fail(fleet, readers)
	_ = fleet.clock.Sleep(ctx, timekeeper.Span(seed)*200)
	written := fleet.clock.Now()
	table.write(
		follower.Change[string]{Key: "r1", Value: "leaving"}, follower.Change[string]{Key: "r2", Removed: true},
		follower.Change[string]{Key: "new", Value: "ready"},
	)
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	rows, after := table.now()
	if after-before > calls {
		t.Errorf("%d calls", after-before)
	}
	for _, one := range fleet.all {
		if !one.gone.Load() {
			one.check(t, rows, written)
		}
	}
}

// check checks that a process knows the rows, and knew what was written soon after.
func (one *process) check(t *testing.T, rows map[string]string, written timekeeper.Instant) {
	t.Helper()
	one.mu.Lock()
	defer one.mu.Unlock()
	for _, what := range []string{"r1=leaving", "r2 gone", "new=ready"} {
		if at, found := one.known[what]; !found || at.Since(written) > leaveBound {
			t.Errorf("%s: %s known after %d ms", one.own.Address, what, at.Since(written))
		}
	}
	if !maps.Equal(one.rows, rows) {
		t.Errorf("%s: %v of %v", one.own.Address, one.rows, rows)
	}
}

func TestAnOutageCostsFewCalls(t *testing.T) {
	// The store is away for eight seconds, drops its history and has lost rows that
	// lapsed meanwhile, all but one of which are written again. A hundred processes do
	// not ask it twice a second each; within a moment of its return all go on with the
	// rows that they had, and the replica that died is gone two seconds later.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := newSharedTable()
		table.list(12)
		fleet := startProcesses(ctx, table, 100, 6, 0, 1)
		go heartbeats(ctx, fleet.clock, table, 12)
		_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
		_, before := table.now()
		table.setAway(true)
		_ = fleet.clock.Sleep(ctx, 8*timekeeper.Second)
		if _, calls := table.now(); calls-before > 200 {
			t.Errorf("%d calls in the outage", calls-before)
		}
		table.write(follower.Change[string]{Key: "r1", Removed: true}, follower.Change[string]{Key: "r2", Removed: true})
		table.forget()
		table.setAway(false)
		_ = fleet.clock.Sleep(ctx, 1000)
		table.write(follower.Change[string]{Key: "r2", Value: "ready"})
		for _, one := range fleet.all {
			one.mu.Lock()
			if len(one.rows) != 12 {
				t.Errorf("%s: %d rows a second after the return", one.own.Address, len(one.rows))
			}
			one.mu.Unlock()
		}
		_ = fleet.clock.Sleep(ctx, 5*timekeeper.Second)
		rows, _ := table.now()
		for _, one := range fleet.all {
			one.mu.Lock()
			if !maps.Equal(one.rows, rows) {
				t.Errorf("%s: %d of %d rows", one.own.Address, len(one.rows), len(rows))
			}
			one.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
