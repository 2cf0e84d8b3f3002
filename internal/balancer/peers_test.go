package balancer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestTotalsOfPeersMatchTheirDigests(t *testing.T) {
	// Guards against totals that drift and make a replica look full, or empty, for good.
	// Digests of many peers arrive, replace each other and expire in any order; the total at a
	// replica must be the sum of the digests in force.
	rapid.Check(t, func(t *rapid.T) {
		fleet, now := plannerFleet(4), start
		type received struct {
			held  map[Key]InFlight
			until timekeeper.Instant
		}
		all := map[string]received{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(timekeeper.Span(rapid.IntRange(0, 400).Draw(t, "pause")))
			peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			lifetime := timekeeper.Span(rapid.IntRange(1, 1500).Draw(t, "life"))
			held := map[Key]InFlight{}
			for _, key := range rapid.SliceOfDistinct(rapid.Uint32Range(1, 4), rapid.ID[uint32]).Draw(t, "keys") {
				held[Key(key)] = InFlight{Running: rapid.IntRange(0, 9).Draw(t, "running"), PendingTokens: rapid.IntRange(0, 9).Draw(t, "unread")}
			}
			fleet.SetPeerInFlight(peer, held, lifetime, now)
			all[peer] = received{held: held, until: now.Add(lifetime)}
			now = now.Add(timekeeper.Span(rapid.IntRange(0, 400).Draw(t, "wait")))
			fleet.dropExpired(now)
			for key := range Key(5) {
				var want InFlight
				for _, digest := range all {
					if now <= digest.until {
						want.Running += digest.held[key].Running
						want.PendingTokens += digest.held[key].PendingTokens
					}
				}
				if got := fleet.inFlightOfPeers(key); got != want {
					t.Fatalf("peers have %+v in flight at key %d, want %+v", got, key, want)
				}
			}
		}
	})
}

func BenchmarkChooseAmongPeers(b *testing.B) {
	for _, size := range []struct{ entries, replicas int }{{4, 9}, {103, 180}, {380, 400}} {
		b.Run(fmt.Sprintf("entries=%d,replicas=%d", size.entries, size.replicas), func(b *testing.B) {
			fleet := plannerFleet(size.replicas)
			list := replicasOf("planner", size.replicas, 64)
			for peer := range size.entries - 1 {
				held := map[Key]InFlight{}
				for number := range 20 {
					held[list[(peer*7+number*13)%len(list)].Key()] = InFlight{Running: 1, PendingTokens: 100}
				}
				fleet.SetPeerInFlight(fmt.Sprint(peer), held, timekeeper.Hour, start)
			}
			own := uint64(0)
			for b.Loop() {
				own++
				if placement, _ := fleet.Choose(promptRequest(own%26, own), start); placement != nil {
					fleet.End(placement, Served, start)
				}
			}
		})
	}
}
