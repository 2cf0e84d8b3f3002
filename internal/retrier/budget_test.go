package retrier

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestRetriesStayWithinTheirRatio checks the limit that protects a saturated
// service: over any sequence of calls the retries are at most the reserve plus
// the ratio of the calls, however many calls without retries came before.
func TestRetriesStayWithinTheirRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Ratio:   rapid.Float64Range(0.01, 2).Draw(t, "share"),
			Reserve: rapid.Float64Range(1, 50).Draw(t, "reserve"),
		}
		budget := NewBudget(settings)
		quiet := rapid.IntRange(0, 1000).Draw(t, "quiet")
		for range quiet {
			budget.Earn()
		}
		calls, retries := 0.0, 0.0
		for _, earns := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			switch {
			case earns:
				calls++
				budget.Earn()
			case budget.Spend():
				retries++
			}
			if limit := settings.Reserve + calls*settings.Ratio; retries > limit+1e-9 {
				t.Fatalf("%v retries after %v calls and %d earlier ones without retries; the limit is %v", retries, calls, quiet, limit)
			}
		}
	})
}

func TestRestartsDoNotRenewTheReserve(t *testing.T) {
	// Guards against an entry that may retry as often after each restart as after a long time
	// without retries.
	const restarts, calls = 50, 4
	retries := 0
	for range restarts {
		budget := NewBudget(Settings{})
		for range calls {
			budget.Earn()
			for range 2 {
				if budget.Spend() {
					retries++
				}
			}
		}
	}
	Convey("the ratio of the calls bounds the retries", t, func() {
		So(retries, ShouldBeLessThanOrEqualTo, restarts*calls/2)
	})
}

func TestABudgetAtFullSaturation(t *testing.T) {
	// At full saturation every call would be retried twice. The budget limits this
	// to about 1.5 offers per call, and grows again once the service has recovered.
	const calls = 1000
	tests := []struct {
		name     string
		settings Settings
		retries  int
	}{
		{"defaults", Settings{}, 519},
		{"a ratio of a tenth", Settings{Ratio: 0.1, Reserve: 10}, 109},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			budget, retries := NewBudget(test.settings), 0
			for range calls {
				budget.Earn()
				for range 2 {
					if budget.Spend() {
						retries++
					}
				}
			}
			So(retries, ShouldEqual, test.retries)
			So(budget.Spend(), ShouldBeFalse)
			for range calls {
				budget.Earn()
			}
			So(budget.Spend(), ShouldBeTrue)
		})
	}
}
