package publisher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// fleet runs many RevisionStates in virtual time, in steps of tick. Only reads of the
// store and messages between peers are modelled; every decision is made by the package.
type fleet struct {
	random       *rand.Rand
	now          timekeeper.Instant
	interval     timekeeper.Span
	storeLatency timekeeper.Span // latency of each call to the store
	head         uint64
	down         bool
	isolated     []bool // by process: it reaches neither the store nor the other side
	procs        []member
	schedule     map[timekeeper.Instant][]func()
	reads        int
	failure      string
}

// member is one process; a restart increments its incarnation.
type member struct {
	state       RevisionState
	incarnation int
	serving     bool
	start       StartupState
	budget      storekeeper.Budget
	served      uint64 // highest revision with which any incarnation has served
}

const tick = 10 * timekeeper.Millisecond

func newFleet(seed uint64, size int, interval timekeeper.Span) *fleet {
	fleet := &fleet{
		random:   rand.New(rand.NewPCG(seed, 3)),
		now:      timekeeper.Instant(timekeeper.Hour),
		interval: interval,
		head:     1,
		isolated: make([]bool, size),
		procs:    make([]member, size),
		schedule: map[timekeeper.Instant][]func(){},
	}
	for i := range fleet.procs {
		fleet.procs[i] = member{state: RevisionState{}.activated(1), serving: true, served: 1}
		fleet.schedulePoll(i, timekeeper.Span(fleet.random.Float64()*float64(interval)))
	}
	return fleet
}

func (state RevisionState) activated(revision uint64) RevisionState {
	state, _ = state.Activate(revision)
	return state
}

func (fleet *fleet) scheduleAfter(span timekeeper.Span, work func()) {
	due := fleet.now.Add(max(tick, span/tick*tick))
	fleet.schedule[due] = append(fleet.schedule[due], work)
}

// schedulePoll schedules the next poll of a process.
func (fleet *fleet) schedulePoll(i int, wait timekeeper.Span) {
	incarnation := fleet.procs[i].incarnation
	fleet.scheduleAfter(wait, func() {
		if fleet.procs[i].incarnation == incarnation {
			fleet.poll(i)
		}
	})
}

func (fleet *fleet) advance(span timekeeper.Span) {
	for end := fleet.now.Add(span); fleet.now < end; {
		fleet.now = fleet.now.Add(tick)
		due := fleet.schedule[fleet.now]
		delete(fleet.schedule, fleet.now)
		for _, work := range due {
			work()
		}
	}
}

func (fleet *fleet) poll(i int) {
	proc := &fleet.procs[i]
	if !fleet.readStore(i) {
		proc.state = proc.state.RecordStoreFailure()
		fleet.askPeers(i)
		fleet.scheduleNextPoll(i)
		return
	}
	head, incarnation := fleet.head, proc.incarnation
	fleet.scheduleAfter(fleet.storeLatency, func() {
		if proc.incarnation != incarnation {
			return
		}
		bodyWanted := false
		proc.state, bodyWanted = proc.state.RecordHead(head, fleet.now)
		if !bodyWanted || !fleet.readStore(i) {
			fleet.serve(i)
			fleet.scheduleNextPoll(i)
			return
		}
		fleet.scheduleAfter(fleet.storeLatency, func() {
			if proc.incarnation == incarnation {
				fleet.activate(i, head)
				fleet.serve(i)
				fleet.scheduleNextPoll(i)
			}
		})
	})
}

// readStore makes one read for a process within its store budget, and reports whether
// the store answers. After failures the budget allows no read for a while, even when
// the store is back.
func (fleet *fleet) readStore(i int) bool {
	proc := &fleet.procs[i]
	rates := storekeeper.Rates{Reads: resolver.DefaultStoreReads, Writes: resolver.DefaultStoreWrites}
	budget, allowed := proc.budget.Allow(false, rates, fleet.now)
	proc.budget = budget
	if !allowed {
		return false
	}
	answers := !fleet.down && !fleet.isolated[i]
	proc.budget = proc.budget.Record(answers, fleet.random.Float64(), fleet.now)
	if answers {
		fleet.reads++
	}
	return answers
}

func (fleet *fleet) scheduleNextPoll(i int) {
	fleet.schedulePoll(i, fleet.procs[i].state.PollDelay(fleet.interval, fleet.random.Float64()))
}

// activate brings a revision into force; nothing else does.
func (fleet *fleet) activate(i int, revision uint64) {
	proc := &fleet.procs[i]
	before := proc.state.InForce
	proc.state, _ = proc.state.Activate(revision)
	if proc.state.InForce < before {
		fleet.failure = fmt.Sprintf("process %d went back from revision %d to %d", i, before, proc.state.InForce)
	}
	if proc.serving {
		proc.served = max(proc.served, proc.state.InForce)
	}
}

