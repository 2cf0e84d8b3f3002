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

// fleet runs many Standings in virtual time, in steps of tick. Only reading,
// hearing and asking are modelled; every decision is the package's own.
type fleet struct {
	draws   *rand.Rand
	now     timekeeper.Instant
	every   timekeeper.Span
	slow    timekeeper.Span // of each call to the store
	head    uint64
	down    bool
	cut     []bool // by process: neither store nor peers are reached
	procs   []member
	agenda  map[timekeeper.Instant][]func()
	reads   int
	problem string
}

// member is one process; a restart gives it a new incarnation.
type member struct {
	standing    Standing
	incarnation int
	serving     bool
	start       Start
	budget      storekeeper.Budget
	served      uint64 // highest revision that any incarnation served with
}

const tick = 10 * timekeeper.Millisecond

func newFleet(seed uint64, size int, every timekeeper.Span) *fleet {
	fleet := &fleet{
		draws:  rand.New(rand.NewPCG(seed, 3)),
		now:    timekeeper.Instant(timekeeper.Hour),
		every:  every,
		head:   1,
		cut:    make([]bool, size),
		procs:  make([]member, size),
		agenda: map[timekeeper.Instant][]func(){},
	}
	for i := range fleet.procs {
		fleet.procs[i] = member{standing: Standing{}.taken(1), serving: true, served: 1}
		fleet.plan(i, timekeeper.Span(fleet.draws.Float64()*float64(every)))
	}
	return fleet
}

func (standing Standing) taken(revision uint64) Standing {
	standing, _ = standing.Take(revision)
	return standing
}

func (fleet *fleet) at(span timekeeper.Span, work func()) {
	due := fleet.now.Add(max(tick, span/tick*tick))
	fleet.agenda[due] = append(fleet.agenda[due], work)
}

// plan plans the next look of a process.
func (fleet *fleet) plan(i int, wait timekeeper.Span) {
	incarnation := fleet.procs[i].incarnation
	fleet.at(wait, func() {
		if fleet.procs[i].incarnation == incarnation {
			fleet.look(i)
		}
	})
}

func (fleet *fleet) advance(span timekeeper.Span) {
	for end := fleet.now.Add(span); fleet.now < end; {
		fleet.now = fleet.now.Add(tick)
		due := fleet.agenda[fleet.now]
		delete(fleet.agenda, fleet.now)
		for _, work := range due {
			work()
		}
	}
}

func (fleet *fleet) look(i int) {
	proc := &fleet.procs[i]
	if !fleet.reaches(i) {
		proc.standing = proc.standing.Miss()
		fleet.askPeers(i)
		fleet.planNext(i)
		return
	}
	head, incarnation := fleet.head, proc.incarnation
	fleet.at(fleet.slow, func() {
		if proc.incarnation != incarnation {
			return
		}
		wanted := false
		proc.standing, wanted = proc.standing.Read(head, fleet.now)
		if !wanted || !fleet.reaches(i) {
			fleet.serve(i)
			fleet.planNext(i)
			return
		}
		fleet.at(fleet.slow, func() {
			if proc.incarnation == incarnation {
				fleet.take(i, head)
				fleet.serve(i)
				fleet.planNext(i)
			}
		})
	})
}

// reaches makes one read for a process through its meter, and reports whether
// the store answers. After failures the meter sends nothing for a while, also
// when the store is back.
func (fleet *fleet) reaches(i int) bool {
	proc := &fleet.procs[i]
	rates := storekeeper.Rates{Reads: resolver.DefaultStoreReads, Writes: resolver.DefaultStoreWrites}
	budget, allowed := proc.budget.Allow(false, rates, fleet.now)
	proc.budget = budget
	if !allowed {
		return false
	}
	answers := !fleet.down && !fleet.cut[i]
	proc.budget = proc.budget.Record(answers, fleet.draws.Float64(), fleet.now)
	if answers {
		fleet.reads++
	}
	return answers
}

func (fleet *fleet) planNext(i int) {
	fleet.plan(i, fleet.procs[i].standing.Wait(fleet.every, fleet.draws.Float64()))
}

