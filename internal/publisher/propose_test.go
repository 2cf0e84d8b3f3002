package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// instantClock is a clock on which every wait ends at once.
func instantClock() timekeeper.Clock {
	return timekeeper.Clock{
		Now: func() timekeeper.Instant { return 1 },
		After: func(timekeeper.Span) (<-chan timekeeper.Instant, func()) {
			fired := make(chan timekeeper.Instant, 1)
			fired <- 1
			return fired, func() {}
		},
	}
}

// bundleOf returns a valid bundle that differs by number.
func bundleOf(number int) resolver.Bundle {
	return resolver.Bundle{Base: fmt.Sprintf("[services.orders]\nkind = \"plain\"\nslots = %d\n", number+1)}
}

// intercept calls before with the number of each call to the platform; if before returns
// an error, that error replaces the call.
func intercept(platform storekeeper.Platform, before func(call int) error) storekeeper.Platform {
	call := 0
	next := func() error { call++; return before(call) }
	intercepted := platform
	intercepted.Table.Get = func(ctx context.Context, table, key string) (storekeeper.Row, error) {
		if err := next(); err != nil {
			return storekeeper.Row{}, err
		}
		return platform.Table.Get(ctx, table, key)
	}
	intercepted.Table.Commit = func(ctx context.Context, writes []storekeeper.Write) error {
		if err := next(); err != nil {
			return err
		}
		return platform.Table.Commit(ctx, writes)
	}
	intercepted.Objects.Put = func(ctx context.Context, name string, body []byte) error {
		if err := next(); err != nil {
			return err
		}
		return platform.Objects.Put(ctx, name, body)
	}
	return intercepted
}

func TestProposalOutcomeAfterFaultAtEachStep(t *testing.T) {
	// The store fails at one step of the proposal: the write or its answer is lost, the
	// store is over its rate, or it stays down from that step on. The operator must see
	// "accepted", "not accepted" or "not known" as is true, and the same command run again
	// must end in "accepted", with the change in the history exactly once.
	const steps = 5
	tests := []struct {
		name   string
		faults func(platform *imitator.Platform, step int) func(call int) error
	}{
		{"answer lost after the write", func(platform *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call == step {
					platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
				}
				return nil
			}
		}},
		{"write lost", func(platform *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call == step {
					platform.SetFaults(imitator.PlatformFaults{LoseWrites: 1})
				}
				return nil
			}
		}},
		{"rate exceeded once", func(_ *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call == step {
					return storekeeper.ErrBusy
				}
				return nil
			}
		}},
		{"store down from there on", func(_ *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call >= step {
					return storekeeper.ErrUnknown
				}
				return nil
			}
		}},
		{"answer lost, store down from there on", func(platform *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call == step {
					platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
				}
				if call > step {
					return storekeeper.ErrUnknown
				}
				return nil
			}
		}},
	}
	for _, test := range tests {
		for step := 1; step <= steps; step++ {
			Convey(fmt.Sprintf("%s at step %d", test.name, step), t, func() {
				platform := imitator.NewPlatform(instantClock())
				seams := platform.InProcess()
				_, err := Accept(t.Context(), seams, bundleOf(0), 0, "first")
				So(err, ShouldBeNil)
				proposal := Proposal{Bundle: bundleOf(1), BaseRevision: 1, Operator: "almaz"}
				faulty := Proposer{Platform: intercept(seams, test.faults(platform, step)), Clock: instantClock()}
				result, err := faulty.Propose(t.Context(), proposal)
				platform.SetFaults(imitator.PlatformFaults{})
				changes, _ := History(t.Context(), seams, 1, 10)
				switch {
				case err == nil:
					So(result.Revision, ShouldEqual, 2)
					So(changes, ShouldHaveLength, 1)
				case eris.Is(err, ErrNotAccepted):
					So(changes, ShouldBeEmpty)
				default:
					So(eris.Is(err, ErrOutcomeUnknown), ShouldBeTrue)
				}
				again, err := Proposer{Platform: seams, Clock: instantClock()}.Propose(t.Context(), proposal)
				So(err, ShouldBeNil)
				So(again.Revision, ShouldEqual, 2)
				changes, _ = History(t.Context(), seams, 0, 10)
				So(changes, ShouldHaveLength, 2)
				So(changes[1].Head, ShouldResemble, again.Head)
			})
		}
	}
}

