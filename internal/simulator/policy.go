package simulator

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Policy is how entries choose engines.
type Policy string

// The policies. All but Fleet are baselines: they send each request at once.
const (
	// Fleet is package balancer as entries use it.
	Fleet Policy = "fleet"
	// Random takes any engine.
	Random Policy = "random"
	// LeastOutstanding takes the engine with the fewest requests of this entry.
	LeastOutstanding Policy = "least-outstanding"
	// Rendezvous ranks engines by the deepest shared prompt part, and looks at
	// nothing else.
	Rendezvous Policy = "rendezvous"
	// TwoChoices takes the emptier of the two that rendezvous ranks first.
	TwoChoices Policy = "two-choices"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Fleet, Rendezvous, TwoChoices, LeastOutstanding, Random}
}

// baseline chooses an engine by a policy that isn't Fleet. running counts this
// entry's requests at each engine.
func (policy Policy) baseline(parts []balancer.Part, running []int, draws *rand.Rand) int {
	switch policy {
	case LeastOutstanding:
		return leastOf(running)
	case Rendezvous:
		first, _ := ranked(parts, len(running))
		return first
	case TwoChoices:
		first, second := ranked(parts, len(running))
		if running[second] < running[first] {
			return second
		}
		return first
	case Random, Fleet:
	}
	return draws.IntN(len(running))
}

func leastOf(running []int) int {
	least := 0
	for i := range running {
		if running[i] < running[least] {
			least = i
		}
	}
	return least
}

// ranked returns the two engines that rendezvous ranks first for a prompt.
func ranked(parts []balancer.Part, engines int) (first, second int) {
	shared := parts[max(0, len(parts)-2)].ID
	weights := make([]uint64, engines)
	for i := range weights {
		weights[i] = xxhash.Sum64([]byte{byte(i), byte(shared), byte(shared >> 8), byte(shared >> 16), byte(shared >> 24)})
	}
	first, second = 0, min(1, engines-1)
	for i := range weights {
		switch {
		case weights[i] > weights[first]:
			first, second = i, first
		case i != first && weights[i] > weights[second]:
			second = i
		}
	}
	return first, second
}

// Settings of a run.
type Settings struct {
	Site   Site
	Policy Policy
	// Load multiplies the arrivals, all the time, and Burst from BurstFrom for
	// BurstFor on top of that; zero means one.
	Load  float64
	Burst float64
	// BurstFrom, BurstFor and Length are spans of the run.
	BurstFrom, BurstFor, Length timekeeper.Span
	// RestartInterval is the time from one replacement of an entry to the next; zero means
	// that none is replaced. Only the policy Fleet has entries to replace.
	RestartInterval timekeeper.Span
	// Slow is the factor by which the first engine is slower; zero means one.
	Slow float64
	// FailedSource is an engine that hands on nothing from the middle of the run on, by its
	// number from one; zero means none.
	FailedSource int
	// PrefillRate is what entries take the engines to read in a millisecond; zero means
	// what they take without being told.
	PrefillRate float64
	// KnownParts is how many prompt parts an entry remembers of all engines together;
	// zero means what it remembers without being told.
	KnownParts int
	// Hot is the share of each class's requests that are about one thing.
	Hot  float64
	Seed uint64
}

func (settings Settings) withDefaults() Settings {
	for _, field := range []*float64{&settings.Load, &settings.Burst, &settings.Slow} {
		if *field == 0 {
			*field = 1
		}
	}
	if settings.Policy == "" {
		settings.Policy = Fleet
	}
	if settings.Length == 0 {
		settings.Length = 10 * timekeeper.Second
	}
	return settings
}