// take is the one place where a revision comes into force.
func (fleet *fleet) take(i int, revision uint64) {
	proc := &fleet.procs[i]
	before := proc.standing.InForce
	proc.standing, _ = proc.standing.Take(revision)
	if proc.standing.InForce < before {
		fleet.problem = fmt.Sprintf("process %d fell from %d to %d", i, before, proc.standing.InForce)
	}
	if proc.serving {
		proc.served = max(proc.served, proc.standing.InForce)
	}
}

func (fleet *fleet) serve(i int) {
	proc := &fleet.procs[i]
	if proc.serving || proc.standing.InForce == 0 {
		return
	}
	proc.serving = true
	proc.served = max(proc.served, proc.standing.InForce)
}

// askPeers asks as a watcher does: a few when it serves, many when it starts.
func (fleet *fleet) askPeers(i int) {
	proc := &fleet.procs[i]
	most := Answers
	if !proc.serving {
		most = StartPeers
	}
	peers := fleet.draws.Perm(len(fleet.procs))
	asked, answered, highest := 0, 0, uint64(0)
	for _, j := range peers {
		if j == i || asked == most {
			continue
		}
		asked++
		if fleet.cut[i] != fleet.cut[j] || !fleet.procs[j].serving && proc.serving {
			continue
		}
		answered++
		highest = max(highest, fleet.procs[j].standing.InForce, fleet.procs[j].standing.Heard)
		if revision := fleet.procs[j].standing.InForce; revision > proc.standing.InForce {
			fleet.take(i, revision)
		}
	}
	if proc.serving {
		return
	}
	proc.start = proc.start.WithRound(len(peers)-1, answered, max(highest, proc.standing.InForce), fleet.now)
	if revision, ready := proc.start.Ready(fleet.now); ready && proc.standing.InForce >= revision {
		fleet.serve(i)
	}
}

// talk carries a revision on a message between two random processes.
func (fleet *fleet) talk() {
	from, to := fleet.draws.IntN(len(fleet.procs)), fleet.draws.IntN(len(fleet.procs))
	if from == to || fleet.cut[from] != fleet.cut[to] || !fleet.procs[from].serving {
		return
	}
	proc := &fleet.procs[to]
	standing, news := proc.standing.Hear(fleet.procs[from].standing.InForce, fleet.now)
	proc.standing = standing
	if news {
		// The look that was planned stays planned; one more does no harm.
		fleet.at(standing.Nudge(fleet.every, fleet.draws.Float64()), func() { fleet.lookOnce(to) })
	}
}

// lookOnce is a look that plans no other.
func (fleet *fleet) lookOnce(i int) {
	head, body := fleet.reaches(i), fleet.reaches(i)
	if !head || !body {
		fleet.askPeers(i)
		return
	}
	revision, incarnation := fleet.head, fleet.procs[i].incarnation
	fleet.at(2*fleet.slow, func() {
		if fleet.procs[i].incarnation == incarnation {
			fleet.take(i, revision)
		}
	})
}

func (fleet *fleet) restart(i int) {
	proc := &fleet.procs[i]
	*proc = member{incarnation: proc.incarnation + 1, served: proc.served}
	fleet.plan(i, tick)
}

// everywhere reports whether every process serves with the head.
func (fleet *fleet) everywhere() bool {
	return !slices.ContainsFunc(fleet.procs, func(proc member) bool {
		return !proc.serving || proc.standing.InForce < fleet.head
	})
}

// knows reports whether a process that i can reach has or has heard of a revision.
func (fleet *fleet) knows(i int, revision uint64) bool {
	for j := range fleet.procs {
		standing := fleet.procs[j].standing
		if j != i && fleet.cut[i] == fleet.cut[j] && max(standing.InForce, standing.Heard) >= revision {
			return true
		}
	}
	return false
}

// bound is the time in which a change is in force everywhere.
const bound = 13 * timekeeper.Second

