package quarantiner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Guards against a crash that counts against no request, or against one that the replica has outlived.
func TestRuns(t *testing.T) {
	const now, deadline = timekeeper.Instant(1000), timekeeper.Instant(5000)
	other := Feature{Kind: Request, ID: 9}
	tests := []struct {
		name   string
		record func(runs *Runs[int])
		// crashAt is when the replica crashes, suspects are the requests against which that counts.
		crashAt  timekeeper.Instant
		suspects []Feature
	}{
		{"soon after the end", func(runs *Runs[int]) { runs.End("a", 1, badRequest, now) }, now + 800, []Feature{badRequest}},
		{"long after the end", func(runs *Runs[int]) { runs.End("a", 1, badRequest, now) }, now + 3000, nil},
		{"of another replica", func(runs *Runs[int]) { runs.End("b", 2, badRequest, now) }, now, nil},
		{"before the deadline of a request that was given up", func(runs *Runs[int]) { runs.Abandon("a", 1, badRequest, deadline, now) }, deadline, []Feature{badRequest}},
		{"long after that deadline", func(runs *Runs[int]) { runs.Abandon("a", 1, badRequest, deadline, now) }, deadline + 3000, nil},
		{"long after a request without a deadline was given up", func(runs *Runs[int]) { runs.Abandon("a", 1, badRequest, 1<<40, now) }, now + 18000, nil},
		{
			"a run that ends while another of the same request may go on", func(runs *Runs[int]) {
				runs.Abandon("a", 1, badRequest, deadline, now)
				runs.End("a", 1, badRequest, now)
			}, deadline, []Feature{badRequest},
		},
		{
			"after two requests", func(runs *Runs[int]) {
				runs.End("a", 1, other, now)
				runs.End("a", 1, badRequest, now+1)
			}, now + 1, []Feature{other, badRequest},
		},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			runs := NewRuns[int]()
			test.record(runs)
			So(runs.Crash("a", test.crashAt), ShouldResemble, test.suspects)
			So(runs.Watches("a"), ShouldBeFalse)
		})
	}
	Convey("replicas outlive requests with whole answers, not those that were given up", t, func() {
		runs := NewRuns[int]()
		runs.End("a", 1, badRequest, now)
		runs.Abandon("a", 1, other, now, now)
		So(runs.Expire(now+2999), ShouldBeEmpty)
		So(runs.Watched(), ShouldResemble, []int{1})
		So(runs.Expire(now+3000), ShouldResemble, []Outlived[int]{{Request: badRequest, Replica: 1}})
		So(runs.Watched(), ShouldBeEmpty)
	})
	Convey("runs and suspects are bounded", t, func() {
		runs := NewRuns[int]()
		for number := range uint64(2 * maxRuns) {
			runs.End("a", 1, Feature{Kind: Request, ID: number}, now)
		}
		So(runs.count, ShouldEqual, maxRuns)
		suspects := runs.Crash("a", now)
		So(suspects, ShouldHaveLength, maxSuspects)
		So(suspects[maxSuspects-1].ID, ShouldEqual, uint64(maxRuns-1))
		So(runs.count, ShouldEqual, 0)
	})
}
