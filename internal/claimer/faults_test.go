package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// simulation runs two agents and a store in virtual time. Each send stands for an
// entry with one request. It goes to either agent; frames, store writes and answers
// of the store may be lost, the store may be down, agents may crash, and frames may
// arrive long after their entry gave up.
type simulation struct {
	random       *rand.Rand
	clock        *timekeeper.Manual
	platform     *imitator.Platform
	agents       [2]*node
	incarnations uint64
	sends        []*send
	delayed      []func()
	// byRequest and byKey count the runs of a request and of a key.
	byRequest map[string]int
	byKey     map[string]int
	// disabled names a safeguard that is switched off to test that check finds the
	// violations.
	disabled string
	// returns is nil in schedules in which the store never comes back from a copy.
	returns *returns
}

// node is one agent incarnation.
type node struct {
	name        string
	incarnation uint64
	book        *Book
	committer   *Committer
	mint        *minter.Mint
	tombstones  map[string]bool
	// answers maps a request to its complete answer.
	answers map[string]string
}

// send is one request of a caller, from the offer to the report to the caller.
type send struct {
	claim    Claim
	agent    *node
	stage    int
	reported classifier.Ran
	answer   string
}

// The stages of a send.
const (
	offered = iota
	writingClaim
	resolving
	granted
	sent
	lookingUp
	finished
)

func newSimulation(seed uint64, disabled string) *simulation {
	created := &simulation{
		random: rand.New(rand.NewPCG(seed, 5)), clock: timekeeper.NewManual(1), disabled: disabled,
		byRequest: map[string]int{}, byKey: map[string]int{},
	}
	created.platform = imitator.NewPlatform(created.clock.Clock())
	for i := range created.agents {
		created.restart(i)
	}
	return created
}

func (simulation *simulation) restart(i int) {
	simulation.incarnations++
	name := fmt.Sprintf("agent-%d", i)
	simulation.agents[i] = &node{
		name: name, incarnation: simulation.incarnations,
		book:       NewBook(Settings{Name: name, Incarnation: simulation.incarnations}),
		committer:  NewCommitter(simulation.table(), simulation.clock.Now),
		mint:       minter.New(name, simulation.incarnations, 0),
		tombstones: map[string]bool{}, answers: map[string]string{},
	}
}

// isRunning reports whether an agent incarnation still runs.
func (simulation *simulation) isRunning(node *node) bool {
	return simulation.agents[0] == node || simulation.agents[1] == node
}

func (simulation *simulation) chance(percent int) bool {
	return simulation.random.IntN(100) < percent
}

func (simulation *simulation) setStoreFaults() {
	var faults imitator.PlatformFaults
	switch simulation.random.IntN(6) {
	case 0:
		faults.Down = true
	case 1:
		faults.LoseAnswers = 1
	case 2:
		faults.LoseWrites = 1
	}
	simulation.platform.SetFaults(faults)
}

// step advances a send by one stage.
func (simulation *simulation) step(send *send) {
	if !simulation.isRunning(send.agent) && send.stage != finished {
		// The incarnation has crashed. The request can't have run before its Run frame.
		ran := classifier.RanUnknown
		if send.stage < sent {
			ran = classifier.RanNo
		}
		send.finish(ran)
		return
	}
	switch send.stage {
	case offered:
		simulation.offer(send)
	case granted:
		send.stage = sent
		simulation.deliverRun(send)
	case sent:
		if body, ok := send.agent.answers[send.claim.Request]; ok && simulation.chance(60) {
			send.answer = body
			send.finish("")
			return
		}
		send.stage = lookingUp
	case lookingUp:
		simulation.lookup(send)
	}
}

func (send *send) finish(ran classifier.Ran) {
	send.stage, send.reported = finished, ran
}

func (simulation *simulation) offer(send *send) {
	verdict := send.agent.book.Claim(send.claim, simulation.clock.Now())
	if simulation.disabled == "claim" && verdict.Step == Insert {
		verdict = send.agent.book.Resolve(send.claim, Result{Outcome: Won})
	}
	if verdict.Step == Insert {
		send.stage = writingClaim
		return
	}
	simulation.applyVerdict(send, verdict)
}

// applyVerdict advances a send by the book's verdict.
func (simulation *simulation) applyVerdict(send *send, verdict Verdict) {
	if verdict.Step == Proceed {
		send.stage = granted
		if simulation.chance(10) {
			send.agent.book.Abandon(send.claim.Request)
			send.finish(classifier.RanNo)
		}
		return
	}
	// The owner of the key returns the answer of its request, if it still runs.
	for _, owner := range simulation.agents {
		if owner.name == verdict.Owner.Agent && owner.incarnation == verdict.Owner.Incarnation {
			send.answer = owner.answers[verdict.Owner.Request]
		}
	}
	if send.answer != "" {
		send.finish("")
		return
	}
	send.finish(classifier.AnswerOf(verdict.Failure.Kind).Ran)
}

// writeGroup commits the waiting claims of one agent in one group.
func (simulation *simulation) writeGroup(agent *node) {
	var group []*send
	var rows []Row
	for _, send := range simulation.sends {
		if send.stage == writingClaim && send.agent == agent {
			group = append(group, send)
			rows = append(rows, rowOf(send.claim.Key, agent.book.records[send.claim.Key]))
		}
	}
	if len(group) == 0 {
		return
	}
	simulation.beforeCommit(agent)
	results := agent.committer.Commit(context.Background(), rows)
	for _, send := range group {
		send.stage = resolving
	}
	simulation.resolve(agent, func() {
		for i, send := range group {
			if send.stage == finished {
				continue
			}
			simulation.applyVerdict(send, agent.book.Resolve(send.claim, results[i]))
		}
	})
}

