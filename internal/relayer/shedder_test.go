package relayer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestALateEntryShedsLoad(t *testing.T) {
	tests := []struct {
		name string
		late timekeeper.Span
		want float64
	}{
		{"not late", 0, 0},
		{"at the lower bound", minShedLateness, 0},
		{"halfway between the bounds", (minShedLateness + maxShedLateness) / 2, maxShedShare / 2},
		{"at the upper bound", maxShedLateness, maxShedShare},
		{"far above the upper bound", timekeeper.Minute, maxShedShare},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			shedder := &shedder{}
			shedder.record(test.late)
			const draws = 1000
			shed := 0
			for i := range draws {
				if shedder.sheds(float64(i) / draws) {
					shed++
				}
			}
			So(float64(shed)/draws, ShouldAlmostEqual, test.want, 0.002)
		})
	}
	Convey("a past lateness decays within a second", t, func() {
		shedder := &shedder{}
		shedder.record(maxShedLateness)
		for range timekeeper.Second / latenessInterval {
			shedder.record(0)
		}
		So(shedder.sheds(0), ShouldBeFalse)
	})
}
