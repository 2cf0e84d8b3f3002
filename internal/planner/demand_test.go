package planner

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestDesiredEngines(t *testing.T) {
	tests := []struct {
		name                  string
		calls, slots, engines int
		want                  int
	}{
		{"no calls: two, for a crash", 0, 8, 10, 2},
		{"a service of one engine", 50, 8, 1, 1},
		{"two full engines ask for a third", 16, 8, 10, 3},
		{"never more engines than there are", 1000, 8, 10, 10},
		{"under seven tenths of two engines", 11, 8, 10, 2},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(DesiredEngines(test.calls, test.slots, test.engines), ShouldEqual, test.want)
		})
	}
}

// fleet returns ten engines of eight slots; the first of them have loaded "vans".
func fleet(loaded, calls int) []Engine {
	engines := make([]Engine, 10)
	for i := range engines {
		engines[i].Name = fmt.Sprint("engine-", i)
		if i < loaded {
			engines[i].Loaded = []string{"vans"}
			engines[i].Demands = []Demand{{Adapter: "vans", Calls: calls / loaded}}
		}
	}
	return engines
}

func TestDemandMovesAdaptersSlowly(t *testing.T) {
	// Guards against adapters that are unloaded or loaded although demand soon returns to
	// what it was. A team surges for ten seconds of each minute, and a new holder takes
	// the lease at a quiet moment.
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	planner := New(Settings{Clock: clock.Clock()})
	service := resolver.Service{Adapters: []string{"vans"}, Slots: 8}
	Convey("a new holder starts from what the engines have loaded", t, func() {
		So(planner.targets(service, fleet(5, 0)), ShouldResemble, []Target{{"vans", 5}})
	})
	Convey("surges change nothing, a lasting demand adds one engine at a time", t, func() {
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

func TestVersionsChangeOneEngineAtATime(t *testing.T) {
	engines := []Engine{{Name: "a", Version: "1"}, {Name: "b", Version: "1", Role: "decode"}, {Name: "c", Version: "2"}}
	Convey("one version, every role", t, func() {
		So(Plan(engines, DesiredState{Role: "decode", Version: "2"}), ShouldResemble, []Order{
			{"a", ChangeVersion, "2"}, {"a", ChangeRole, "decode"}, {"c", ChangeRole, "decode"},
		})
		engines[0].Version = "2"
		So(Plan(engines, DesiredState{Version: "2"}), ShouldResemble, []Order{{"b", ChangeVersion, "2"}})
		So(Plan(engines, DesiredState{}), ShouldBeEmpty)
	})
	Convey("a change of version loads weights, so the store's rate applies", t, func() {
		So(Order{Action: ChangeVersion}.loadsWeights(), ShouldBeTrue)
		So(Order{Action: ChangeRole}.loadsWeights(), ShouldBeFalse)
	})
}
