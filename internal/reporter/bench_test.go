package reporter

import (
	"fmt"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// size is a size of fleet to measure.
type size struct {
	name     string
	entries  int
	services int
	replicas int
	// scale multiplies an entry's cost, for services that aren't simulated but are like
	// those that are.
	scale int
}

var sizes = []size{
	{"2x9", 2, 1, 9, 1},
	{"10x50", 10, 2, 25, 1},
	{"50x400", 50, 4, 100, 1},
	// One of 17 services is simulated in full, with all entries; 3,100/17 is 183.
	{"380x3100", 380, 1, 183, 17},
}

const (
	todayBound  = 2 << 10
	designBound = 8 << 10
)

// configRate is the cost of polling the head of the configuration every two seconds,
// in bytes a second.
const configRate = 200

// openSessions is the maximum number of open sessions of a process: an entry of the design
// size has 3.2 calls a second, and idle sessions close after a minute.
const openSessions = 300

// otherCost returns the computed cost of a process besides digests, in bytes a second:
// the list at its limited rate, probes of open sessions, and the configuration.
func (size size) otherCost() int64 {
	sessions := min(openSessions, size.services*size.replicas*size.scale)
	return listRate + configRate + int64(dialer.Settings{}.ProbeRate(sessions))
}

// cost is the control traffic of a process in bytes a second.
type cost struct {
	agent int64
	entry int64
}

func measure(sim *simulation, scale int, span timekeeper.Span, churn func()) cost {
	now := sim.manual.Now()
	agents, entries := bytesSpent(sim.agents, now), bytesSpent(sim.entries, now)
	sim.run(span, churn)
	now = sim.manual.Now()
	seconds := int64(span / timekeeper.Second)
	return cost{
		agent: (bytesSpent(sim.agents, now) - agents) / int64(len(sim.agents)) / seconds,
		entry: int64(scale) * (bytesSpent(sim.entries, now) - entries) / int64(len(sim.entries)) / seconds,
	}
}

// churnEvery returns a function that restarts one agent after another as a new
// incarnation, one each span.
func (sim *simulation) churnEvery(span timekeeper.Span) func() {
	next := sim.manual.Now()
	at := 0
	return func() {
		if sim.manual.Now() < next {
			return
		}
		next = next.Add(span)
		agent := sim.agents[at%len(sim.agents)]
		at++
		agent.incarnation++
		agent.sequence = 0
		sim.startNode(agent, uint64(at))
	}
}

// traffic is the measurement at one size and its log line.
type traffic struct {
	worst cost
	text  string
}

// measureTraffic simulates a fleet of a size, first quiet, then with churn.
func measureTraffic(b *testing.B, size size) traffic {
	sim := newSimulation(b, 1, size.entries, size.services, size.replicas)
	for _, member := range sim.entries {
		member.exchanger.loadLimit /= size.scale
	}
	sim.run(updateLifetime+2*timekeeper.Second, nil)
	quiet := measure(sim, size.scale, 6*timekeeper.Second, nil)
	churn := measure(sim, size.scale, 6*timekeeper.Second, sim.churnEvery(5*timekeeper.Second))
	agentAges, entryAges := sim.ages(sim.agents), sim.ages(sim.entries)
	return traffic{
		worst: cost{agent: max(quiet.agent, churn.agent) + size.otherCost(), entry: max(quiet.entry, churn.entry) + size.otherCost()},
		text: fmt.Sprintf("%-9s digests: quiet: agent %d entry %d B/s; churn: agent %d entry %d B/s; "+
			"age at agents p50 %v p99 %v, at entries p50 %v p99 %v; all else %d B/s",
			size.name, quiet.agent, quiet.entry, churn.agent, churn.entry,
			quantile(agentAges, 0.5), quantile(agentAges, 0.99), quantile(entryAges, 0.5), quantile(entryAges, 0.99), size.otherCost()),
	}
}

// BenchmarkControlTraffic measures the control traffic of a process, quiet and with a
// replica replaced every five seconds, and fails when it exceeds its bounds.
func BenchmarkControlTraffic(b *testing.B) {
	// The simulations allocate much and keep little.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	for b.Loop() {
		measured := make([]traffic, len(sizes))
		var simulations sync.WaitGroup
		for i, size := range sizes {
			simulations.Go(func() { measured[i] = measureTraffic(b, size) })
		}
		simulations.Wait()
		costs := map[string]cost{}
		for i, size := range sizes {
			costs[size.name] = measured[i].worst
			b.Log(measured[i].text)
		}
		today, design := costs["2x9"], costs["380x3100"]
		b.ReportMetric(float64(max(today.agent, today.entry)), "bytes/s-today")
		b.ReportMetric(float64(max(design.agent, design.entry)), "bytes/s-design")
		if max(today.agent, today.entry) > todayBound || max(design.agent, design.entry) > designBound {
			b.Fatalf("over the bounds of %d and %d bytes a second", todayBound, designBound)
		}
		if growth := max(design.agent, design.entry) / max(1, max(today.agent, today.entry)); growth > 3100/9/4 {
			b.Fatalf("control traffic grew %d times for 344 times the replicas", growth)
		}
	}
}

