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

// hasty is a clock on which every wait is over at once.
func hasty() timekeeper.Clock {
	return timekeeper.Clock{
		Now: func() timekeeper.Instant { return 1 },
		After: func(timekeeper.Span) (<-chan timekeeper.Instant, func()) {
			fired := make(chan timekeeper.Instant, 1)
			fired <- 1
			return fired, func() {}
		},
	}
}

// bundleOf returns a sound bundle that differs by number.
func bundleOf(number int) resolver.Bundle {
	return resolver.Bundle{Base: fmt.Sprintf("[services.orders]\nkind = \"plain\"\nslots = %d\n", number+1)}
}

// tap calls before with the number of each call to the platform; an error that
// it returns comes in place of the call.
func tap(platform storekeeper.Platform, before func(call int) error) storekeeper.Platform {
	call := 0
	next := func() error { call++; return before(call) }
	tapped := platform
	tapped.Table.Get = func(ctx context.Context, table, key string) (storekeeper.Row, error) {
		if err := next(); err != nil {
			return storekeeper.Row{}, err
		}
		return platform.Table.Get(ctx, table, key)
	}
	tapped.Table.Commit = func(ctx context.Context, writes []storekeeper.Write) error {
		if err := next(); err != nil {
			return err
		}
		return platform.Table.Commit(ctx, writes)
	}
	tapped.Objects.Put = func(ctx context.Context, name string, body []byte) error {
		if err := next(); err != nil {
			return err
		}
		return platform.Objects.Put(ctx, name, body)
	}
	return tapped
}

func TestAProposalIsSettledAtEachStep(t *testing.T) {
	// The operator sees "accepted", "not accepted" or "not known", and the same
	// command run again ends in "accepted".
	// The store fails at one step of the proposal: its answer is lost before or
	// after the write took effect, or it stays down from that step on.
	// Whatever the step, the history holds the change once.
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
		{"over the rate once", func(_ *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call == step {
					return storekeeper.ErrBusy
				}
				return nil
			}
		}},
		{"down from there on", func(_ *imitator.Platform, step int) func(int) error {
			return func(call int) error {
				if call >= step {
					return storekeeper.ErrUnknown
				}
				return nil
			}
		}},
		{"answer lost, and down from there on", func(platform *imitator.Platform, step int) func(int) error {
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
				platform := imitator.NewPlatform(hasty())
				seams := platform.InProcess()
				_, err := Accept(t.Context(), seams, bundleOf(0), 0, "first")
				So(err, ShouldBeNil)
				proposal := Proposal{Bundle: bundleOf(1), Edited: 1, Operator: "almaz"}
				hurt := Proposer{Platform: tap(seams, test.faults(platform, step)), Clock: hasty()}
				result, err := hurt.Propose(t.Context(), proposal)
				platform.SetFaults(imitator.PlatformFaults{})
				changes, _ := History(t.Context(), seams, 1, 10)
				switch {
				case err == nil:
					So(result.Revision, ShouldEqual, 2)
					So(changes, ShouldHaveLength, 1)
				case eris.Is(err, ErrNotAccepted):
					So(changes, ShouldBeEmpty)
				default:
					So(eris.Is(err, ErrUnsettled), ShouldBeTrue)
				}
				again, err := Proposer{Platform: seams, Clock: hasty()}.Propose(t.Context(), proposal)
				So(err, ShouldBeNil)
				So(again.Revision, ShouldEqual, 2)
				changes, _ = History(t.Context(), seams, 0, 10)
				So(changes, ShouldHaveLength, 2)
				So(changes[1].Head, ShouldResemble, again.Head)
			})
		}
	}
}