// deliverRun delivers a Run frame immediately, later or never.
func (simulation *simulation) deliverRun(send *send) {
	agent, claim := send.agent, send.claim
	simulation.beforeRun(send)
	var deliver func()
	deliver = func() {
		if simulation.isPaused(agent) {
			simulation.delayed = append(simulation.delayed, deliver)
			return
		}
		if !simulation.isRunning(agent) || agent.answers[claim.Request] != "" {
			return
		}
		if agent.tombstones[claim.Request] && simulation.disabled != "tombstone" {
			agent.book.Abandon(claim.Request)
			return
		}
		simulation.beforeStart(agent, claim)
		if !agent.book.Start(claim.Request, simulation.clock.Now()) && simulation.disabled != "start" {
			return
		}
		simulation.byRequest[claim.Request]++
		simulation.byKey[claim.Key]++
		agent.answers[claim.Request] = "answer to " + claim.Request
		agent.book.End(claim.Request, true, 1)
	}
	switch simulation.random.IntN(4) {
	case 0:
		return
	case 1:
		simulation.delayed = append(simulation.delayed, deliver)
		if simulation.chance(50) {
			// The agent stops waiting for the frame and frees the slot.
			agent.book.Abandon(claim.Request)
		}
	default:
		deliver()
	}
}

// lookup queries the same incarnation after a lost connection.
func (simulation *simulation) lookup(send *send) {
	body, ok := send.agent.answers[send.claim.Request]
	switch {
	case simulation.chance(20):
		send.finish(classifier.RanUnknown)
	case ok:
		send.answer = body
		send.finish("")
	default:
		send.agent.tombstones[send.claim.Request] = true
		send.finish(classifier.RanNo)
	}
}

// runSchedule runs one schedule and returns the first violation that check finds.
func runSchedule(seed uint64, disabled string) error {
	simulation := newSimulation(seed, disabled)
	const keys, sends, rounds = 3, 8, 120
	minted, expires := simulation.agents[0].mint.Make("team", "orders", 1, simulation.clock.Now())
	issuer := simulation.agents[0]
	for i := range sends {
		key := i % keys
		agent := simulation.agents[simulation.random.IntN(2)]
		claim := Claim{Key: RowKey("team", "orders", fmt.Sprint(key)), Request: fmt.Sprintf("request-%d", i), Fingerprint: 7}
		if key == 0 {
			claim.Key, claim.Minted, claim.Expires, agent = RowKey("team", "orders", minted[0]), true, expires, issuer
		}
		simulation.sends = append(simulation.sends, &send{claim: claim, agent: agent})
	}
	for range rounds {
		simulation.clock.Advance(timekeeper.Span(simulation.random.IntN(50)))
		switch simulation.random.IntN(12) {
		case 0:
			simulation.setStoreFaults()
		case 1, 2:
			simulation.writeGroup(simulation.agents[simulation.random.IntN(2)])
		case 3:
			if simulation.chance(15) {
				simulation.restart(simulation.random.IntN(2))
			}
		case 4:
			simulation.deliverDelayed()
		default:
			simulation.step(simulation.sends[simulation.random.IntN(len(simulation.sends))])
		}
	}
	for len(simulation.delayed) > 0 {
		simulation.deliverDelayed()
	}
	return simulation.check()
}

func (simulation *simulation) deliverDelayed() {
	if len(simulation.delayed) == 0 {
		return
	}
	i := simulation.random.IntN(len(simulation.delayed))
	deliver := simulation.delayed[i]
	simulation.delayed = append(simulation.delayed[:i], simulation.delayed[i+1:]...)
	deliver()
}

func (simulation *simulation) check() error {
	for key, runs := range simulation.byKey {
		if runs > 1 {
			return fmt.Errorf("the key %.8s ran %d times", key, runs)
		}
	}
	for _, send := range simulation.sends {
		switch {
		case send.stage != finished:
		case send.reported == classifier.RanNo && simulation.byRequest[send.claim.Request] > 0:
			return fmt.Errorf("%s ran but was reported as not run", send.claim.Request)
		case send.answer != "" && simulation.byKey[send.claim.Key] != 1:
			return fmt.Errorf("%s was answered, but its key ran %d times", send.claim.Request, simulation.byKey[send.claim.Key])
		}
	}
	return nil
}

func TestNoFaultScheduleRunsAKeyTwiceOrMisreportsARequest(t *testing.T) {
	// Guards against two runs of one key, and against a report of "not run" for a
	// request that ran. 20,000 seeded schedules of two agents and one store contain
	// lost and delayed frames, crashes with restarts, store outages, lost store
	// answers and resends. With a safeguard switched off some schedule must fail.
	const schedules = 20000
	for seed := range uint64(schedules) {
		if err := runSchedule(seed, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, disabled := range []string{"claim", "tombstone", "start"} {
		failed := 0
		for seed := range uint64(schedules) {
			if runSchedule(seed, disabled) != nil {
				failed++
			}
		}
		t.Logf("without the safeguard %q: %d of %d schedules fail", disabled, failed, schedules)
		if failed == 0 {
			t.Errorf("no schedule fails without the safeguard %q", disabled)
		}
	}
}
