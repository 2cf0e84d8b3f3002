package follower_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// lapsing and dead are how many replicas' rows lapse, and how many of these died.
	lapsing, dead = 48, 2
	// goneAfter is within what time after the store's return a replica that died must
	// be known to be gone.
	goneAfter = 3500 * timekeeper.Millisecond
	// startsAgain is how long a process takes that ends and starts again.
	startsAgain = 2200 * timekeeper.Millisecond
)

func TestRowsThatAllLapseInAnOutage(t *testing.T) {
	// The store is away for six seconds and all rows lapse; as it returns, half of the
	// processes start again, and within two seconds each replica that lives writes its
	// row. Callers found half of the replicas, and a quarter of those of a small service,
	// out of use until the day's end: the others had all work, and went over their share.
	// Each process must go on with all replicas that live, and drop those that died.
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLapse(t, seed) })
		})
	}
}

// lapseAll takes the table away, and drops all rows while it is.
func (table *sharedTable) lapseAll(sleep func(span timekeeper.Span)) {
	table.setAway(true)
	sleep(4 * timekeeper.Second)
	for number := range lapsing {
		table.write(follower.Change[string]{Key: fmt.Sprintf("r%d", number), Removed: true})
	}
}

// writeAgain lets each replica that lives write its row within two seconds.
func (table *sharedTable) writeAgain(sleep func(span timekeeper.Span), seed uint64) {
	for number := range lapsing - dead {
		go func() {
			sleep(timekeeper.Span(200 + (number*37+int(seed)*101)%1700))
			table.write(follower.Change[string]{Key: fmt.Sprintf("r%d", number), Value: "ready"})
		}()
	}
}

func playLapse(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(lapsing)
	fleet := startProcesses(ctx, table, 24, 4, 0, seed)
	sleep := func(span timekeeper.Span) { _ = fleet.clock.Sleep(ctx, span) }
	sleep(10 * timekeeper.Second)
	table.lapseAll(sleep)
	sleep(1900)
	for number := range 14 {
		go fleet.restart(ctx, number, startsAgain, seed+100)
	}
	sleep(400)
	table.setAway(false)
	table.writeAgain(sleep, seed)
	lived := fleet.running()[14:]
	for _, one := range lived {
		one.works()
	}
	sleep(goneAfter)
	for _, one := range lived {
		if _, fewest := one.works(); fewest < lapsing-dead {
			t.Errorf("%s, which went on: %d replicas could get work at the least", one.own.Address, fewest)
		}
	}
	for _, later := range []timekeeper.Span{0, 5 * timekeeper.Second, 15 * timekeeper.Second} {
		sleep(later)
		for _, one := range fleet.running() {
			if now, _ := one.works(); now != lapsing-dead {
				t.Errorf("%s: %d replicas can get work %d ms later", one.own.Address, now, later)
			}
		}
	}
}

func TestARowThatComesBackAtTheLastMoment(t *testing.T) {
	// After an outage a replica's row is missing. It is written again in time, after one
	// read and before the next, which begins when the time is over. The row was dropped
	// without that read, and each process was told that the replica leaves.
	for late := timekeeper.Span(0); late < replicaRest; late += 50 {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLastMoment(t, late) })
		})
	}
}

// replicaRest is the time between two reads while rows may be due to go.
const replicaRest = 450 * timekeeper.Millisecond

func playLastMoment(t *testing.T, late timekeeper.Span) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(2)
	fleet := startProcesses(ctx, table, 1, 1, 0, 1)
	go heartbeats(ctx, fleet.clock, table, 1)
	one := fleet.all[0]
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	table.setAway(true)
	_ = fleet.clock.Sleep(ctx, 4*timekeeper.Second)
	table.write(follower.Change[string]{Key: "r1", Removed: true})
	table.setAway(false)
	for one.follower.Failing() {
		_ = fleet.clock.Sleep(ctx, 1)
	}
	one.works()
	_ = fleet.clock.Sleep(ctx, 2200-late)
	table.write(follower.Change[string]{Key: "r1", Value: "ready"})
	_ = fleet.clock.Sleep(ctx, 5*timekeeper.Second)
	if now, fewest := one.works(); now != 2 || fewest != 2 {
		t.Errorf("written again %d ms before its time was over: %d replicas can get work, %d at the least", late, now, fewest)
	}
}

func TestRowsThatLapseBeforeASecondOutage(t *testing.T) {
	// The store is back for a moment, and away again before replicas have written their
	// rows; they do once it is back for good. The time for which missing rows are kept is
	// over in the second outage: callers would find no replica until the store answers, and
	// for two seconds more.
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSecondOutage(t, seed) })
		})
	}
}

func playSecondOutage(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(lapsing)
	fleet := startProcesses(ctx, table, 12, 3, 0, seed)
	sleep := func(span timekeeper.Span) { _ = fleet.clock.Sleep(ctx, span) }
	sleep(10 * timekeeper.Second)
	table.lapseAll(sleep)
	sleep(2 * timekeeper.Second)
	for _, one := range fleet.all {
		one.works()
	}
	table.setAway(false)
	sleep(timekeeper.Span(300 + 100*seed))
	table.setAway(true)
	sleep(3 * timekeeper.Second)
	table.setAway(false)
	table.writeAgain(sleep, seed)
	sleep(goneAfter)
	for _, one := range fleet.all {
		if now, fewest := one.works(); fewest < lapsing-dead || now != lapsing-dead {
			t.Errorf("%s: %d replicas can get work, %d at the least", one.own.Address, now, fewest)
		}
	}
}
