package load

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// serviceRate is roughly how many calls of overload's mix six replicas complete in a
// second.
const serviceRate = 50

// overload offers a multiple of the service rate for a minute. Two of five teams
// send three and a half times as much as each other team. Most calls are of one of
// three classes, and each has a deadline of five seconds.
func overload(policy policy, multiple float64, faults ...func(fleet *fleet)) *fleet {
	const until, teams = float64(timekeeper.Minute), 5
	fleet := newFleet(policy, 6, 400_000)
	for _, fault := range faults {
		fault(fleet)
	}
	random := rand.New(rand.NewPCG(21, 34))
	for at, number := 0.0, 0; at < until; number++ {
		team := random.IntN(teams)
		if random.IntN(2) == 0 {
			team = random.IntN(2)
		}
		call := request{
			id: fmt.Sprint(number), team: fmt.Sprint("team-", team), chat: 1 + uint64(random.IntN(600)), class: []uint8{0, 3, 3, 3, 3, 3, 3, 3, 3, 6}[random.IntN(10)],
			promptTokens: 1000 + random.Int64N(2000), outputTokens: 100 + random.Int64N(120), deadline: 5 * timekeeper.Second,
		}
		fleet.at(timekeeper.Instant(at), func() { fleet.arrive(call) })
		at += random.ExpFloat64() * 1000 / (multiple * serviceRate)
	}
	fleet.run()
	return fleet
}

// outcome summarises the results of all calls.
type outcome struct {
	goodput float64
	// jain is Jain's fairness index over the work that was served for each team
	// that asked for more than its share.
	jain   float64
	served map[uint8]int
}

func outcomeOf(fleet *fleet) outcome {
	work := map[string]float64{}
	out := outcome{served: map[uint8]int{}}
	for _, result := range fleet.results {
		if result.served {
			out.goodput += float64(result.work())
			out.served[result.class]++
			work[result.team] += float64(result.work())
		}
	}
	sum, squares := 0.0, 0.0
	for _, share := range work {
		sum += share
		squares += share * share
	}
	out.jain = sum * sum / (float64(len(work)) * squares)
	return out
}

// BenchmarkOverload offers from half to four times the service rate.
func BenchmarkOverload(b *testing.B) {
	const minGoodput, minJain, maxOffersPerCall = 0.95, 0.95, 1.9
	for b.Loop() {
		for _, policy := range append(baselines(), systemPolicy(1.25)) {
			peak, last := 0.0, outcome{}
			var fleet *fleet
			for _, multiple := range []float64{0.5, 1, 1.5, 2, 3, 4} {
				fleet = overload(policy, multiple)
				last = outcomeOf(fleet)
				peak = max(peak, last.goodput)
				b.Logf("%s at %.1f: goodput %.0f, jain %.3f, served by class %v, offers %.2f",
					policy.name, multiple, last.goodput, last.jain, last.served, offersPerCall(fleet))
			}
			if policy.baseline {
				b.ReportMetric(last.goodput/peak, policy.name+"-goodput-at-4x")
				continue
			}
			b.ReportMetric(last.goodput/peak, "goodput-at-4x")
			b.ReportMetric(last.jain, "jain")
			b.ReportMetric(offersPerCall(fleet), "offers-per-call")
			if last.goodput < minGoodput*peak || last.jain < minJain || offersPerCall(fleet) > maxOffersPerCall || len(last.served) < 3 {
				b.Fatalf("goodput %.3f of the peak, jain %.3f, offers %.2f, by class %v",
					last.goodput/peak, last.jain, offersPerCall(fleet), last.served)
			}
		}
	}
}