func TestAChangeIsFoundUnderALaterOne(t *testing.T) {
	// The operator must see "accepted": the change is in the history.
	// The store takes the write and its answer is lost; before the operator's
	// command reads back, another operator's change is accepted on top of it.
	Convey("the change is found by its id", t, func() {
		platform := imitator.NewPlatform(hasty())
		seams := platform.InProcess()
		_, _ = Accept(t.Context(), seams, bundleOf(0), 0, "first")
		hurt := tap(seams, func(call int) error {
			switch call {
			case 3: // The commit.
				platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
			case 4: // The reading back.
				_, err := Accept(t.Context(), seams, bundleOf(2), 2, "another")
				return err
			}
			return nil
		})
		result, err := Proposer{Platform: hurt, Clock: hasty()}.Propose(t.Context(), Proposal{Bundle: bundleOf(1), Edited: 1})
		So(err, ShouldBeNil)
		So(result.Revision, ShouldEqual, 2)
		So(result.Unchanged, ShouldBeFalse)
		head, _, _ := ReadHead(t.Context(), seams)
		So(head.Revision, ShouldEqual, 3)
	})
}

func TestTheLoserIsToldWhatChanged(t *testing.T) {
	Convey("with the changes since, and their differences", t, func() {
		seams := imitator.NewPlatform(hasty()).InProcess()
		_, _ = Accept(t.Context(), seams, bundleOf(0), 0, "first")
		proposer := Proposer{Platform: seams, Clock: hasty()}
		_, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(1), Edited: 1, Operator: "almaz", Comment: "more slots"})
		So(err, ShouldBeNil)
		_, err = proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(2), Edited: 1, Operator: "bekele"})
		So(eris.Is(err, storekeeper.ErrConflict), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "revision 2 by almaz")
		So(err.Error(), ShouldContainSubstring, "~ services.orders.slots = 1 -> 2")
		Convey("and a roll back is a new, higher revision", func() {
			back, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(0), Edited: 2, RollbackTo: 1})
			So(err, ShouldBeNil)
			So(back.Revision, ShouldEqual, 3)
		})
	})
}

func TestTwoOperatorsRaceAThousandTimes(t *testing.T) {
	// Two operators apply at the same time, again and again, and now and then
	// the answer to a write is lost after it took effect, or the write is.
	// Each is told "accepted" exactly for the changes that are in the history,
	// and the history has each of them once, in order.
	const wanted = 1000
	platform := imitator.NewPlatform(hasty())
	seams := platform.InProcess()
	var operators sync.WaitGroup
	var mu sync.Mutex
	accepted := map[uint64]string{}
	for operator := range 2 {
		operators.Go(func() {
			name := fmt.Sprintf("operator-%d", operator)
			draws := rand.New(rand.NewPCG(uint64(operator), 7))
			proposer := Proposer{Platform: seams, Clock: hasty()}
			for number := 0; ; number++ {
				head, _, err := ReadHead(context.Background(), seams)
				if err != nil || head.Revision >= wanted {
					return
				}
				if draws.IntN(10) == 0 {
					platform.SetFaults(imitator.PlatformFaults{LoseAnswers: draws.IntN(3), LoseWrites: draws.IntN(2)})
				}
				result, err := proposer.Propose(context.Background(), Proposal{
					Bundle: bundleOf(2*number + operator), Edited: head.Revision, Operator: name,
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
	Convey("the history agrees with what the operators were told", t, func() {
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

func TestACommandRunAgainDoesNotAcceptAnew(t *testing.T) {
	// An operator runs an old command again, after a later change was accepted.
	// The record must not show the old revision as accepted after the later one.
	Convey("the event carries the time of the change", t, func() {
		seams := imitator.NewPlatform(hasty()).InProcess()
		var events []recorder.Event
		run := func(number int, at timekeeper.Instant) {
			clock := hasty()
			clock.Now = func() timekeeper.Instant { return at }
			proposer := Proposer{Platform: seams, Clock: clock, Record: func(event recorder.Event) { events = append(events, event) }}
			_, err := proposer.Propose(t.Context(), Proposal{Bundle: bundleOf(number), Edited: uint64(number)})
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
