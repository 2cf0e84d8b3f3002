package load

import (
	"math/rand/v2"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
)

const slots, queueLength = 8, 64

// systemPolicy returns the placement and admission policy of trefoilseam with a load
// factor.
func systemPolicy(factor float64) policy {
	return policy{name: "trefoilseam", fetch: true, limits: admitter.Limits{
		Slots: slots, QueueLength: queueLength, UrgentSlots: 1, LoadFactor: factor,
		Backoff: admitter.Backoff{Draw: rand.New(rand.NewPCG(3, 5)).Float64},
	}}
}

// withoutFetching is systemPolicy for engines that can't export a prefix.
func withoutFetching(factor float64) policy {
	withoutFetch := systemPolicy(factor)
	withoutFetch.fetch = false
	return withoutFetch
}

func baseline(name string, order func(fleet *fleet, request request) []string) policy {
	limits := admitter.Limits{Slots: slots, QueueLength: queueLength}
	return policy{name: name, limits: limits, order: order, baseline: true}
}

func rendezvous() policy {
	return baseline("rendezvous", func(fleet *fleet, request request) []string {
		ranked := fleet.roster.Rank(request.chat, 3)
		names := make([]string, len(ranked))
		for i, replica := range ranked {
			names[i] = replica.Name
		}
		return names
	})
}

func baselines() []policy {
	next := 0
	return []policy{
		baseline("random", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			fleet.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			return names
		}),
		baseline("round-robin", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			next++
			at := next % len(names)
			return append(slices.Clone(names[at:]), names[:at]...)
		}),
		baseline("least-outstanding", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			slices.SortStableFunc(names, func(a, b string) int {
				left, right := fleet.members[a].controller.Load(), fleet.members[b].controller.Load()
				return left.Running + left.Waiting - right.Running - right.Waiting
			})
			return names
		}),
		rendezvous(),
	}
}

const oracleName = "oracle"

// oracle knows every cache and has no load limit: it chooses the replica with the
// longest prefix, else the one with most free memory.
func oracle() policy {
	unlimited := baseline(oracleName, func(fleet *fleet, request request) []string {
		names := fleet.names()
		return []string{slices.MaxFunc(names, func(a, b string) int {
			left, right := fleet.members[a].cache, fleet.members[b].cache
			if by := left.tokens(request.chat) - right.tokens(request.chat); by != 0 {
				return int(by)
			}
			return int(right.used - left.used)
		})}
	})
	unlimited.limits = admitter.Limits{Slots: 1 << 20}
	return unlimited
}
