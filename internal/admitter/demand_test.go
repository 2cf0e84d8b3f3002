package admitter

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestDemandRaisesAnOutdatedMean(t *testing.T) {
	outdated := Mean{Total: 10, Replicas: 9, Age: 2 * timekeeper.Second}
	tests := []struct {
		name     string
		reported []demandReport
		now      timekeeper.Instant
		want     int64
	}{
		{"no report", nil, 0, 10},
		{"the reports of two entries exceed the mean", []demandReport{{"a", 300, 0}, {"b", 200, 10}}, 20, 500},
		{"only the latest report of an entry counts", []demandReport{{"a", 300, 0}, {"a", 40, 10}}, 20, 40},
		{"reports below the mean change nothing", []demandReport{{"a", 3, 0}}, 20, 10},
		{"an old report expires", []demandReport{{"a", 300, 0}}, 1001, 10},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var demand Demand
			for _, reported := range test.reported {
				demand.Record(reported.entry, reported.work, reported.at)
			}
			got := demand.Raise(outdated, test.now)
			So(got.Total, ShouldEqual, test.want)
			So(got.Replicas, ShouldEqual, outdated.Replicas)
			So(got.Age, ShouldEqual, outdated.Age)
		})
	}
}

func TestABurstAtHalfLoadRefusesNobody(t *testing.T) {
	// Guards against refusals in a burst: forty callers start at once at nine
	// replicas of eight slots, while all digests still show an idle service. Each
	// call is offered to its home and to two more replicas. By the outdated mean
	// nearly all candidates refuse; when each offer reports the entry's work in
	// flight, every caller gets a slot, and no replica holds more than its bound
	// and one call.
	const replicas, callers, work, bound = 9, 40, 25, 139 // 139 is 1.25 of the mean at the end, rounded up.
	for _, reported := range []bool{false, true} {
		controllers := make([]*Controller, replicas)
		demands := make([]Demand, replicas)
		for i := range controllers {
			controllers[i] = NewController(Limits{Slots: 8, QueueLength: 64, LoadFactor: 1.25})
		}
		refused := 0
		for call := range callers {
			if !offerAround(controllers, demands, call, reported, work) {
				refused++
			}
		}
		Convey("load reported "+map[bool]string{true: "with each offer", false: "by digests alone"}[reported], t, func() {
			if !reported {
				So(refused, ShouldBeGreaterThan, callers/4)
				return
			}
			So(refused, ShouldEqual, 0)
			for _, controller := range controllers {
				So(controller.Load().Work, ShouldBeLessThanOrEqualTo, bound+work)
			}
		})
	}
}

// offerAround offers a call to its home and two more replicas, and reports
// whether one took it. The homes are skewed to the first third of the replicas.
func offerAround(controllers []*Controller, demands []Demand, call int, reported bool, work int64) bool {
	mean := Mean{Replicas: len(controllers), Age: 2 * timekeeper.Second}
	home := call % 3 * (call % 5) % len(controllers)
	for attempt := range 3 {
		at := (home + attempt*(call%4+1)) % len(controllers)
		current := mean
		if reported {
			demands[at].Record("entry-1", int64(call+1)*work, 0)
			current = demands[at].Raise(mean, 0)
		}
		ticket := Ticket{ID: string(rune('a' + call)), Work: work, Class: 3}
		if controllers[at].Offer(ticket, current).Outcome != Refused {
			return true
		}
	}
	return false
}
