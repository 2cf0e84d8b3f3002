package balancer

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// checkedWarmUp is how engines warm up that answer health checks.
var checkedWarmUp = WarmUp{Span: 3 * timekeeper.Second, Rate: 12, HealthPath: "/health"}

func TestEngineThatTurnsColdBeforeItsRowSaysSo(t *testing.T) {
	// Guards against a crash of an engine that turns cold while it serves many requests, a
	// heartbeat before its row says so: all entries send on meanwhile.
	tests := []struct {
		name    string
		entries int
		rate    float64
		before  func(site *checkedSite)
	}{
		{name: "4 entries", entries: 4, rate: 100},
		{name: "4 entries, little more than the engine tolerates", entries: 4, rate: 25},
		{name: "103 entries", entries: 103, rate: 60},
		{name: "380 entries", entries: 380, rate: 40},
		{name: "a checker is killed as the engine turns cold", entries: 4, rate: 100, before: func(site *checkedSite) {
			site.checkers()[0].down = true
		}},
		{name: "both checkers were killed a second before", entries: 6, rate: 100, before: func(site *checkedSite) {
			for _, entry := range site.checkers() {
				entry.down = true
			}
			site.run(100, timekeeper.Second)
		}},
		{name: "half of the entries are older", entries: 8, rate: 60, before: func(site *checkedSite) {
			for _, entry := range site.entries[:4] {
				entry.older = true
			}
			site.run(60, 3*timekeeper.Second)
		}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			for seed := range uint64(max(1, 100/test.entries)) {
				site := newCheckedSite(test.entries, seed)
				site.run(test.rate, 2500)
				if test.before != nil {
					test.before(site)
				}
				site.run(test.rate, timekeeper.Span(site.random.Int64N(200)))
				site.turnCold()
				site.run(test.rate, 1500)
				So(site.mostInASecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
			}
		})
	}
}

func TestEngineThatIsKnownToBeColdLate(t *testing.T) {
	// Guards against a crash of a cold engine by the requests that its cold rate admits in the
	// same second in which it got nearly all that it tolerates.
	for _, entries := range []int{4, 12} {
		Convey(fmt.Sprintf("%d entries", entries), t, func() {
			for seed := range uint64(10) {
				site := newCheckedSite(entries, seed)
				site.muted = true
				site.run(100, 2500)
				site.turnCold()
				site.run(100, 150)
				for _, entry := range site.entries {
					entry.MarkCold(site.engine.Key(), site.coldSince.Add(checkedWarmUp.Span))
					// No other engine is left.
					entry.MarkLeaving("planner-1", numbered(2))
				}
				before := len(site.arrivals)
				site.run(100, 2*timekeeper.Second)
				So(site.mostInASecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
				// Cold engines are used while no other is left.
				So(len(site.arrivals), ShouldBeGreaterThan, before)
			}
		})
	}
}

func TestWhichReplicasAreChecked(t *testing.T) {
	// Guards against checks of replicas that get little or take no work, by entries that are not
	// selected, and against none where they are needed.
	const busy = 60
	tests := []struct {
		name   string
		calls  int
		change func(fleet *Fleet)
		checks int
	}{
		{"it gets more than it tolerates cold", busy, nil, 1},
		{"it gets little", 5, nil, 0},
		{"its service sets no limit", busy, func(fleet *Fleet) { fleet.SetWarmUp("planner", WarmUp{HealthPath: "/health"}) }, 0},
		{"its service has no health checks", busy, func(fleet *Fleet) { fleet.SetWarmUp("planner", warmUp) }, 0},
		{"it leaves", busy, func(fleet *Fleet) { fleet.MarkLeaving("planner-0", numbered(9)) }, 0},
		{"it has said that it leaves", busy, func(fleet *Fleet) { fleet.MarkLeaveAnnounced("planner-0", start) }, 0},
		{"its data centre is evacuated", busy, func(fleet *Fleet) {
			fleet.Evacuate(NewEvacuations(numbered(2), []string{"bole"}), start)
		}, 0},
		{"it asked for a backoff", busy, func(fleet *Fleet) { fleet.StartBackoff("planner-0", timekeeper.Minute, start) }, 0},
		{"it can't be reached", busy, func(fleet *Fleet) { fleet.MarkUnreachable("planner-0", start) }, 0},
		{"it is cold", busy, func(fleet *Fleet) { fleet.MarkCold(KeyOf("planner-0"), start.Add(timekeeper.Minute)) }, 0},
		{"peers send it all", 0, func(fleet *Fleet) {
			fleet.SetPeerInFlight("10.0.0.2:7000", map[Key]InFlight{KeyOf("planner-0"): {Rate: busy * RateScale}}, timekeeper.Minute, start)
		}, 1},
		{"this entry doesn't know the others yet", busy, func(fleet *Fleet) { fleet.entries = entries{} }, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := New(coldSettings)
			fleet.SetWarmUp("planner", checkedWarmUp)
			fleet.SetReplicas(replicasOf("planner", 1, 64), numbered(1))
			fleet.SetEntries("10.0.0.1:7000", []string{"10.0.0.2:7000"})
			for range test.calls {
				fleet.End(mustChoose(t, fleet, Request{Service: "planner"}, start), Served, start)
			}
			if test.change != nil {
				test.change(fleet)
			}
			So(fleet.StartHealthChecks(start), ShouldHaveLength, test.checks)
			So(fleet.StartHealthChecks(start), ShouldBeEmpty)
		})
	}
}

