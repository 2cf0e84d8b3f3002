package follower_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// drainBound is the time after which a replica whose row is gone may get no more work.
const drainBound = 4 * timekeeper.Second

func TestAReplicaGoesWhileNoReaderIsAnswered(t *testing.T) {
	// The store leaves the calls of all readers without an answer and would serve all others. A
	// replica is removed without having announced that it leaves. Guards against others that
	// wait until the readers' calls have failed, take the store to have been unavailable for
	// all, and keep the row for two seconds more.
	for _, after := range []timekeeper.Span{0, 300, 600, 900, 1200, 1500, 1800} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d ms, %d", after, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runSilentReaders(t, after, seed) })
			})
		}
	}
}

// runSilentReaders removes a row some time after the readers got their last answer, and checks
// when the other processes know.
func runSilentReaders(t *testing.T, after timekeeper.Span, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(12)
	fleet := startProcesses(ctx, table, 24, 3, 0, seed)
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second+timekeeper.Span(seed)*300)
	for _, node := range fleet.all {
		if node.isReader() {
			node.unanswered.Store(true)
		}
	}
	_ = fleet.clock.Sleep(ctx, after)
	written := fleet.clock.Now()
	table.write(follower.Change[string]{Key: "r1", Removed: true})
	_ = fleet.clock.Sleep(ctx, 8*timekeeper.Second)
	for _, node := range fleet.all {
		if node.unanswered.Load() {
			continue
		}
		node.mu.Lock()
		if at, found := node.knownAt["r1 gone"]; !found || at.Since(written) > drainBound {
			t.Errorf("%s: known after %d ms", node.own.Address, at.Since(written))
		}
		node.mu.Unlock()
	}
}
