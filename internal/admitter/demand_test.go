package admitter

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestDemandRaisesAnOldMean(t *testing.T) {
	stale := Mean{Total: 10, Replicas: 9, Age: 2 * timekeeper.Second}
	tests := []struct {
		name string
		told []demandReport
		now  timekeeper.Instant
		want int64
	}{
		{"nothing was told", nil, 0, 10},
		{"two entries have more than the mean knows", []demandReport{{"a", 300, 0}, {"b", 200, 10}}, 20, 500},
		{"an entry's last word counts, not each", []demandReport{{"a", 300, 0}, {"a", 40, 10}}, 20, 40},
		{"less than the mean changes nothing", []demandReport{{"a", 3, 0}}, 20, 10},
		{"an old word is forgotten", []demandReport{{"a", 300, 0}}, 1001, 10},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var demand Demand
			for _, told := range test.told {
				demand.Record(told.entry, told.work, told.at)
			}
			got := demand.Raise(stale, test.now)
			So(got.Total, ShouldEqual, test.want)
			So(got.Replicas, ShouldEqual, stale.Replicas)
			So(got.Age, ShouldEqual, stale.Age)
		})
	}
}

func TestABurstAtHalfLoadRefusesNobody(t *testing.T) {
	// Forty callers begin within a moment at nine replicas of eight slots. All
	// digests still say that the service is idle. Each call is offered to its
	// home and to two more; judged by the old mean nearly all candidates refuse.
	// With what the entry has under way in each offer, every caller gets a slot,
	// and no replica holds more than its share and one call.
	const replicas, callers, work, most = 9, 40, 25, 139 // 139 is 1.25 of the mean at the end, rounded up.
	for _, told := range []bool{false, true} {
		controllers := make([]*Controller, replicas)
		demands := make([]Demand, replicas)
		for i := range controllers {
			controllers[i] = NewController(Limits{Slots: 8, QueueLength: 64, LoadFactor: 1.25})
		}
		refused := 0
		for call := range callers {
			if !offerAround(controllers, demands, call, told, work) {
				refused++
			}
		}
		Convey("told "+map[bool]string{true: "with each offer", false: "by digests alone"}[told], t, func() {
			if !told {
				So(refused, ShouldBeGreaterThan, callers/4)
				return
			}
			So(refused, ShouldEqual, 0)
			for _, controller := range controllers {
				So(controller.Load().Work, ShouldBeLessThanOrEqualTo, most+work)
			}
		})
	}
}

// offerAround offers a call to its home and two more replicas; homes are skewed
// to the first third of the replicas.
func offerAround(controllers []*Controller, demands []Demand, call int, told bool, work int64) bool {
	mean := Mean{Replicas: len(controllers), Age: 2 * timekeeper.Second}
	home := call % 3 * (call % 5) % len(controllers)
	for attempt := range 3 {
		at := (home + attempt*(call%4+1)) % len(controllers)
		now := mean
		if told {
			demands[at].Record("entry-1", int64(call+1)*work, 0)
			now = demands[at].Raise(mean, 0)
		}
		ticket := Ticket{ID: string(rune('a' + call)), Work: work, Class: 3}
		if controllers[at].Offer(ticket, now).Outcome != Refused {
			return true
		}
	}
	return false
}
