package relayer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAnEntryThatIsLateRefuses(t *testing.T) {
	tests := []struct {
		name string
		late timekeeper.Span
		want float64
	}{
		{"in time", 0, 0},
		{"a little late", easyLateness, 0},
		{"halfway", (easyLateness + hardLateness) / 2, mostRefused / 2},
		{"very late", hardLateness, mostRefused},
		{"hopelessly late", timekeeper.Minute, mostRefused},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			pressure := &pressure{}
			pressure.learn(test.late)
			const draws = 1000
			refused := 0
			for i := range draws {
				if pressure.refuses(float64(i) / draws) {
					refused++
				}
			}
			So(float64(refused)/draws, ShouldAlmostEqual, test.want, 0.002)
		})
	}
	Convey("it is forgotten within a second", t, func() {
		pressure := &pressure{}
		pressure.learn(hardLateness)
		for range timekeeper.Second / pressureEvery {
			pressure.learn(0)
		}
		So(pressure.refuses(0), ShouldBeFalse)
	})
}
