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
	// lapsingReplicas is how many replicas' rows lapse, deadReplicas how many of these
	// died.
	lapsingReplicas, deadReplicas = 48, 2
	// removalBound is the time after the store's return within which a replica that died
	// must be removed.
	removalBound = 3500 * timekeeper.Millisecond
	// restartTime is how long a process takes to restart.
	restartTime = 2200 * timekeeper.Millisecond
)

func TestRowsThatAllLapseInAnOutage(t *testing.T) {
	// The store is unavailable for six seconds and all rows lapse. When it returns, half of
	// the processes restart, and each live replica writes its row within two seconds. Each
	// process must keep all live replicas and remove those that died. Guards against live
	// replicas, half of all and a quarter of a small service's, that got no work until the
	// day's end, while the others got all of it and exceeded their share.
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLapse(t, seed) })
		})
	}
}

// lapseAll makes the store unavailable and removes all rows in that time.
func (table *sharedTable) lapseAll(sleep func(span timekeeper.Span)) {
	table.setUnavailable(true)
	sleep(4 * timekeeper.Second)
	for number := range lapsingReplicas {
		table.write(follower.Change[string]{Key: fmt.Sprintf("r%d", number), Removed: true})
	}
}

// writeAgain lets each live replica write its row within two seconds.
func (table *sharedTable) writeAgain(sleep func(span timekeeper.Span), seed uint64) {
	for number := range lapsingReplicas - deadReplicas {
		go func() {
			sleep(timekeeper.Span(200 + (number*37+int(seed)*101)%1700))
			table.write(follower.Change[string]{Key: fmt.Sprintf("r%d", number), Value: "ready"})
		}()
	}
}

func runLapse(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(lapsingReplicas)
	fleet := startProcesses(ctx, table, 24, 4, 0, seed)
	sleep := func(span timekeeper.Span) { _ = fleet.clock.Sleep(ctx, span) }
	sleep(10 * timekeeper.Second)
	table.lapseAll(sleep)
	sleep(1900)
	for number := range 14 {
		go fleet.restart(ctx, number, restartTime, seed+100)
	}
	sleep(400)
	table.setUnavailable(false)
	table.writeAgain(sleep, seed)
	survivors := fleet.running()[14:]
	for _, node := range survivors {
		node.eligible()
	}
	sleep(removalBound)
	for _, node := range survivors {
		if _, minEligible := node.eligible(); minEligible < lapsingReplicas-deadReplicas {
			t.Errorf("%s, not restarted: at the minimum %d replicas could get work", node.own.Address, minEligible)
		}
	}
	for _, later := range []timekeeper.Span{0, 5 * timekeeper.Second, 15 * timekeeper.Second} {
		sleep(later)
		for _, node := range fleet.running() {
			if now, _ := node.eligible(); now != lapsingReplicas-deadReplicas {
				t.Errorf("%s: %d replicas can get work %d ms later", node.own.Address, now, later)
			}
		}
	}
}

func TestARowThatComesBackAtTheLastMoment(t *testing.T) {
	// After an outage a replica's row is missing. It is written again in time, but after
	// the last read before its lapse ends; the next read starts after that. Guards against
	// a row that was removed without this read, so that each process learnt that the
	// replica leaves.
	for late := timekeeper.Span(0); late < lapseReadInterval; late += 50 {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLastMoment(t, late) })
		})
	}
}

// lapseReadInterval is the time between two reads while lapsed rows may expire.
const lapseReadInterval = 450 * timekeeper.Millisecond

func runLastMoment(t *testing.T, late timekeeper.Span) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(2)
	fleet := startProcesses(ctx, table, 1, 1, 0, 1)
	go heartbeats(ctx, fleet.clock, table, 1)
	node := fleet.all[0]
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	table.setUnavailable(true)
	_ = fleet.clock.Sleep(ctx, 4*timekeeper.Second)
	table.write(follower.Change[string]{Key: "r1", Removed: true})
	table.setUnavailable(false)
	for node.follower.Failing() {
		_ = fleet.clock.Sleep(ctx, 1)
	}
	node.eligible()
	_ = fleet.clock.Sleep(ctx, 2200-late)
	table.write(follower.Change[string]{Key: "r1", Value: "ready"})
	_ = fleet.clock.Sleep(ctx, 5*timekeeper.Second)
	if now, minEligible := node.eligible(); now != 2 || minEligible != 2 {
		t.Errorf("written again %d ms before its lapse ended: %d replicas can get work, at the minimum %d", late, now, minEligible)
	}
}

func TestRowsThatLapseBeforeASecondOutage(t *testing.T) {
	// The store is back for a moment, and unavailable again before replicas have written
	// their rows; they do so after its final return. If missing rows expired in the second
	// outage, callers would find no replica until the store answers, and for two seconds
	// more.
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSecondOutage(t, seed) })
		})
	}
}

func runSecondOutage(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(lapsingReplicas)
	fleet := startProcesses(ctx, table, 12, 3, 0, seed)
	sleep := func(span timekeeper.Span) { _ = fleet.clock.Sleep(ctx, span) }
	sleep(10 * timekeeper.Second)
	table.lapseAll(sleep)
	sleep(2 * timekeeper.Second)
	for _, node := range fleet.all {
		node.eligible()
	}
	table.setUnavailable(false)
	sleep(timekeeper.Span(300 + 100*seed))
	table.setUnavailable(true)
	sleep(3 * timekeeper.Second)
	table.setUnavailable(false)
	table.writeAgain(sleep, seed)
	sleep(removalBound)
	for _, node := range fleet.all {
		if now, minEligible := node.eligible(); minEligible < lapsingReplicas-deadReplicas || now != lapsingReplicas-deadReplicas {
			t.Errorf("%s: %d replicas can get work, at the minimum %d", node.own.Address, now, minEligible)
		}
	}
}
