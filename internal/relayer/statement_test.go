package relayer

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestWhatAnswersSayOfTheirReplicas(t *testing.T) {
	// Guards against what another replica at the address says of itself being taken for the
	// word of the one that was meant.
	replica := balancer.Replica{ID: "r", Born: 1000, Service: "orders", Address: "10.0.0.1:80", Slots: 6}
	said := Head{
		NotRun: true, Leaving: true, Backoff: timekeeper.Second, BackoffFault: "cut",
		Load: &balancer.LoadReport{Running: 6, Slots: 6},
	}
	elsewhere := said
	elsewhere.Misdirected = true
	tests := []struct {
		name      string
		head      Head
		announced []string
		held      int
		reason    balancer.Reason
	}{
		{"its own", said, []string{"r@1000"}, 6, balancer.NoReplicas},
		{"another's", elsewhere, nil, 0, ""},
		{"nothing", Head{}, nil, 0, ""},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			log := logrus.New()
			log.SetOutput(io.Discard)
			fleet := balancer.New(balancer.Settings{})
			fleet.SetReplicas([]balancer.Replica{replica}, 1)
			var announced []string
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour)).Clock()
			entry := New(Settings{
				Scope: tally.NoopScope, Clock: clock, Log: log, Fleet: balancer.Guard(fleet),
				LeaveAnnounced: func(incarnation string) { announced = append(announced, incarnation) },
			})
			task := &task{entry: entry, service: "orders"}
			task.hear(replica, 503, test.head)
			task.hear(replica, 503, test.head)
			So(announced, ShouldResemble, test.announced)
			So(fleet.Survey(clock.Now())[0].Most, ShouldEqual, test.held)
			_, reason := fleet.Choose(balancer.Ask{Service: "orders"}, clock.Now())
			So(reason, ShouldEqual, test.reason)
		})
	}
}
