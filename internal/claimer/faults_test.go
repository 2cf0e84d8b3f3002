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

// world is two agents and a store in virtual time. Entries are the sends of
// the callers: each may go to either agent, at any step anything may be lost,
// delayed or crash, and frames may arrive long after their entry gave up.
type world struct {
	random   *rand.Rand
	clock    *timekeeper.Manual
	platform *imitator.Platform
	agents   [2]*node
	serial   uint64
	sends    []*send
	late     []func()
	// runs counts by request and by key; answers holds what ran under a key.
	byRequest map[string]int
	byKey     map[string]int
	// broken switches one safeguard off, to see that the checks notice.
	broken string
}

// node is one agent incarnation: its book and its tombstones.
type node struct {
	name        string
	incarnation uint64
	book        *Book
	committer   *Committer
	mint        *minter.Mint
	tombs       map[string]bool
	done        map[string]string
}

// send is one request of a caller, from its offer to what the caller is told.
type send struct {
	ask   Ask
	at    *node
	stage int
	told  classifier.Ran
	whole string
}

const (
	offered = iota
	writing
	granted
	sent
	asking
	finished
)

func newWorld(seed uint64, broken string) *world {
	made := &world{
		random: rand.New(rand.NewPCG(seed, 5)), clock: timekeeper.NewManual(1), broken: broken,
		byRequest: map[string]int{}, byKey: map[string]int{},
	}
	made.platform = imitator.NewPlatform(made.clock.Clock())
	for i := range made.agents {
		made.restart(i)
	}
	return made
}

func (world *world) restart(i int) {
	world.serial++
	name := fmt.Sprintf("agent-%d", i)
	world.agents[i] = &node{
		name: name, incarnation: world.serial,
		book:      NewBook(Settings{Name: name, Incarnation: world.serial}),
		committer: NewCommitter(world.platform.InProcess().Table, world.clock.Now),
		mint:      minter.New(name, world.serial, 0),
		tombs:     map[string]bool{}, done: map[string]string{},
	}
}

// alive reports whether the incarnation that a send went to still runs.
func (world *world) alive(node *node) bool {
	return world.agents[0] == node || world.agents[1] == node
}

func (world *world) chance(percent int) bool {
	return world.random.IntN(100) < percent
}

func (world *world) storeFaults() {
	var faults imitator.PlatformFaults
	switch world.random.IntN(6) {
	case 0:
		faults.Down = true
	case 1:
		faults.LoseAnswers = 1
	case 2:
		faults.LoseWrites = 1
	}
	world.platform.SetFaults(faults)
}

// step moves one send on by one step.
func (world *world) step(send *send) {
	if !world.alive(send.at) && send.stage != finished {
		// The incarnation is gone. Before the Run frame nothing can have run.
		ran := classifier.RanUnknown
		if send.stage < sent {
			ran = classifier.RanNo
		}
		send.tell(ran)
		return
	}
	switch send.stage {
	case offered:
		world.offer(send)
	case granted:
		send.stage = sent
		world.frame(send)
	case sent:
		if body, ok := send.at.done[send.ask.Request]; ok && world.chance(60) {
			send.whole = body
			send.tell("")
			return
		}
		send.stage = asking
	case asking:
		world.lookUp(send)
	}
}

func (send *send) tell(ran classifier.Ran) {
	send.stage, send.told = finished, ran
}

func (world *world) offer(send *send) {
	verdict := send.at.book.Ask(send.ask, world.clock.Now())
	if world.broken == "claim" && verdict.Step == Insert {
		verdict = send.at.book.Settle(send.ask, Result{Outcome: Won})
	}
	if verdict.Step == Insert {
		send.stage = writing
		return
	}
	world.settled(send, verdict)
}

func (world *world) settled(send *send, verdict Verdict) {
	if verdict.Step == Proceed {
		send.stage = granted
		if world.chance(10) {
			send.at.book.Abandon(send.ask.Request)
			send.tell(classifier.RanNo)
		}
		return
	}
	// What the request with the key did is told by its owner, else unknown.
	for _, owner := range world.agents {
		if owner.name == verdict.Owner.Agent && owner.incarnation == verdict.Owner.Incarnation {
			send.whole = owner.done[verdict.Owner.Request]
		}
	}
	if send.whole != "" {
		send.tell("")
		return
	}
	send.tell(classifier.AnswerOf(verdict.Failure.Kind).Ran)
}

// writeGroup commits what waits at one agent, in one group.
func (world *world) writeGroup(at *node) {
	var group []*send
	var rows []Row
	for _, send := range world.sends {
		if send.stage == writing && send.at == at {
			group = append(group, send)
			rows = append(rows, rowOf(send.ask.Key, at.book.pages[send.ask.Key]))
		}
	}
	if len(group) == 0 {
		return
	}
	results := at.committer.Commit(context.Background(), rows)
	for i, send := range group {
		world.settled(send, at.book.Settle(send.ask, results[i]))
	}
}

