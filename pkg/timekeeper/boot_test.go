package timekeeper

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClockAdvancesDuringSuspension(t *testing.T) {
	// A machine is suspended for a minute. A lease of ten seconds must have expired when
	// it resumes; with a clock that stops during suspension the process would go on as
	// the holder.
	const start = Instant(Hour)
	elapsed := Span(0)
	clock := clockFrom(start, func() Span { return elapsed })
	tests := []struct {
		name    string
		elapsed Span
		held    bool
	}{{"at the start", 0, true}, {"nine seconds later", 9 * Second, true}, {"after a minute of suspension", 69 * Second, false}}
	until := clock.Now().Add(10 * Second)
	for _, test := range tests {
		Convey(test.name, t, func() {
			elapsed = test.elapsed
			So(clock.Now(), ShouldEqual, start.Add(test.elapsed))
			So(clock.Now().Before(until), ShouldEqual, test.held)
		})
	}
}

func TestSinceBootStartsAtWallTime(t *testing.T) {
	Convey("it starts at the wall time and never goes backwards", t, func() {
		before := wallNow()
		clock := SinceBoot()
		last := clock.Now()
		So(last, ShouldBeGreaterThanOrEqualTo, before)
		for range 1000 {
			now := clock.Now()
			So(now, ShouldBeGreaterThanOrEqualTo, last)
			last = now
		}
	})
}
