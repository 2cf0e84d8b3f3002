package claimer

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// order is a key whose requests go to two agents, the store of which comes back without its
// claim.
type order struct {
	*simulation
	claim   Claim
	witness *Witness
	entry   *Committer
	// idle are agents that are paused, cut off from the store, or gone.
	idle map[*node]bool
}

// newOrder returns an order whose claims can be lost: the copy is older.
func newOrder() (*order, imitator.Copy) {
	made := &order{simulation: newSimulation(1, ""), idle: map[*node]bool{}}
	made.claim = Claim{Key: RowKey("team", "orders", "key"), Fingerprint: 7}
	made.replaceEntry()
	copied := made.platform.Copy()
	made.restoreAll()
	return made, copied
}

// replaceEntry replaces the entry by one that knows no claims.
func (order *order) replaceEntry() {
	order.witness, order.entry = NewWitness(order.clock.Now), NewCommitter(order.table(), order.clock.Now)
}

// send claims the key at an agent for a request, and returns the verdict.
func (order *order) send(agent *node, request string) Verdict {
	claim := order.claim
	claim.Request = request
	verdict := agent.book.Claim(claim, order.clock.Now())
	if verdict.Step == Insert {
		results := agent.committer.Commit(context.Background(), []Row{verdict.Row})
		verdict = agent.book.Resolve(claim, results[0])
	}
	return verdict
}

// run sends the Run frame of a request that was granted.
func (order *order) run(agent *node, request string) {
	order.witness.Add(order.claim.Key, Owner{Agent: agent.name, Incarnation: agent.incarnation, Request: request}, order.claim.Fingerprint)
	if agent.book.Start(request, order.clock.Now()) {
		order.byKey[order.claim.Key]++
		agent.book.End(request, true, 1)
	}
}

// restoreAll lets all processes that aren't idle write lost claims again.
func (order *order) restoreAll() {
	for _, agent := range order.agents {
		if order.idle[agent] {
			continue
		}
		rows, results, _ := agent.committer.Restore(context.Background(), agent.book.RecentClaims)
		for i, row := range rows {
			agent.book.Restored(row, results[i])
		}
	}
	rows, results, _ := order.entry.Restore(context.Background(), order.witness.RecentClaims)
	for i, row := range rows {
		order.witness.Restored(row, results[i])
	}
}

// pass lets time pass, in which processes ask for the era.
func (order *order) pass(span timekeeper.Span) {
	for ; span > 0; span -= RestoreInterval {
		order.clock.Advance(min(span, RestoreInterval))
		order.restoreAll()
	}
}

// resend sends the key through an agent at several times after a return, and runs what is granted.
func (order *order) resend(agent *node) {
	for _, span := range []timekeeper.Span{0, 500, 4000, 8000, timekeeper.Minute} {
		order.pass(span)
		request := "resend-" + order.clock.Now().String()
		if order.send(agent, request).Step == Proceed {
			order.run(agent, request)
		}
	}
}

func TestResendsAfterAReturnOfTheStore(t *testing.T) {
	// Guards against a second run of a key whose claim the store has lost, by any of several
	// resends, whatever became of the agent that ran it.
	tests := []struct {
		name string
		// before is called once the first request runs, with the copy from before its claim.
		before func(order *order, copied imitator.Copy)
	}{
		{"the owner lives", func(order *order, copied imitator.Copy) { order.platform.Restore(copied) }},
		{"the owner is paused", func(order *order, copied imitator.Copy) {
			order.idle[order.agents[0]] = true
			order.platform.Restore(copied)
		}},
		{"the owner has crashed", func(order *order, copied imitator.Copy) {
			order.restart(0)
			order.platform.Restore(copied)
		}},
		{"the entry has been replaced", func(order *order, copied imitator.Copy) {
			order.replaceEntry()
			order.platform.Restore(copied)
		}},
		{"the other agent starts after the return", func(order *order, copied imitator.Copy) {
			order.platform.Restore(copied)
			order.restart(1)
		}},
		{"the store comes back a second time, without what was written again", func(order *order, copied imitator.Copy) {
			order.platform.Restore(copied)
			order.pass(5 * timekeeper.Second)
			order.platform.Restore(copied)
		}},
		{"the store comes back a second time a minute later", func(order *order, copied imitator.Copy) {
			order.platform.Restore(copied)
			again := order.platform.Copy()
			order.pass(18 * timekeeper.Second)
			order.platform.Restore(again)
		}},
		{"the store is away for a minute just after its return", func(order *order, copied imitator.Copy) {
			order.platform.Restore(copied)
			// Only the other agent has learnt of the return.
			order.send(order.agents[1], "early")
			order.platform.SetFaults(imitator.PlatformFaults{Down: true})
			order.pass(timekeeper.Minute)
			order.platform.SetFaults(imitator.PlatformFaults{})
			order.send(order.agents[1], "before the owner asks")
		}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			order, copied := newOrder()
			So(order.send(order.agents[0], "first").Step, ShouldEqual, Proceed)
			order.run(order.agents[0], "first")
			test.before(order, copied)
			order.resend(order.agents[1])
			order.resend(order.agents[0])
			So(order.byKey[order.claim.Key], ShouldEqual, 1)
		})
	}
}

