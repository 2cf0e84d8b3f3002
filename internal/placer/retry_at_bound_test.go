package placer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTheOnlyKnownReplicaIsRetriedAtItsBound(t *testing.T) {
	// The entry knows one replica of the service. That replica refuses at its
	// bound, since the mean still counts the others, and no other is left to try.
	tests := []struct {
		name    string
		refusal Refusal
		retried bool
	}{
		{"refused at its bound", Refusal{AtBound: true}, true},
		{"refused for another reason", Refusal{}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			plan := NewAttemptPlan(NewRoster([]Replica{{Name: "orders-1"}}), 7, nil)
			first, ok := plan.Next()
			So(ok, ShouldBeTrue)
			plan.RecordRefusal(test.refusal)
			_, ok = plan.Next()
			So(ok, ShouldBeFalse)
			last, ok := plan.RetryAtBound()
			So(ok, ShouldEqual, test.retried)
			if ok {
				So(last.Replica.Name, ShouldEqual, first.Replica.Name)
			}
			_, ok = plan.RetryAtBound()
			So(ok, ShouldBeFalse)
		})
	}
}