// frame carries a Run frame: now, later, or never.
func (world *world) frame(send *send) {
	at, ask := send.at, send.ask
	arrive := func() {
		if !world.alive(at) || at.done[ask.Request] != "" {
			return
		}
		if at.tombs[ask.Request] && world.broken != "tombstone" {
			at.book.Abandon(ask.Request)
			return
		}
		if !at.book.Start(ask.Request, world.clock.Now()) && world.broken != "start" {
			return
		}
		world.byRequest[ask.Request]++
		world.byKey[ask.Key]++
		at.done[ask.Request] = "answer to " + ask.Request
		at.book.End(ask.Request, true, 1)
	}
	switch world.random.IntN(4) {
	case 0:
		return
	case 1:
		world.late = append(world.late, arrive)
		if world.chance(50) {
			// The agent stops waiting for the frame and gives the slot back.
			at.book.Abandon(ask.Request)
		}
	default:
		arrive()
	}
}

// lookUp asks the same incarnation after a lost connection.
func (world *world) lookUp(send *send) {
	body, ok := send.at.done[send.ask.Request]
	switch {
	case world.chance(20):
		send.tell(classifier.RanUnknown)
	case ok:
		send.whole = body
		send.tell("")
	default:
		send.at.tombs[send.ask.Request] = true
		send.tell(classifier.RanNo)
	}
}

// play runs one schedule and returns the first broken promise.
func play(seed uint64, broken string) error {
	world := newWorld(seed, broken)
	const keys, sends, rounds = 3, 8, 120
	minted, expires := world.agents[0].mint.Make("team", "orders", 1, world.clock.Now())
	home := world.agents[0]
	for i := range sends {
		key := i % keys
		at := world.agents[world.random.IntN(2)]
		ask := Ask{Key: RowKey("team", "orders", fmt.Sprint(key)), Request: fmt.Sprintf("request-%d", i), Fingerprint: 7}
		if key == 0 {
			ask.Key, ask.Minted, ask.Expires, at = RowKey("team", "orders", minted[0]), true, expires, home
		}
		world.sends = append(world.sends, &send{ask: ask, at: at})
	}
	for range rounds {
		world.clock.Advance(timekeeper.Span(world.random.IntN(50)))
		switch world.random.IntN(12) {
		case 0:
			world.storeFaults()
		case 1, 2:
			world.writeGroup(world.agents[world.random.IntN(2)])
		case 3:
			if world.chance(15) {
				world.restart(world.random.IntN(2))
			}
		case 4:
			world.arriveLate()
		default:
			world.step(world.sends[world.random.IntN(len(world.sends))])
		}
	}
	for len(world.late) > 0 {
		world.arriveLate()
	}
	return world.check()
}

func (world *world) arriveLate() {
	if len(world.late) == 0 {
		return
	}
	i := world.random.IntN(len(world.late))
	arrive := world.late[i]
	world.late = append(world.late[:i], world.late[i+1:]...)
	arrive()
}

func (world *world) check() error {
	for key, runs := range world.byKey {
		if runs > 1 {
			return fmt.Errorf("the key %.8s ran %d times", key, runs)
		}
	}
	for _, send := range world.sends {
		switch {
		case send.stage != finished:
		case send.told == classifier.RanNo && world.byRequest[send.ask.Request] > 0:
			return fmt.Errorf("%s was called not run, and ran", send.ask.Request)
		case send.whole != "" && world.byKey[send.ask.Key] != 1:
			return fmt.Errorf("%s was answered, and its key ran %d times", send.ask.Request, world.byKey[send.ask.Key])
		}
	}
	return nil
}

func TestNoScheduleOfFaultsBreaksAPromise(t *testing.T) {
	// Callers are told of each request that it ran, that it did not, or that
	// this can't be known, and no key runs twice.
	// Thousands of seeded schedules of two entries, two agents and one store:
	// lost and late frames, crashes with restarts, lost store answers and
	// outages, resends. With a safeguard switched off a schedule must fail.
	const schedules = 20000
	for seed := range uint64(schedules) {
		if err := play(seed, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, broken := range []string{"claim", "tombstone", "start"} {
		failed := 0
		for seed := range uint64(schedules) {
			if play(seed, broken) != nil {
				failed++
			}
		}
		t.Logf("without the safeguard %q: %d of %d schedules break a promise", broken, failed, schedules)
		if failed == 0 {
			t.Errorf("no schedule notices that the safeguard %q is gone", broken)
		}
	}
}