func TestAClaimThatIsKnownAfterTheOwnerHasAsked(t *testing.T) {
	// Guards against a second run of a key whose claim the store acknowledged before a return,
	// while its owner, or the entry, learnt of the claim only after it had written its others
	// again.
	tests := []struct {
		name  string
		after func(order *order)
	}{
		{"the owner lives", func(*order) {}},
		{"the owner crashes then", func(order *order) { order.restart(0) }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			order, copied := newOrder()
			owner := order.agents[0]
			claim := order.claim
			claim.Request = "first"
			row := owner.book.Claim(claim, order.clock.Now()).Row
			results := owner.committer.Commit(t.Context(), []Row{row})
			order.platform.Restore(copied)
			order.pass(RestoreInterval)
			So(owner.book.Resolve(claim, results[0]).Step, ShouldEqual, Proceed)
			order.run(owner, "first")
			So(order.byKey[claim.Key], ShouldEqual, 1)
			test.after(order)
			order.resend(order.agents[1])
			So(order.byKey[claim.Key], ShouldEqual, 1)
		})
	}
}

func TestAGrantFromBeforeAReturn(t *testing.T) {
	// Guards against a run under a claim that the store has lost and another agent has made
	// since: the owner was paused between its grant and its start.
	Convey("a request that was granted long ago doesn't start", t, func() {
		order, copied := newOrder()
		owner, other := order.agents[0], order.agents[1]
		So(order.send(owner, "first").Step, ShouldEqual, Proceed)
		order.idle[owner] = true
		order.platform.Restore(copied)
		order.pass(20 * timekeeper.Second)
		So(order.send(other, "second").Step, ShouldEqual, Proceed)
		order.run(other, "second")
		So(owner.book.Start("first", order.clock.Now()), ShouldBeFalse)
	})
	Convey("a key that nothing ran under is claimed again before it is used", t, func() {
		order, copied := newOrder()
		owner, other := order.agents[0], order.agents[1]
		So(order.send(owner, "first").Step, ShouldEqual, Proceed)
		owner.book.Abandon("first")
		order.idle[owner] = true
		order.platform.Restore(copied)
		order.pass(20 * timekeeper.Second)
		So(order.send(other, "second").Step, ShouldEqual, Proceed)
		order.run(other, "second")
		So(order.send(owner, "third").Step, ShouldEqual, Refuse)
		So(order.byKey[order.claim.Key], ShouldEqual, 1)
	})
}

func TestHowLongClaimsAreHeldBack(t *testing.T) {
	// Guards against keyed calls that are refused for longer than is needed after a return, or
	// with an answer that isn't true.
	order, copied := newOrder()
	order.platform.Restore(copied)
	late := order.agents[1]
	Convey("a new key is refused as not run, with the time that is left", t, func() {
		verdict := order.send(order.agents[0], "first")
		So(verdict.Failure.Kind, ShouldEqual, classifier.StoreDown)
		So(classifier.AnswerOf(verdict.Failure.Kind).Ran, ShouldEqual, classifier.RanNo)
		So(verdict.Failure.RetryAfter, ShouldEqual, holdTime)
		order.pass(4 * timekeeper.Second)
		So(order.send(order.agents[0], "second").Failure.RetryAfter, ShouldEqual, holdTime-4*timekeeper.Second)
	})
	Convey("it is served once the store has answered for holdTime", t, func() {
		order.pass(holdTime)
		So(order.send(order.agents[0], "third").Step, ShouldEqual, Proceed)
	})
	Convey("an agent that starts then doesn't wait", t, func() {
		order.restart(1)
		claim := Claim{Key: "another", Request: "fourth", Fingerprint: 1}
		verdict := order.agents[1].book.Claim(claim, order.clock.Now())
		results := order.agents[1].committer.Commit(t.Context(), []Row{verdict.Row})
		So(results[0].Outcome, ShouldEqual, Won)
		So(late, ShouldNotEqual, order.agents[1])
	})
}

func TestAStoreThatTellsNoEra(t *testing.T) {
	// Guards against keyed calls that are refused where the store knows no eras.
	platform := imitator.NewPlatform(timekeeper.Wall())
	for _, test := range []struct {
		name string
		era  func(ctx context.Context) (uint64, error)
	}{
		{"there is no such call", nil},
		{"the call isn't known", func(context.Context) (uint64, error) { return 0, storekeeper.ErrAbsent }},
	} {
		Convey(test.name, t, func() {
			table := platform.InProcess().Table
			table.Era = test.era
			committer := NewCommitter(table, timekeeper.Wall().Now)
			result := committer.Commit(t.Context(), []Row{{Key: test.name, Owner: Owner{Agent: "a"}}})[0]
			So(result.Outcome, ShouldEqual, Won)
		})
	}
}

func TestAKeyThatNobodyKnowsAfterTheStoreReturned(t *testing.T) {
	// Guards against a second run of a key whose claim the store has lost in the same seconds in
	// which its owner crashed and the entry that sent its request was replaced.
	Convey("it runs once", t, func() {
		order, copied := newOrder()
		So(order.send(order.agents[0], "first").Step, ShouldEqual, Proceed)
		order.run(order.agents[0], "first")
		order.restart(0)
		order.replaceEntry()
		order.platform.Restore(copied)
		order.resend(order.agents[1])
		So(order.byKey[order.claim.Key], ShouldEqual, 1)
	})
}
