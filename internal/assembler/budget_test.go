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

// storeClient holds all parts of a process that read or write the store, behind its
// meter.
type storeClient struct {
	meter     *storekeeper.Meter
	watcher   *publisher.Watcher
	view      *reporter.View
	planner   *planner.Planner
	committer *claimer.Committer
	book      striker.Book
	record    func()
}

func newStoreClient(name string, store *imitator.Platform, clock timekeeper.Clock) storeClient {
	log := logrus.New()
	log.SetOutput(io.Discard)
	meter := storekeeper.NewMeter(storekeeper.MeterSettings{Clock: clock})
	platform := meter.Wrap(store.InProcess())
	watcher := publisher.NewWatcher(publisher.Settings{Platform: platform, Clock: clock, Log: log})
	return storeClient{
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

func TestStoreCallsMatchBudget(t *testing.T) {
	// The store's load at the design size is computed from the calls of single
	// operations. If one began to make more calls, the store would exceed its limits at
	// that size long before a test with a few processes shows it.
	const processes, orders, struck = 3, 64, 8
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	store := imitator.NewPlatform(clock.Clock())
	bundle := resolver.Bundle{Base: "[services.planner]\nkind = \"model\"\nmodels = [\"planner\"]\nadapters = [\"vans\"]\n"}
	if _, err := publisher.Accept(t.Context(), store.InProcess(), bundle, 0, "rig"); err != nil {
		t.Fatal(err)
	}
	before := store.Counts()
	clients := make([]storeClient, processes)
	for i := range clients {
		clients[i] = newStoreClient(fmt.Sprint("process-", i), store, clock.Clock())
	}
	operations := []struct {
		name   string
		cause  storekeeper.Cause
		call   func(client storeClient, name string)
		reads  int
		writes int
	}{
		{"a new revision: head and body", storekeeper.ForConfig, func(client storeClient, _ string) { _ = client.watcher.Poll(t.Context()) }, 2, 0},
		{"a poll", storekeeper.ForConfig, func(client storeClient, _ string) { _ = client.watcher.Poll(t.Context()) }, 1, 0},
		{"the instance list", storekeeper.ForInstances, func(client storeClient, _ string) { _ = client.view.ReadList(t.Context()) }, 1, 0},
		{"the era of the store, at the start and while there are recent claims", storekeeper.ForClaims, func(client storeClient, _ string) {
			_, _, _ = client.committer.Restore(t.Context(), func(_, _ timekeeper.Instant) []claimer.Row { return nil })
		}, 1, 0},
		{"64 orders in one burst", storekeeper.ForClaims, func(client storeClient, name string) {
			client.committer.Commit(t.Context(), burst(name, orders, clock.Clock().Now()))
		}, 0, 1},
		{"strikes of a crash with eight calls in flight", storekeeper.ForStrikes, func(client storeClient, name string) {
			for i := range uint64(struck) {
				strike := striker.Strike{Fingerprint: uint64(name[len(name)-1])<<8 + i, Expires: clock.Clock().Now().Add(timekeeper.Hour)}
				_ = client.book.Add(t.Context(), strike, name)
			}
		}, 0, struck},
		{"each of these calls resent: its strike read, raised and lifted", storekeeper.ForStrikes, func(client storeClient, name string) {
			for i := range uint64(struck) {
				strike, _, _, _ := client.book.Read(t.Context(), uint64(name[len(name)-1])<<8+i)
				_ = client.book.Raise(t.Context(), strike.WithCrash(name, clock.Clock().Now().Add(2*timekeeper.Hour)))
				_, _ = client.book.Lift(t.Context(), strike.Fingerprint)
			}
		}, 3 * struck, 2 * struck},
		{"a stop: the open segment, and the segment that ends the record", storekeeper.ForRecord, func(client storeClient, _ string) { client.record() }, 0, 2},
	}
	Convey("each operation makes as many calls as the budget assumes", t, func() {
		for _, operation := range operations {
			for i, client := range clients {
				was := client.meter.Tallies()[operation.cause]
				operation.call(client, fmt.Sprint("process-", i))
				now := client.meter.Tallies()[operation.cause]
				So([]int{now.Reads - was.Reads, now.Writes - was.Writes}, ShouldResemble, []int{operation.reads, operation.writes})
			}
		}
	})
	Convey("each planner reads the lease once; one of them writes it", t, func() {
		for _, client := range clients {
			client.planner.Step(t.Context())
		}
		So(clients[0].meter.Tallies()[storekeeper.ForOrders], ShouldResemble, storekeeper.Tally{Reads: 1, Writes: 1})
		So(clients[1].meter.Tallies()[storekeeper.ForOrders], ShouldResemble, storekeeper.Tally{Reads: 1})
	})
	Convey("the tallies of all processes add up to the calls that the store received", t, func() {
		sum := storekeeper.Tally{}
		for _, client := range clients {
			for _, tally := range client.meter.Tallies() {
				sum.Reads += tally.Reads
				sum.Writes += tally.Writes
			}
			So(client.meter.Tallies(), ShouldNotContainKey, storekeeper.ForOther)
		}
		after := store.Counts()
		So(sum, ShouldResemble, storekeeper.Tally{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes})
	})
}