// BenchmarkAgeAgainstBytes measures the curve from which messageLimit follows: the age
// of the loads that an agent knows, by the size of the messages between agents.
func BenchmarkAgeAgainstBytes(b *testing.B) {
	for b.Loop() {
		var simulations sync.WaitGroup
		for _, size := range []size{{"9", 1, 1, 9, 1}, {"183", 1, 1, 183, 1}} {
			for _, limit := range []int{messageLimit / 4, messageLimit / 2, messageLimit, 2 * messageLimit} {
				simulations.Go(func() { measureAges(b, size, limit) })
			}
		}
		simulations.Wait()
	}
}

// measureAges simulates a fleet with messages of a size and logs its point of the curve.
func measureAges(b *testing.B, size size, limit int) {
	sim := newSimulation(b, 1, size.entries, size.services, size.replicas)
	for _, member := range sim.all() {
		member.exchanger.limit = limit
	}
	sim.run(20*timekeeper.Second, nil)
	spent := measure(sim, 1, 10*timekeeper.Second, nil)
	ages := sim.ages(sim.agents)
	b.Logf("replicas %s, messages of %d bytes: %d B/s an agent, age p50 %v p99 %v", size.name, limit,
		spent.agent, quantile(ages, 0.5), quantile(ages, 0.99))
}

// timeUntil runs the fleet until every entry has the replica in the state, and returns
// how long that took.
func (sim *simulation) timeUntil(name, state string) timekeeper.Span {
	const step, timeout = 50 * timekeeper.Millisecond, timekeeper.Minute
	started := sim.manual.Now()
	for sim.manual.Now().Since(started) < timeout {
		informed := 0
		for _, entry := range sim.entries {
			for _, status := range entry.view.Status() {
				if status.Name == name && status.State == state {
					informed++
				}
			}
		}
		if informed == len(sim.entries) {
			return sim.manual.Now().Since(started)
		}
		sim.run(step, nil)
	}
	return timeout
}

// BenchmarkNewsReachesEveryEntry measures the time until every entry has received a
// leave, a crash and a new incarnation, and fails when a leave takes two seconds or
// longer.
func BenchmarkNewsReachesEveryEntry(b *testing.B) {
	for b.Loop() {
		var simulations sync.WaitGroup
		for _, size := range sizes[:3] {
			simulations.Go(func() { measureUpdates(b, size) })
		}
		simulations.Wait()
	}
}

// measureUpdates simulates a leave, a crash and a new incarnation in a fleet of a size.
func measureUpdates(b *testing.B, size size) {
	sim := newSimulation(b, 3, size.entries, size.services, size.replicas)
	sim.run(10*timekeeper.Second, nil)
	leaver, victim := sim.agents[0], sim.agents[1]
	leaver.state = encoder.ReplicaState_REPLICA_STATE_DRAINING
	leaver.exchanger.Announce(b.Context())
	leave := sim.timeUntil(leaver.name, "leaving")
	victim.down = true
	crash := sim.timeUntil(victim.name, "dead")
	victim.down = false
	victim.incarnation++
	victim.sequence = 0
	sim.startNode(victim, 9)
	join := sim.timeUntil(victim.name, "live")
	b.Logf("%-7s leave %v, crash %v, new incarnation %v", size.name, leave, crash, join)
	if leave >= 2*timekeeper.Second {
		b.Error("a leave took two seconds or longer")
	}
}
