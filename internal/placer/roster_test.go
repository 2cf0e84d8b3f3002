package placer

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func replicas(count int) []Replica {
	list := make([]Replica, count)
	for i := range list {
		list[i] = Replica{Name: fmt.Sprintf("planner-%d", i+1)}
	}
	return list
}

func names(ranked []Replica) []string {
	out := make([]string, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].Name
	}
	return out
}

// TestRankingThroughChange checks the two properties that prefix reuse depends
// on, for any order of the replicas: when a replica leaves, the runner-up becomes
// the home, and when one joins, the previous home becomes the runner-up.
func TestRankingThroughChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 40).Draw(t, "count")
		list := replicas(count)
		for i := range list {
			list[i].Weight = rapid.IntRange(1, 4).Draw(t, "weight")
		}
		leaver := rapid.IntRange(0, count-1).Draw(t, "leaver")
		chat := rapid.Uint64().Draw(t, "chat")
		before := names(NewRoster(list).Rank(chat, count))
		rest := slices.Delete(slices.Clone(list), leaver, leaver+1)
		slices.Reverse(rest)
		after := names(NewRoster(rest).Rank(chat, count))
		want := slices.DeleteFunc(slices.Clone(before), func(name string) bool { return name == list[leaver].Name })
		if !slices.Equal(want, after) {
			t.Fatalf("before %v, without %s %v", before, list[leaver].Name, after)
		}
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		if top := names(NewRoster(list).Rank(chat, limit)); !slices.Equal(top, before[:min(limit, count)]) {
			t.Fatalf("the first %d are %v, of %v", limit, top, before)
		}
	})
}

// shares returns the smallest and the largest share of chats of a replica
// relative to its weight, as multiples of the mean.
func shares(list []Replica, chats uint64) (smallest, largest float64) {
	roster := NewRoster(list)
	counts := map[string]float64{}
	for chat := range chats {
		counts[roster.Rank(mix(chat, 7), 1)[0].Name]++
	}
	weights := 0.0
	for _, replica := range list {
		weights += float64(max(1, replica.Weight))
	}
	smallest = math.Inf(1)
	for _, replica := range list {
		share := counts[replica.Name] * weights / float64(chats) / float64(max(1, replica.Weight))
		smallest, largest = min(smallest, share), max(largest, share)
	}
	return smallest, largest
}

func TestSharesFollowWeights(t *testing.T) {
	weighted := replicas(12)
	weighted[3].Weight, weighted[7].Weight = 2, 4
	tests := []struct {
		name              string
		list              []Replica
		smallest, largest float64
	}{
		{"nine replicas", replicas(9), 0.8, 1.2},
		{"twelve replicas of three weights", weighted, 0.8, 1.25},
		{"182 replicas", replicas(182), 0.6, 1.35},
	}
	Convey("each replica's part of the chats is close to its weight", t, func() {
		for _, test := range tests {
			smallest, largest := shares(test.list, 200_000)
			t.Logf("%s: smallest %.3f, largest %.3f of the mean", test.name, smallest, largest)
			So(smallest, ShouldBeGreaterThan, test.smallest)
			So(largest, ShouldBeLessThan, test.largest)
		}
	})
	Convey("an empty roster ranks nothing", t, func() {
		So(NewRoster(nil).Rank(1, 3), ShouldBeEmpty)
		So(Roster{}.Rank(1, 3), ShouldBeEmpty)
	})
}

// BenchmarkRank measures the cost of one ranking and fails when the cost grows
// too fast: at 3,100 replicas, 258 times as many as 12, a ranking may cost at most
// eight times as much as at 12.
func BenchmarkRank(b *testing.B) {
	const growth, decisions = 8, 50_000
	var first float64
	for _, count := range []int{12, 182, 3100} {
		roster := NewRoster(replicas(count))
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			allocs := testing.AllocsPerRun(100, func() { roster.Rank(7, MaxOffers) })
			rounds := 0
			for b.Loop() {
				rounds++
				for i := range uint64(decisions) {
					roster.Rank(mix(i, 1), MaxOffers)
				}
			}
			cost := float64(b.Elapsed().Nanoseconds()) / float64(rounds*decisions)
			b.ReportMetric(cost, "ns/decision")
			b.ReportMetric(allocs, "allocs/decision")
			if allocs > 1 {
				b.Fatalf("%v allocations a decision; the bound is 1", allocs)
			}
			if first == 0 {
				first = cost
			}
			if cost > growth*first {
				b.Fatalf("%.0f ns at %d replicas against %.0f ns at 12", cost, count, first)
			}
		})
	}
}

// BenchmarkNewRoster measures the cost of one change of a roster.
func BenchmarkNewRoster(b *testing.B) {
	list := replicas(3100)
	for b.Loop() {
		NewRoster(list)
	}
}
