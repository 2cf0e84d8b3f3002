package simulator

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Policy is a placement policy: how entries choose engines.
type Policy string

// All policies but Fleet are baselines, which send each request at once, without queueing.
const (
	// Fleet is the policy of package balancer, which entries use in production.
	Fleet Policy = "fleet"
	// Random chooses an engine at random.
	Random Policy = "random"
	// LeastOutstanding chooses the engine with the fewest requests of the entry
	// that places the request.
	LeastOutstanding Policy = "least-outstanding"
	// Rendezvous chooses by a rendezvous hash of the deepest shared prompt part alone.
	Rendezvous Policy = "rendezvous"
	// TwoChoices chooses the less loaded of the two engines that rendezvous ranks first.
	TwoChoices Policy = "two-choices"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Fleet, Rendezvous, TwoChoices, LeastOutstanding, Random}
}

// baseline chooses an engine by a baseline policy. outstanding counts this entry's
// requests at each engine.
func (policy Policy) baseline(parts []balancer.Part, outstanding []int, rng *rand.Rand) int {
	switch policy {
	case LeastOutstanding:
		return indexOfMin(outstanding)
	case Rendezvous:
		first, _ := topTwo(parts, len(outstanding))
		return first
	case TwoChoices:
		first, second := topTwo(parts, len(outstanding))
		if outstanding[second] < outstanding[first] {
			return second
		}
		return first
	case Random, Fleet:
	}
	return rng.IntN(len(outstanding))
}

func indexOfMin(outstanding []int) int {
	least := 0
	for i := range outstanding {
		if outstanding[i] < outstanding[least] {
			least = i
		}
	}
	return least
}

// topTwo returns the two engines with the highest rendezvous hashes for the deepest shared
// part of a prompt.
func topTwo(parts []balancer.Part, engines int) (first, second int) {
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

// Settings are the site, policy and load of a run.
type Settings struct {
	Site   Site
	Policy Policy
	// Load multiplies the arrival rate throughout the run; Burst multiplies it again
	// from BurstFrom for BurstFor. Zero means one.
	Load  float64
	Burst float64
	// BurstFrom is the start of the burst, BurstFor its duration, Length the duration of
	// arrivals; a Length of zero means ten seconds.
	BurstFrom, BurstFor, Length timekeeper.Span
	// ReplaceInterval is the interval at which one entry is replaced, each time the next one;
	// zero means that none is replaced. It applies only to the policy Fleet.
	ReplaceInterval timekeeper.Span
	// Slow is the factor by which the first engine is slower; zero means one.
	Slow float64
	// FailedSource is the number, counted from one, of an engine that transfers nothing to
	// others from the middle of the run on; zero means none.
	FailedSource int
	// PrefillRate is how many tokens entries assume that engines prefill in a millisecond;
	// zero means the balancer's default.
	PrefillRate float64
	// KnownParts is how many prompt parts an entry remembers for all engines together;
	// zero means the balancer's default.
	KnownParts int
	// Hot is the share of each class's requests that use one hot context. Requests drawn at
	// random may use it too.
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
