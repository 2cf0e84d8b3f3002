package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// writeDuration is the duration of a write to the store in the benchmarks.
const writeDuration = 10 * timekeeper.Millisecond

// writesPerCall simulates a minute of Poisson arrivals at one agent in virtual
// time and returns the number of store writes per claim.
func writesPerCall(rate int) float64 {
	clock := timekeeper.NewManual(1)
	platform := imitator.NewPlatform(clock.Clock())
	committer := NewCommitter(platform.InProcess().Table, clock.Now)
	random := rand.New(rand.NewPCG(1, uint64(rate)))
	calls, busy := 0, timekeeper.Span(0)
	var queue []Row
	for range timekeeper.Minute {
		clock.Advance(timekeeper.Millisecond)
		if random.IntN(1000) < rate {
			calls++
			owner := Owner{Agent: "a", Incarnation: 1, Request: fmt.Sprint(calls)}
			queue = append(queue, Row{Key: RowKey("t", "s", fmt.Sprint(calls)), Owner: owner, Expires: clock.Now().Add(timekeeper.Hour)})
		}
		busy--
		if busy <= 0 && len(queue) > 0 {
			size := min(len(queue), maxGroup)
			committer.Commit(context.Background(), queue[:size])
			queue, busy = queue[size:], writeDuration
		}
	}
	return float64(platform.Counts().Writes) / float64(calls)
}

func BenchmarkWritesForEachCall(b *testing.B) {
	tests := []struct {
		rate      int
		maxWrites float64
	}{{1, 1}, {10, 1}, {50, 0.95}, {100, 0.8}, {250, 0.42}, {500, 0.22}}
	for _, test := range tests {
		b.Run(fmt.Sprintf("%d-a-second", test.rate), func(b *testing.B) {
			var writes float64
			for b.Loop() {
				writes = writesPerCall(test.rate)
			}
			b.ReportMetric(writes, "writes/call")
			b.ReportMetric(writes*float64(test.rate), "writes/s")
			if writes > test.maxWrites {
				b.Fatalf("%.2f writes per call, limit %.2f", writes, test.maxWrites)
			}
		})
	}
}

// shareRunDuringOutage returns the share of orders that run during a store
// outage of one minute, at ten orders a second.
func shareRunDuringOutage(minted bool) float64 {
	clock := timekeeper.NewManual(1)
	platform := imitator.NewPlatform(clock.Clock())
	committer := NewCommitter(platform.InProcess().Table, clock.Now)
	book := NewBook(Settings{Name: "a", Incarnation: 1})
	mint := minter.New("a", 1, 0)
	platform.SetFaults(imitator.PlatformFaults{Down: true})
	const orders = 600
	ran := 0
	for i := range orders {
		clock.Advance(timekeeper.Minute / orders)
		claim := Claim{Key: RowKey("t", "s", fmt.Sprint(i)), Request: fmt.Sprint(i)}
		if minted {
			keys, _ := mint.Make("t", "s", 1, clock.Now())
			expires, _, _ := mint.Check("t", "s", keys[0])
			claim.Key, claim.Minted, claim.Expires = RowKey("t", "s", keys[0]), true, expires
		}
		verdict := book.Claim(claim, clock.Now())
		if verdict.Step == Insert {
			verdict = book.Resolve(claim, committer.Commit(context.Background(), []Row{verdict.Row})[0])
		}
		if verdict.Step == Proceed && book.Start(claim.Request, clock.Now()) {
			ran++
		}
	}
	return float64(ran) / orders
}

func BenchmarkOrdersThroughAStoreOutage(b *testing.B) {
	var plain, minted float64
	for b.Loop() {
		plain, minted = shareRunDuringOutage(false), shareRunDuringOutage(true)
	}
	b.ReportMetric(plain, "plain-share")
	b.ReportMetric(minted, "minted-share")
	if minted < 1 {
		b.Fatalf("a share of %.2f of the orders with minted keys ran, want all", minted)
	}
}
