package forwarder

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
)

func TestNotRunIsToldOnlyWhenItIsTrueOfEveryAttempt(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		kinds      []classifier.Kind
		tried      int
		told       classifier.Kind
	}{
		{"refused everywhere", false, []classifier.Kind{classifier.Overloaded, classifier.Draining}, 2, classifier.Draining},
		{"an order that was lost is tried nowhere else", false, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 1, classifier.OutcomeUnknown},
		{"a lost attempt stays unknown after a refusal", true, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 2, classifier.OutcomeUnknown},
		{"a key of another body is final", false, []classifier.Kind{classifier.KeyReused, classifier.Overloaded}, 1, classifier.KeyReused},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var attempts attempts
			tried := 0
			for _, kind := range test.kinds {
				tried++
				if !attempts.add(call{idempotent: test.idempotent}, classifier.New(kind, "")) {
					break
				}
			}
			So(tried, ShouldEqual, test.tried)
			So(attempts.failure().Kind, ShouldEqual, test.told)
		})
	}
}