func TestAServiceThatStopsAnsweringChecks(t *testing.T) {
	// Guards against checks that go on at an empty path after a change of the configuration.
	fleet := New(coldSettings)
	fleet.SetWarmUp("planner", checkedWarmUp)
	fleet.SetReplicas(replicasOf("planner", 1, 64), numbered(1))
	fleet.SetEntries("10.0.0.1:7000", nil)
	Convey("no check follows", t, func() {
		for range 60 {
			fleet.End(mustChoose(t, fleet, Request{Service: "planner"}, start), Served, start)
		}
		checks := fleet.StartHealthChecks(start)
		So(checks, ShouldHaveLength, 1)
		fleet.SetWarmUp("planner", warmUp)
		_, again := fleet.NextHealthCheck(checks[0], start)
		So(again, ShouldBeFalse)
	})
}

func TestWhoChecksAReplica(t *testing.T) {
	// Guards against none or all of many entries checking an engine, also after some were killed.
	for _, entries := range []int{1, 2, 4, 24} {
		Convey(fmt.Sprintf("%d entries", entries), t, func() {
			site := newCheckedSite(entries, 1)
			site.run(60, 3*timekeeper.Second)
			first := site.checkers()
			So(first, ShouldHaveLength, min(entries, checkersPerReplica))
			if entries <= checkersPerReplica {
				return
			}
			for _, entry := range first {
				entry.down = true
			}
			site.run(60, 4*timekeeper.Second)
			So(site.checkers(), ShouldHaveLength, checkersPerReplica)
		})
	}
}

func TestFalseWordsOnTheCold(t *testing.T) {
	// Guards against a replica that is lost to its service because it says forever that it is
	// cold, and against one that gets the full rate because it says that it isn't.
	fleet := New(coldSettings)
	fleet.SetWarmUp("planner", checkedWarmUp)
	fleet.SetReplicas(replicasOf("planner", 2, 64), numbered(1))
	key := KeyOf("planner-0")
	access := func(now timekeeper.Instant) Access { return fleet.eligibility(fleet.replicas["planner-0"], now).Access }
	Convey("it is cold for the warm-up of its service, from the last time that it says so", t, func() {
		until, changed := fleet.ReportCold(key, timekeeper.Hour, start)
		So(changed, ShouldBeTrue)
		So(until, ShouldEqual, start.Add(checkedWarmUp.Span))
		So(access(until-1), ShouldEqual, Limited)
		So(access(until), ShouldEqual, Open)
	})
	Convey("an earlier end than its row says doesn't count", t, func() {
		fleet.SetReplicas(withWarmAt(replicasOf("planner", 2, 64), start.Add(2*timekeeper.Minute)), numbered(2))
		_, changed := fleet.ReportCold(key, 100, start.Add(timekeeper.Minute))
		So(changed, ShouldBeFalse)
		So(access(start.Add(timekeeper.Minute+timekeeper.Second)), ShouldEqual, Limited)
	})
	Convey("what a predecessor says doesn't count", t, func() {
		_, changed := fleet.ReportCold(KeyOf("planner-0@7"), timekeeper.Second, start)
		So(changed, ShouldBeFalse)
	})
}

func TestEngineThatTurnsColdBeyondWhatChecksCover(t *testing.T) {
	// Guards against a crash of an engine that turns cold where no check is in time: it gets more
	// in the time that a notice takes than it tolerates in a second, or both entries that check
	// it are killed as it turns cold.
	Convey("24 entries, 200 requests a second", t, func() {
		site := newCheckedSite(24, 0)
		site.run(200, 2700)
		site.turnCold()
		site.run(200, 1500)
		So(site.mostInASecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
	Convey("both checkers are killed as the engine turns cold", t, func() {
		site := newCheckedSite(6, 0)
		site.run(100, 2700)
		for _, entry := range site.checkers() {
			entry.down = true
		}
		site.turnCold()
		site.run(100, 1500)
		So(site.mostInASecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
}

func TestChecksOfAReplicaWhoseStartBecomesKnown(t *testing.T) {
	// Guards against a replica that nobody checks any more, since its name between entries has
	// changed while it was checked.
	fleet := New(coldSettings)
	fleet.SetWarmUp("planner", checkedWarmUp)
	list := replicasOf("planner", 1, 64)
	fleet.SetReplicas(list, numbered(1))
	fleet.SetEntries("10.0.0.1:7000", nil)
	busy := func() {
		for range 60 {
			fleet.End(mustChoose(t, fleet, Request{Service: "planner"}, start), Served, start)
		}
	}
	Convey("it is checked again", t, func() {
		busy()
		checks := fleet.StartHealthChecks(start)
		So(checks, ShouldHaveLength, 1)
		list[0].StartedAt = start - 5
		fleet.SetReplicas(list, numbered(2))
		busy()
		_, again := fleet.NextHealthCheck(checks[0], start)
		So(again, ShouldBeFalse)
		So(fleet.StartHealthChecks(start), ShouldHaveLength, 1)
	})
}
