package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestWhenAnAnswerCarriesTheLoad(t *testing.T) {
	tests := []struct {
		name     string
		reported reportedLoad
		after    timekeeper.Span
		load     int64
		want     bool
	}{
		{"the first answer", reportedLoad{}, 0, 0, true},
		{"nothing changed", reportedLoad{1000, 400}, 10, 400, false},
		{"little changed", reportedLoad{1000, 400}, 10, 350, false},
		{"much more", reportedLoad{1000, 400}, 10, 500, true},
		{"much less", reportedLoad{1000, 400}, 10, 300, true},
		{"an idle agent stays idle", reportedLoad{1000, 0}, 10, 0, false},
		{"a second has passed", reportedLoad{1000, 400}, reportInterval, 400, true},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			due, after := test.reported.due(test.reported.at.Add(test.after), test.load)
			So(due, ShouldEqual, test.want)
			So(after.load == test.load, ShouldEqual, test.want || test.load == test.reported.load)
		})
	}
}

func TestEndOfAnswerReportsLoadWithoutTheCall(t *testing.T) {
	harness := newHarness(t)
	Convey("the load excludes the call, and an exhausted budget suppresses it", t, func() {
		for i, allowed := range []bool{true, false} {
			harness.agent.settings.AllowDigest = func(*encoder.Digest) bool { return allowed }
			harness.agent.reported = reportedLoad{}
			id := string(rune('a' + i))
			stream := harness.open(&encoder.Offer{RequestId: id, Service: "orders", Team: "rig", Work: 5, Idempotent: true, RunFollows: true})
			harness.send(stream, &encoder.Run{RequestId: id, Method: "GET", Path: "/orders"})
			now := lastFrame(harness, stream).GetNow()
			So(now != nil, ShouldEqual, allowed)
			So(now.GetLoad(), ShouldEqual, 0)
		}
	})
}

// lastFrame reads frames up to the end of an answer.
func lastFrame(harness *harness, stream *encoder.Stream) *encoder.End {
	for {
		frame, err := stream.Read()
		if err != nil {
			harness.t.Fatal(err)
		}
		if frame.GetEnd() != nil {
			return frame.GetEnd()
		}
	}
}
