package reporter

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAlternativeIsNeverTheAsker(t *testing.T) {
	// Guards against a refusal that sends the caller back to the replica that has just
	// refused it. The asker often has the least load in its own table, since its
	// peers' loads are older.
	log := logrus.New()
	log.SetOutput(io.Discard)
	listed := []storekeeper.Instance{}
	view := NewView(Settings{
		Directory: storekeeper.Directory{List: func(context.Context) ([]storekeeper.Instance, error) { return listed, nil }},
		Clock:     timekeeper.NewManual(start).Clock(), Log: log, Budget: budgeter.New(budgeter.Settings{}),
	})
	digests := []struct {
		name string
		load int64
	}{{"r0", 1}, {"r1", 50}, {"r2", 20}}
	for _, one := range digests {
		digest := digestOf(one.name, 10, 1, live)
		digest.Service, digest.Load = "planner", one.load
		view.RecordDigest(digest)
	}
	tests := []struct{ asker, least, most string }{{"r0", "r2", "r1"}, {"r1", "r0", "r2"}}
	for _, test := range tests {
		Convey(test.asker+" mostly names "+test.least, t, func() {
			const draws = 400
			named := map[string]int{}
			for range draws {
				named[view.Alternative("planner", test.asker)]++
			}
			So(named[test.asker], ShouldEqual, 0)
			So(named[test.least]+named[test.most], ShouldEqual, draws)
			// The less loaded of two random draws from two replicas is the least loaded one
			// in three of four cases.
			So(named[test.least], ShouldBeBetween, draws*65/100, draws*85/100)
		})
	}
}

func TestAdapterRosterFollowsDigests(t *testing.T) {
	// Guards against calls for an adapter that go to an engine without it, where they
	// fail. Loaded adapters change seldom, so a change is sent as an update, and a later
	// digest corrects a stale one.
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := NewView(Settings{Clock: timekeeper.NewManual(start).Clock(), Log: log, Budget: budgeter.New(budgeter.Settings{})})
	record := func(name string, sequence uint64, loaded ...string) {
		digest := digestOf(name, 10, sequence, live)
		digest.Service, digest.Loaded = "planner", loaded
		view.RecordDigest(digest)
	}
	Convey("the roster follows the adapters that the engines have loaded", t, func() {
		record("r0", 1, "vans")
		record("r1", 1)
		So(view.AdapterRoster("planner", "vans").Len(), ShouldEqual, 1)
		record("r1", 2, "menus", "vans")
		So(view.AdapterRoster("planner", "vans").Len(), ShouldEqual, 2)
		record("r0", 2)
		record("r1", 3)
		So(view.AdapterRoster("planner", "vans").Len(), ShouldEqual, 0)
		So(view.adapterRosters["planner"], ShouldBeEmpty)
	})
}

func TestDialFailuresOfCallsCountAtOnce(t *testing.T) {
	// Guards against callers that wait for one failed dial after another until the next
	// round of digests, because the failed dials of calls don't count.
	log := logrus.New()
	log.SetOutput(io.Discard)
	manual := timekeeper.NewManual(start)
	view := NewView(Settings{Clock: manual.Clock(), Log: log, Budget: budgeter.New(budgeter.Settings{}), Rules: Rules{Indirect: true}})
	for _, name := range []string{"r0", "r1", "r2"} {
		view.RecordDigest(digestOf(name, 10, 1, live))
	}
	service := digestOf("r0", 10, 1, live).GetService()
	Convey("two in a row remove the replica, two an hour apart don't", t, func() {
		view.RecordDialFailure(service, "r0")
		So(view.Roster(service).Len(), ShouldEqual, 3)
		manual.Advance(timekeeper.Hour)
		view.RecordDialFailure(service, "r0")
		So(view.Roster(service).Len(), ShouldEqual, 3)
		view.RecordDialFailure(service, "r0")
		So(view.Roster(service).Len(), ShouldEqual, 2)
		answered := digestOf("r0", 10, 2, live)
		view.RecordDigest(answered)
		view.Evaluate()
		So(view.Roster(service).Len(), ShouldEqual, 3)
	})
}
