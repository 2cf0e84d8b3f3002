package assembler

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/planner"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/internal/striker"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// spender is one process as the store sees it: all that it reads and writes,
// behind its meter.
type spender struct {
	meter     *storekeeper.Meter
	watcher   *publisher.Watcher
	view      *reporter.View
	planner   *planner.Planner
	committer *claimer.Committer
	book      striker.Book
	record    func()
}

func newSpender(name string, store *imitator.Platform, clock timekeeper.Clock) spender {
	log := logrus.New()
	log.SetOutput(io.Discard)
	meter := storekeeper.NewMeter(storekeeper.MeterSettings{Clock: clock})
	platform := meter.Wrap(store.Seams())
	watcher := publisher.NewWatcher(publisher.Settings{Platform: platform, Clock: clock, Log: log})
	return spender{
		meter:   meter,
		watcher: watcher,
		view: reporter.NewView(reporter.Settings{
			Directory: platform.Directory, Clock: clock, Log: log, Budget: budgeter.New(budgeter.Settings{}),
		}),
		planner: planner.New(planner.Settings{
			Holder: name, Service: "planner", Table: platform.Table, Clock: clock, Log: log, Config: watcher.Current,
			Engines: func(string) []planner.Address { return nil },
			Send: func(context.Context, string, *encoder.EngineOrder) (*encoder.EngineOrderDone, error) {
				return &encoder.EngineOrderDone{}, nil
			},
		}),
		committer: claimer.NewCommitter(platform.Table, clock.Now),
		book:      striker.NewBook(platform.Table, clock.Now),
		record: func() {
			origin := recorder.Origin{Group: "planner", Name: name, Incarnation: 1}
			_, release := recorder.New(recorder.Settings{Origin: origin, Objects: platform.Objects, Clock: clock, Log: log}, recorder.Event{})
			release()
		},
	}
}

// burst returns the rows of a burst of orders.
func burst(name string, count int, now timekeeper.Instant) []claimer.Row {
	rows := make([]claimer.Row, count)
	for i := range rows {
		rows[i] = claimer.Row{Key: fmt.Sprintf("%s-%d", name, i), Expires: now.Add(timekeeper.Hour)}
	}
	return rows
}

func TestTheStoreIsUsedAsTheBudgetSays(t *testing.T) {
	// The sums at the design size are worked out from what one act costs. Should
	// an act begin to cost more, the store would be over its limits at that size
	// long before any test with a few processes notices.
	const processes, orders, struck = 3, 64, 8
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	store := imitator.NewPlatform(clock.Clock())
	bundle := resolver.Bundle{Base: "[services.planner]\nkind = \"model\"\nmodels = [\"planner\"]\nadapters = [\"vans\"]\n"}
	if _, err := publisher.Accept(t.Context(), store.Seams(), bundle, 0, "rig"); err != nil {
		t.Fatal(err)
	}
	before := store.Counts()
	spenders := make([]spender, processes)
	for i := range spenders {
		spenders[i] = newSpender(fmt.Sprint("process-", i), store, clock.Clock())
	}
	acts := []struct {
		name   string
		cause  storekeeper.Cause
		act    func(spender spender, name string)
		reads  int
		writes int
	}{
		{"a new revision: head and body", storekeeper.ForConfig, func(one spender, _ string) { _ = one.watcher.Look(t.Context()) }, 2, 0},
		{"a poll", storekeeper.ForConfig, func(one spender, _ string) { _ = one.watcher.Look(t.Context()) }, 1, 0},
		{"the instance list", storekeeper.ForInstances, func(one spender, _ string) { _ = one.view.Look(t.Context()) }, 1, 0},
		{"64 orders that come together", storekeeper.ForClaims, func(one spender, name string) {
			one.committer.Commit(t.Context(), burst(name, orders, clock.Clock().Now()))
		}, 0, 1},
		{"a crash with eight calls in flight", storekeeper.ForStrikes, func(one spender, name string) {
			for i := range uint64(struck) {
				strike := striker.Strike{Fingerprint: uint64(name[len(name)-1])<<8 + i, Expires: clock.Clock().Now().Add(timekeeper.Hour)}
				_ = one.book.Add(t.Context(), strike, name)
			}
		}, 0, struck},
		{"each of these resent: weighed, raised and lifted", storekeeper.ForStrikes, func(one spender, name string) {
			for i := range uint64(struck) {
				strike, _, _, _ := one.book.Read(t.Context(), uint64(name[len(name)-1])<<8+i)
				_ = one.book.Raise(t.Context(), strike.WithCrash(name, clock.Clock().Now().Add(2*timekeeper.Hour)))
				_, _ = one.book.Lift(t.Context(), strike.Fingerprint)
			}
		}, 3 * struck, 2 * struck},
		{"a stop: the open segment and the one that ends the record", storekeeper.ForRecord, func(one spender, _ string) { one.record() }, 0, 2},
	}
	Convey("each act costs each process what the budget says", t, func() {
		for _, act := range acts {
			for i, one := range spenders {
				was := one.meter.Tallies()[act.cause]
				act.act(one, fmt.Sprint("process-", i))
				now := one.meter.Tallies()[act.cause]
				So([]int{now.Reads - was.Reads, now.Writes - was.Writes}, ShouldResemble, []int{act.reads, act.writes})
			}
		}
	})
	Convey("a look at the lease is one read; one process writes", t, func() {
		for _, one := range spenders {
			one.planner.Step(t.Context())
		}
		So(spenders[0].meter.Tallies()[storekeeper.ForOrders], ShouldResemble, storekeeper.Tally{Reads: 1, Writes: 1})
		So(spenders[1].meter.Tallies()[storekeeper.ForOrders], ShouldResemble, storekeeper.Tally{Reads: 1})
	})
	Convey("the causes of all processes add up to what the store has seen", t, func() {
		sum := storekeeper.Tally{}
		for _, one := range spenders {
			for _, tally := range one.meter.Tallies() {
				sum.Reads += tally.Reads
				sum.Writes += tally.Writes
			}
			So(one.meter.Tallies(), ShouldNotContainKey, storekeeper.ForOther)
		}
		after := store.Counts()
		So(sum, ShouldResemble, storekeeper.Tally{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes})
	})
}