func TestChangeIsFoundBelowLaterOne(t *testing.T) {
	// The store takes the write and its answer is lost. Before the operator's command
	// reads the head again, another operator's change is accepted on top of it. The
	// operator must still see "accepted", since the change is in the history.
	Convey("the change is found by its id", t, func() {
		platform := imitator.NewPlatform(instantClock())
		seams := platform.InProcess()
		_, _ = Accept(t.Context(), seams, bundleOf(0), 0, "first")
		faulty := intercept(seams, func(call int) error {
			switch call {
			case 3: // The commit.
				platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
			case 4: // The read after the lost answer.
				_, err := Accept(t.Context(), seams, bundleOf(2), 2, "another")
				return err
			}
			return nil
		})
		result, err := Proposer{Platform: faulty, Clock: instantClock()}.Propose(t.Context(), Proposal{Bundle: bundleOf(1), BaseRevision: 1})
		So(err, ShouldBeNil)
		So(result.Revision, ShouldEqual, 2)
		So(result.Unchanged, ShouldBeFalse)
		head, _, _ := ReadHead(t.Context(), seams)
		So(head.Revision, ShouldEqual, 3)
	})
}

func TestConflictListsChanges(t *testing.T) {
	Convey("a conflict lists the changes since the base revision and their differences", t, func() {
		seams := imitator.NewPlatform(instantClock()).InProcess()
		_, _ = Accept(t.Context(), seams, bundleOf(0), 0, "first")
		proposer := Proposer{Platform: seams, Clock: instantClock()}
		_, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(1), BaseRevision: 1, Operator: "almaz", Comment: "more slots"})
		So(err, ShouldBeNil)
		_, err = proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(2), BaseRevision: 1, Operator: "bekele"})
		So(eris.Is(err, storekeeper.ErrConflict), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "revision 2 by almaz")
		So(err.Error(), ShouldContainSubstring, "~ services.orders.slots = 1 -> 2")
		Convey("a rollback is a new, higher revision", func() {
			back, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(0), BaseRevision: 2, RollbackTo: 1})
			So(err, ShouldBeNil)
			So(back.Revision, ShouldEqual, 3)
		})
	})
}

func TestTwoOperatorsApplyConcurrently(t *testing.T) {
	// Two operators apply changes concurrently, and now and then a write is lost, or its
	// answer after it took effect. Each must see "accepted" for exactly those changes that
	// are in the history, and the history must have each of them once, in order.
	const wanted = 1000
	platform := imitator.NewPlatform(instantClock())
	seams := platform.InProcess()
	var operators sync.WaitGroup
	var mu sync.Mutex
	accepted := map[uint64]string{}
	for operator := range 2 {
		operators.Go(func() {
			name := fmt.Sprintf("operator-%d", operator)
			random := rand.New(rand.NewPCG(uint64(operator), 7))
			proposer := Proposer{Platform: seams, Clock: instantClock()}
			for number := 0; ; number++ {
				head, _, err := ReadHead(context.Background(), seams)
				if err != nil || head.Revision >= wanted {
					return
				}
				if random.IntN(10) == 0 {
					platform.SetFaults(imitator.PlatformFaults{LoseAnswers: random.IntN(3), LoseWrites: random.IntN(2)})
				}
				result, err := proposer.Propose(context.Background(), Proposal{
					Bundle: bundleOf(2*number + operator), BaseRevision: head.Revision, Operator: name,
				})
				if err != nil {
					continue
				}
				mu.Lock()
				accepted[result.Revision] = result.ChangeID
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	Convey("the history matches the outcomes that the operators saw", t, func() {
		changes, err := History(t.Context(), seams, 0, 2*wanted)
		So(err, ShouldBeNil)
		So(len(changes), ShouldBeGreaterThanOrEqualTo, wanted)
		So(len(accepted), ShouldEqual, len(changes))
		ids := map[string]bool{}
		wrong := 0
		for i, change := range changes {
			if change.Revision != uint64(i+1) || accepted[change.Revision] != change.ChangeID || ids[change.ChangeID] {
				wrong++
			}
			ids[change.ChangeID] = true
		}
		So(wrong, ShouldEqual, 0)
	})
}

func TestRepeatedCommandKeepsTimeOfChange(t *testing.T) {
	// Guards against a record that shows an old revision as accepted after a later one,
	// because an operator runs an old command again after the later change.
	Convey("the event has the time of the change", t, func() {
		seams := imitator.NewPlatform(instantClock()).InProcess()
		var events []recorder.Event
		run := func(number int, at timekeeper.Instant) {
			clock := instantClock()
			clock.Now = func() timekeeper.Instant { return at }
			proposer := Proposer{Platform: seams, Clock: clock, Record: func(event recorder.Event) { events = append(events, event) }}
			_, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(number), BaseRevision: uint64(number)})
			So(err, ShouldBeNil)
		}
		run(0, 10)
		run(1, 20)
		run(0, 30)
		So(events, ShouldHaveLength, 3)
		So(events[2].Revision, ShouldEqual, 1)
		So(events[2].At, ShouldEqual, 10)
	})
}
