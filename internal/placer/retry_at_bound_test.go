package placer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTheOnlyReplicaLeftIsOfferedOnceMore(t *testing.T) {
	// Of a service's replicas one is known to the entry. It refuses at its bound,
	// since the mean still counts the others; no other stop is left.
	tests := []struct {
		name    string
		refusal Refusal
		again   bool
	}{
		{"refused at its bound", Refusal{AtBound: true}, true},
		{"refused for another reason", Refusal{}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			route := NewAttemptPlan(NewRoster([]Replica{{Name: "orders-1"}}), 7, nil)
			first, ok := route.Next()
			So(ok, ShouldBeTrue)
			route.RecordRefusal(test.refusal)
			_, ok = route.Next()
			So(ok, ShouldBeFalse)
			last, ok := route.RetryAtBound()
			So(ok, ShouldEqual, test.again)
			if ok {
				So(last.Replica.Name, ShouldEqual, first.Replica.Name)
			}
			_, ok = route.RetryAtBound()
			So(ok, ShouldBeFalse)
		})
	}
}
