package budgeter

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestLevelsFollowTheRate(t *testing.T) {
	tests := []struct {
		rate  int64
		level Level
	}{{100, Ample}, {650, Tight}, {850, Short}, {1200, Spent}}
	for _, test := range tests {
		Convey("a steady rate against a limit of 1000 bytes a second reaches "+test.level.String(), t, func() {
			budget := New(Settings{Limit: 1000})
			now := timekeeper.Instant(0)
			for range 60 {
				now = now.Add(timekeeper.Second)
				budget.Spend(now, Digest, test.rate)
			}
			So(budget.Level(now), ShouldEqual, test.level)
			So(budget.Level(now.Add(timekeeper.Minute)), ShouldEqual, Ample)
			So(budget.Status(now).Causes[Digest].Bytes, ShouldEqual, 60*test.rate)
		})
	}
}