func (fleet *fleet) serve(i int) {
	proc := &fleet.procs[i]
	if proc.serving || proc.state.InForce == 0 {
		return
	}
	proc.serving = true
	proc.served = max(proc.served, proc.state.InForce)
}

// askPeers asks peers as a Watcher does: a few while it serves, many while it starts.
func (fleet *fleet) askPeers(i int) {
	proc := &fleet.procs[i]
	maxPeers := MinAnswers
	if !proc.serving {
		maxPeers = MaxStartupPeers
	}
	peers := fleet.random.Perm(len(fleet.procs))
	asked, answered, highest := 0, 0, uint64(0)
	for _, j := range peers {
		if j == i || asked == maxPeers {
			continue
		}
		asked++
		if fleet.isolated[i] != fleet.isolated[j] || !fleet.procs[j].serving && proc.serving {
			continue
		}
		answered++
		highest = max(highest, fleet.procs[j].state.InForce, fleet.procs[j].state.HighestKnown)
		if revision := fleet.procs[j].state.InForce; revision > proc.state.InForce {
			fleet.activate(i, revision)
		}
	}
	if proc.serving {
		return
	}
	proc.start = proc.start.WithRound(len(peers)-1, answered, max(highest, proc.state.InForce), fleet.now)
	if revision, ready := proc.start.Ready(fleet.now); ready && proc.state.InForce >= revision {
		fleet.serve(i)
	}
}

// sendRevision sends a message with a revision between two random processes.
func (fleet *fleet) sendRevision() {
	from, to := fleet.random.IntN(len(fleet.procs)), fleet.random.IntN(len(fleet.procs))
	if from == to || fleet.isolated[from] != fleet.isolated[to] || !fleet.procs[from].serving {
		return
	}
	proc := &fleet.procs[to]
	state, changed := proc.state.ReceiveRevision(fleet.procs[from].state.InForce, fleet.now)
	proc.state = state
	if changed {
		// The poll that is already scheduled stays; an additional one does no harm.
		fleet.scheduleAfter(state.EarlyPollDelay(fleet.interval, fleet.random.Float64()), func() { fleet.pollOnce(to) })
	}
}

// pollOnce polls without scheduling the next poll.
func (fleet *fleet) pollOnce(i int) {
	head, body := fleet.readStore(i), fleet.readStore(i)
	if !head || !body {
		fleet.askPeers(i)
		return
	}
	revision, incarnation := fleet.head, fleet.procs[i].incarnation
	fleet.scheduleAfter(2*fleet.storeLatency, func() {
		if fleet.procs[i].incarnation == incarnation {
			fleet.activate(i, revision)
		}
	})
}

func (fleet *fleet) restart(i int) {
	proc := &fleet.procs[i]
	*proc = member{incarnation: proc.incarnation + 1, served: proc.served}
	fleet.schedulePoll(i, tick)
}

// converged reports whether every process serves with the head.
func (fleet *fleet) converged() bool {
	return !slices.ContainsFunc(fleet.procs, func(proc member) bool {
		return !proc.serving || proc.state.InForce < fleet.head
	})
}

// knows reports whether a process that i can reach has or knows of a revision.
func (fleet *fleet) knows(i int, revision uint64) bool {
	for j := range fleet.procs {
		state := fleet.procs[j].state
		if j != i && fleet.isolated[i] == fleet.isolated[j] && max(state.InForce, state.HighestKnown) >= revision {
			return true
		}
	}
	return false
}

// bound is the time within which a change must be in force everywhere.
const bound = 13 * timekeeper.Second

func TestRevisionsNeverFall(t *testing.T) {
	// Operators accept changes during outages of the store, partitions of sites, and
	// restarts of single processes and of all entries together. No process may serve
	// with a lower revision than it did before, unless no process that it can reach
	// knows of the higher one. Once all is reachable again, the last accepted revision
	// must be in force everywhere within 13 s.
	const schedules, size, rounds = 2000, 12, 30
	for seed := range uint64(schedules) {
		fleet := newFleet(seed, size, 2*timekeeper.Second)
		for range rounds {
			injectFault(fleet)
			before := make([]uint64, size)
			for i, proc := range fleet.procs {
				before[i] = proc.served
			}
			wasServing := servingOf(fleet)
			for range 20 {
				fleet.advance(100 * timekeeper.Millisecond)
				fleet.sendRevision()
			}
			for i, proc := range fleet.procs {
				if proc.serving && !wasServing[i] && proc.state.InForce < before[i] && fleet.knows(i, before[i]) {
					t.Fatalf("schedule %d: process %d restarted with revision %d after %d", seed, i, proc.state.InForce, before[i])
				}
			}
		}
		fleet.down = false
		clear(fleet.isolated)
		fleet.advance(bound)
		if !fleet.converged() || fleet.failure != "" {
			t.Fatalf("schedule %d: revision %d isn't in force everywhere after %s: %+v %s", seed, fleet.head, bound, fleet.procs, fleet.failure)
		}
	}
}

