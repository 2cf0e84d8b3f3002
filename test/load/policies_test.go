package load

import (
	"math/rand/v2"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
)

const slots, queueLength = 8, 64

// own is the system's way with a load factor.
func own(factor float64) policy {
	return policy{name: "trefoilseam", fetch: true, limits: admitter.Limits{
		Slots: slots, QueueLength: queueLength, UrgentSlots: 1, LoadFactor: factor,
		Backoff: admitter.Backoff{Draw: rand.New(rand.NewPCG(3, 5)).Float64},
	}}
}

// withoutFetching is the system's way where engines can't export a prefix.
func withoutFetching(factor float64) policy {
	made := own(factor)
	made.fetch = false
	return made
}

func plain(name string, order func(fleet *fleet, request request) []string) policy {
	limits := admitter.Limits{Slots: slots, QueueLength: queueLength}
	return policy{name: name, limits: limits, order: order, plain: true}
}

func rendezvous() policy {
	return plain("rendezvous", func(fleet *fleet, request request) []string {
		ranked := fleet.roster.Rank(request.chat, 3)
		names := make([]string, len(ranked))
		for i, replica := range ranked {
			names[i] = replica.Name
		}
		return names
	})
}

func baselines() []policy {
	turn := 0
	return []policy{
		plain("random", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			fleet.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			return names
		}),
		plain("round-robin", func(fleet *fleet, _ request) []string {
			names := fleet.names()
			turn++
			at := turn % len(names)
			return append(slices.Clone(names[at:]), names[:at]...)
		}),
		plain("least-outstanding", func(fleet *fleet, _ request) []string {
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

// oracle knows every cache and has no limit of load: it goes to where the
// longest prefix is, else to the replica with most free memory.
func oracle() policy {
	made := plain(oracleName, func(fleet *fleet, request request) []string {
		names := fleet.names()
		return []string{slices.MaxFunc(names, func(a, b string) int {
			left, right := fleet.members[a].cache, fleet.members[b].cache
			if by := left.tokens(request.chat) - right.tokens(request.chat); by != 0 {
				return int(by)
			}
			return int(right.used - left.used)
		})}
	})
	made.limits = admitter.Limits{Slots: 1 << 20}
	return made
}
