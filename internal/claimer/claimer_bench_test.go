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

// writeTakes is how long the store takes for a write in the benchmarks.
const writeTakes = 10 * timekeeper.Millisecond

// writesPerCall plays a minute of Poisson arrivals at one agent in virtual time.
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
			size := min(len(queue), mostInGroup)
			committer.Commit(context.Background(), queue[:size])
			queue, busy = queue[size:], writeTakes
		}
	}
	return float64(platform.Counts().Writes) / float64(calls)
}

func BenchmarkWritesForEachCall(b *testing.B) {
	tests := []struct {
		rate int
		most float64
	}{{1, 1}, {10, 1}, {50, 0.95}, {100, 0.8}, {250, 0.42}, {500, 0.22}}
	for _, test := range tests {
		b.Run(fmt.Sprintf("%d-a-second", test.rate), func(b *testing.B) {
			var writes float64
			for b.Loop() {
				writes = writesPerCall(test.rate)
			}
			b.ReportMetric(writes, "writes/call")
			b.ReportMetric(writes*float64(test.rate), "writes/s")
			if writes > test.most {
				b.Fatalf("%.2f writes a call, the bound is %.2f", writes, test.most)
			}
		})
	}
}

// answeredThroughOutage returns the share of orders that run while the store
// is down for a minute, at ten a second.
func answeredThroughOutage(minted bool) float64 {
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
		ask := Ask{Key: RowKey("t", "s", fmt.Sprint(i)), Request: fmt.Sprint(i)}
		if minted {
			keys, _ := mint.Make("t", "s", 1, clock.Now())
			expires, _, _ := mint.Check("t", "s", keys[0])
			ask.Key, ask.Minted, ask.Expires = RowKey("t", "s", keys[0]), true, expires
		}
		verdict := book.Ask(ask, clock.Now())
		if verdict.Step == Insert {
			verdict = book.Settle(ask, committer.Commit(context.Background(), []Row{verdict.Row})[0])
		}
		if verdict.Step == Proceed && book.Start(ask.Request, clock.Now()) {
			ran++
		}
	}
	return float64(ran) / orders
}

func BenchmarkOrdersThroughAStoreOutage(b *testing.B) {
	var plain, minted float64
	for b.Loop() {
		plain, minted = answeredThroughOutage(false), answeredThroughOutage(true)
	}
	b.ReportMetric(plain, "plain-share")
	b.ReportMetric(minted, "minted-share")
	if minted < 1 {
		b.Fatalf("%.2f of the orders with minted keys ran, the bound is all", minted)
	}
}