func servingOf(fleet *fleet) []bool {
	serving := make([]bool, len(fleet.procs))
	for i, proc := range fleet.procs {
		serving[i] = proc.serving
	}
	return serving
}

func injectFault(fleet *fleet) {
	random := fleet.random
	switch random.IntN(6) {
	case 0:
		fleet.down = !fleet.down
	case 1:
		from := random.IntN(len(fleet.isolated))
		side := random.IntN(2) == 0
		for i := from; i < min(len(fleet.isolated), from+4); i++ {
			fleet.isolated[i] = side
		}
	case 2:
		for i := range 3 {
			fleet.restart(i)
		}
	case 3:
		fleet.restart(random.IntN(len(fleet.procs)))
	default:
		if !fleet.down {
			fleet.head++
		}
	}
}

// BenchmarkConfigInForce measures the virtual time from the acceptance of a change until
// it is in force at every process.
func BenchmarkConfigInForce(b *testing.B) {
	tests := []struct {
		name         string
		size         int
		interval     timekeeper.Span
		storeLatency timekeeper.Span
		bound        timekeeper.Span
	}{
		{"processes=20", 20, 2 * timekeeper.Second, 5, 4 * timekeeper.Second},
		{"processes=20/store-slow", 20, 2 * timekeeper.Second, 1500, 8 * timekeeper.Second},
		{"processes=400", 400, 2 * timekeeper.Second, 5, 4 * timekeeper.Second},
		{"processes=3480", 3480, 6 * timekeeper.Second, 5, 9 * timekeeper.Second},
		{"processes=3480/store-slow", 3480, 6 * timekeeper.Second, 1500, bound},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			for range b.N {
				const changes = 40
				fleet := newFleet(1, test.size, test.interval)
				fleet.storeLatency = test.storeLatency
				took := make([]timekeeper.Span, 0, changes)
				for range changes {
					took = append(took, fleet.change())
					fleet.advance(timekeeper.Span(fleet.random.IntN(int(test.interval))))
				}
				slices.Sort(took)
				worst := took[len(took)-1]
				b.ReportMetric(float64(took[len(took)/2]), "median-ms")
				b.ReportMetric(float64(took[len(took)*99/100]), "p99-ms")
				b.ReportMetric(float64(worst), "worst-ms")
				b.ReportMetric(fleet.idleReads(), "reads/s")
				if worst > test.bound {
					b.Fatalf("worst %s is over the bound of %s", worst, test.bound)
				}
			}
		})
	}
}

// change accepts a change and returns the time until it is in force everywhere.
func (fleet *fleet) change() timekeeper.Span {
	fleet.head++
	accepted := fleet.now
	for !fleet.converged() {
		fleet.advance(100 * timekeeper.Millisecond)
		for range max(1, len(fleet.procs)/10) {
			fleet.sendRevision()
		}
	}
	return fleet.now.Since(accepted)
}

// idleReads returns the reads of the store a second while nothing changes.
func (fleet *fleet) idleReads() float64 {
	const idleSeconds = 60
	before := fleet.reads
	fleet.advance(idleSeconds * timekeeper.Second)
	return float64(fleet.reads-before) / idleSeconds
}

func TestLongOutageDelaysNoLaterChange(t *testing.T) {
	// Operators may apply a change that fixes the cause of an outage as soon as the store
	// is back, when the store budget of every process is in its longest pause. The change
	// must be in force everywhere within the bound all the same.
	const schedules, size = 200, 12
	for seed := range uint64(schedules) {
		fleet := newFleet(seed, size, 6*timekeeper.Second)
		fleet.down = true
		fleet.advance(5 * timekeeper.Minute)
		fleet.down = false
		fleet.head++
		fleet.advance(bound)
		if !fleet.converged() || fleet.failure != "" {
			t.Fatalf("schedule %d: not in force everywhere after %s: %+v %s", seed, bound, fleet.procs, fleet.failure)
		}
	}
}
