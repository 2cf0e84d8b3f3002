package timekeeper

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAClockThatGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	// A machine is suspended for a minute. What a process holds for ten seconds is over
	// when it wakes; a clock that stood still would let it go on as the holder.
	const begin = Instant(Hour)
	passed := Span(0)
	clock := evenly(begin, func() Span { return passed })
	tests := []struct {
		name   string
		passed Span
		held   bool
	}{{"at first", 0, true}, {"nine seconds later", 9 * Second, true}, {"after a minute asleep", 69 * Second, false}}
	until := clock.Now().Add(10 * Second)
	for _, test := range tests {
		Convey(test.name, t, func() {
			passed = test.passed
			So(clock.Now(), ShouldEqual, begin.Add(test.passed))
			So(clock.Now().Before(until), ShouldEqual, test.held)
		})
	}
}

func TestAClockBeginsAtTheTimeOfDay(t *testing.T) {
	Convey("and never goes back", t, func() {
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