func TestRevisionsNeverFall(t *testing.T) {
	// Operators accept changes while the store goes down and comes back, sites
	// are cut off, and processes are restarted, alone and all entries together.
	// No process may serve with a lower revision than it did before, unless
	// nobody whom it can reach knows of the higher one; and once all is
	// reachable again, what was accepted is in force everywhere in 13 s.
	const schedules, size, rounds = 2000, 12, 30
	for seed := range uint64(schedules) {
		fleet := newFleet(seed, size, 2*timekeeper.Second)
		for range rounds {
			disturb(fleet)
			before := make([]uint64, size)
			for i, proc := range fleet.procs {
				before[i] = proc.served
			}
			wasServing := servingOf(fleet)
			for range 20 {
				fleet.advance(100 * timekeeper.Millisecond)
				fleet.talk()
			}
			for i, proc := range fleet.procs {
				if proc.serving && !wasServing[i] && proc.standing.InForce < before[i] && fleet.knows(i, before[i]) {
					t.Fatalf("schedule %d: process %d came back with %d after %d", seed, i, proc.standing.InForce, before[i])
				}
			}
		}
		fleet.down = false
		clear(fleet.cut)
		fleet.advance(bound)
		if !fleet.everywhere() || fleet.problem != "" {
			t.Fatalf("schedule %d: revision %d isn't in force everywhere after %s: %+v %s", seed, fleet.head, bound, fleet.procs, fleet.problem)
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

func disturb(fleet *fleet) {
	draws := fleet.draws
	switch draws.IntN(6) {
	case 0:
		fleet.down = !fleet.down
	case 1:
		from := draws.IntN(len(fleet.cut))
		side := draws.IntN(2) == 0
		for i := from; i < min(len(fleet.cut), from+4); i++ {
			fleet.cut[i] = side
		}
	case 2:
		for i := range 3 {
			fleet.restart(i)
		}
	case 3:
		fleet.restart(draws.IntN(len(fleet.procs)))
	default:
		if !fleet.down {
			fleet.head++
		}
	}
}

// BenchmarkConfigInForce measures the time from the acceptance of a change to
// its being in force at every process, in virtual time.
func BenchmarkConfigInForce(b *testing.B) {
	tests := []struct {
		name  string
		size  int
		every timekeeper.Span
		slow  timekeeper.Span
		bound timekeeper.Span
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
				fleet := newFleet(1, test.size, test.every)
				fleet.slow = test.slow
				took := make([]timekeeper.Span, 0, changes)
				for range changes {
					took = append(took, fleet.change())
					fleet.advance(timekeeper.Span(fleet.draws.IntN(int(test.every))))
				}
				slices.Sort(took)
				worst := took[len(took)-1]
				b.ReportMetric(float64(took[len(took)/2]), "median-ms")
				b.ReportMetric(float64(took[len(took)*99/100]), "p99-ms")
				b.ReportMetric(float64(worst), "worst-ms")
				b.ReportMetric(fleet.restingReads(), "reads/s")
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
	for !fleet.everywhere() {
		fleet.advance(100 * timekeeper.Millisecond)
		for range max(1, len(fleet.procs)/10) {
			fleet.talk()
		}
	}
	return fleet.now.Since(accepted)
}

// restingReads returns the reads a second while nothing changes.
func (fleet *fleet) restingReads() float64 {
	const rest = 60
	before := fleet.reads
	fleet.advance(rest * timekeeper.Second)
	return float64(fleet.reads-before) / rest
}

func TestALongOutageDelaysNoChangeAfterIt(t *testing.T) {
	// Operators fix what caused an outage by a change, at once when the store is
	// back. Every meter is then in its longest pause. The change must be in force
	// everywhere within the bound all the same.
	const schedules, size = 200, 12
	for seed := range uint64(schedules) {
		fleet := newFleet(seed, size, 6*timekeeper.Second)
		fleet.down = true
		fleet.advance(5 * timekeeper.Minute)
		fleet.down = false
		fleet.head++
		fleet.advance(bound)
		if !fleet.everywhere() || fleet.problem != "" {
			t.Fatalf("schedule %d: not in force everywhere after %s: %+v %s", seed, bound, fleet.procs, fleet.problem)
		}
	}
}
