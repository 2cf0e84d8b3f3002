package planner

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestHowManyEnginesAnAdapterWishesFor(t *testing.T) {
	tests := []struct {
		name                  string
		calls, slots, engines int
		want                  int
	}{
		{"nobody calls: two, for a crash", 0, 8, 10, 2},
		{"a service of one engine", 50, 8, 1, 1},
		{"one engine's slots all taken ask for one more", 16, 8, 10, 3},
		{"never more than there are", 1000, 8, 10, 10},
		{"under seven tenths of two engines", 11, 8, 10, 2},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(DesiredEngines(test.calls, test.slots, test.engines), ShouldEqual, test.want)
		})
	}
}

// fleet is ten engines of eight slots, of which the first hold "vans".
func fleet(holders, calls int) []Engine {
	engines := make([]Engine, 10)
	for i := range engines {
		engines[i].Name = fmt.Sprint("engine-", i)
		if i < holders {
			engines[i].Loaded = []string{"vans"}
			engines[i].Demands = []Demand{{Adapter: "vans", Calls: calls / holders}}
		}
	}
	return engines
}

func TestDemandMovesAdaptersSlowly(t *testing.T) {
	// A team surges for ten seconds of each minute, and a holder takes over at a
	// quiet moment. Neither may unload or load what will be wanted again at once.
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	planner := New(Settings{Clock: clock.Clock()})
	service := resolver.Service{Adapters: []string{"vans"}, Slots: 8}
	Convey("a new holder begins with what the engines hold", t, func() {
		So(planner.targets(service, fleet(5, 0)), ShouldResemble, []Target{{"vans", 5}})
	})
	Convey("surges move nothing, what lasts moves one engine at a time", t, func() {
		for second := range 1200 {
			calls := 28
			if second%60 < 10 {
				calls = 80
			}
			So(planner.targets(service, fleet(5, calls))[0].Engines, ShouldEqual, 5)
			clock.Advance(timekeeper.Second)
		}
		for range 40 {
			planner.targets(service, fleet(5, 80))
			clock.Advance(timekeeper.Second)
		}
		So(planner.targets(service, fleet(5, 80))[0].Engines, ShouldEqual, 6)
	})
	Convey("an adapter that left the configuration is forgotten", t, func() {
		planner.targets(resolver.Service{Adapters: []string{"menus"}, Slots: 8}, fleet(5, 0))
		So(planner.spreads, ShouldHaveLength, 1)
	})
}

func TestVersionsMoveOneEngineAtATime(t *testing.T) {
	engines := []Engine{{Name: "a", Version: "1"}, {Name: "b", Version: "1", Role: "decode"}, {Name: "c", Version: "2"}}
	Convey("one version, every role", t, func() {
		So(Plan(engines, DesiredState{Role: "decode", Version: "2"}), ShouldResemble, []Order{
			{"a", ChangeVersion, "2"}, {"a", ChangeRole, "decode"}, {"c", ChangeRole, "decode"},
		})
		engines[0].Version = "2"
		So(Plan(engines, DesiredState{Version: "2"}), ShouldResemble, []Order{{"b", ChangeVersion, "2"}})
		So(Plan(engines, DesiredState{}), ShouldBeEmpty)
	})
	Convey("a version takes weights, so it is held to the store's rate", t, func() {
		So(Order{Action: ChangeVersion}.takesWeights(), ShouldBeTrue)
		So(Order{Action: ChangeRole}.takesWeights(), ShouldBeFalse)
	})
}
