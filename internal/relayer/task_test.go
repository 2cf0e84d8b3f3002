package relayer

import (
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestTheTimeoutStartsAtTheHeadOfARequest(t *testing.T) {
	// Guards against a timeout that starts at the end of the body: callers that send
	// slowly would be kept waiting past the route's timeout.
	const arrived = timekeeper.Instant(timekeeper.Hour)
	tests := []struct {
		name                                 string
		routeTimeout, callDeadline, bodyTime timekeeper.Span
		want                                 timekeeper.Span
	}{
		{"the body arrives at once", 700, 0, 0, 700 + answerGrace},
		{"the body takes half a second", 700, 0, 500, 200 + answerGrace},
		{"the caller's deadline is shorter than the route's timeout", 700, 300, 100, 200 - 300*maxMarginShare/2},
		{"the caller's deadline is a little longer than the route's timeout", 700, 800, 0, 800 - 800*maxMarginShare/2},
		{"the caller's deadline is far longer than the route's timeout", 700, 2000, 0, 700 + answerGrace},
		{"the caller's deadline alone, a long one", 0, 10_000, 0, 10_000 - answerMargin/2},
		{"the body takes longer than the timeout", 700, 0, 2000, answerGrace - 1300},
		{"neither timeout nor deadline", 0, 0, 0, defaultTimeout + answerGrace},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			task := &task{arrived: arrived, route: router.Route{Timeout: test.routeTimeout}, call: Call{Deadline: test.callDeadline}}
			task.setDeadlines()
			So(task.remaining(arrived.Add(test.bodyTime)), ShouldEqual, test.want)
		})
	}
}

func TestRetriesStopWhenTheBudgetIsUsedUp(t *testing.T) {
	// Guards against retries that multiply the load on the remaining replicas when many
	// replicas fail at once: without a retry left, the request fails at once.
	const retries = 2
	tests := []struct {
		name    string
		verdict verdict
	}{
		{"the replica refuses", refused},
		{"the replica breaks off", broken},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			log, lines := logtest.NewNullLogger()
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			entry := New(Settings{
				Scope: tally.NoopScope, Log: log,
				Clock: clock.Clock(), RetryParts: func() int { return 1 },
				RetryBudget: RetryBudget{Window: timekeeper.Minute, Extra: retries},
			})
			clock.Advance(timekeeper.Hour)
			retryAllowed := 0
			for range 5 {
				task := &task{entry: entry, service: "orders", route: router.Route{Kind: router.Safe, MaxReplicas: 3}}
				if task.retryAllowed(attemptResult{verdict: test.verdict}) && task.spendRetry() {
					retryAllowed++
				}
			}
			So(retryAllowed, ShouldEqual, retries)
			So(lines.Entries[0].Message, ShouldEqual, "retry allowed")
			So(lines.LastEntry().Message, ShouldEqual, "retry denied")
			So(lines.LastEntry().Data["window-retries"], ShouldEqual, retries)
			So(lines.LastEntry().Data["retries-left"], ShouldEqual, 0)
		})
	}
}

func TestRetriesThatAreNotSentAreLeftToOthers(t *testing.T) {
	// Guards against requests that are denied a retry which another request has reserved and, for
	// lack of a replica, does not send.
	log, lines := logtest.NewNullLogger()
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	entry := New(Settings{
		Scope: tally.NoopScope, Log: log, Clock: clock.Clock(), RetryParts: func() int { return 1 },
		RetryBudget: RetryBudget{Window: timekeeper.Minute, Extra: 1},
	})
	clock.Advance(timekeeper.Hour)
	first, second := &task{entry: entry, service: "orders"}, &task{entry: entry, service: "orders"}
	Convey("the second of two requests gets the retry of the first", t, func() {
		So(first.retryAllowed(attemptResult{verdict: refused}), ShouldBeTrue)
		So(second.retryAllowed(attemptResult{verdict: refused}), ShouldBeFalse)
		So(lines.LastEntry().Data["reserved"], ShouldEqual, 1)
		first.releaseRetry()
		So(second.retryAllowed(attemptResult{verdict: refused}), ShouldBeTrue)
		So(second.spendRetry(), ShouldBeTrue)
		So(first.spendRetry(), ShouldBeFalse)
	})
}

func TestThePartOfAProcessThatHasJustStarted(t *testing.T) {
	// Guards against entries of a new site that deny the first callers a retry, and against entries
	// that use again, after a restart, what their predecessors have used.
	tests := []struct {
		name       string
		firstStart bool
		after      timekeeper.Span
		allowed    bool
	}{
		{"all entries start for the first time", true, 0, true},
		{"a restart", false, 0, false},
		{"a window after a restart", false, 11 * timekeeper.Second, true},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			log, _ := logtest.NewNullLogger()
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			entry := New(Settings{
				Scope: tally.NoopScope, Log: log, Clock: clock.Clock(), RetryParts: func() int { return 8 }, FirstStart: test.firstStart,
				RetryBudget: RetryBudget{Window: 10 * timekeeper.Second, Ratio: 0.2, Extra: 20},
			})
			clock.Advance(test.after)
			task := &task{entry: entry, service: "orders"}
			So(task.retryAllowed(attemptResult{verdict: refused}), ShouldEqual, test.allowed)
		})
	}
}

func TestARetryThatNoLongerFitsIsNotSent(t *testing.T) {
	// Guards against retries that wait for a replica while requests become few, and reach it in a
	// window that no longer allows them.
	const waited = 30 * timekeeper.Second
	log, _ := logtest.NewNullLogger()
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	fleet := balancer.Guard(balancer.New(balancer.Settings{}))
	entry := New(Settings{
		Scope: tally.NoopScope, Log: log, Clock: clock.Clock(), Fleet: fleet, RetryParts: func() int { return 1 },
		RetryBudget: RetryBudget{Window: 10 * timekeeper.Second, Ratio: 0.2},
	})
	for range 10 {
		entry.earnRetries("planner")
	}
	task := &task{entry: entry, service: "planner"}
	allowed := task.retryAllowed(attemptResult{verdict: refused})
	var placement *balancer.Placement
	fleet.With(func(fleet *balancer.Fleet) {
		fleet.SetReplicas([]balancer.Replica{{ID: "planner-1", Service: "planner", Slots: 64}}, sequencer.Version{Number: 1})
		placement, _ = fleet.Choose(balancer.Request{Service: "planner"}, clock.Now())
	})
	clock.Advance(waited)
	cause := task.admit(placement)
	Convey("it is denied before it is sent, and the replica is not blamed", t, func() {
		So(allowed, ShouldBeTrue)
		So(cause, ShouldEqual, errRetryDenied)
		So(notAdmitted(cause), ShouldBeTrue)
		So(task.retryAllowed(attemptResult{verdict: unsent, cause: cause}), ShouldBeFalse)
		So(task.retryReserved, ShouldBeFalse)
	})
}

func TestAReplicaThatTurnedColdIsNotExcluded(t *testing.T) {
	// Guards against the refusal of requests while all replicas of a service are cold, since
	// those that were placed before may not wait for the same replica again.
	tests := []struct {
		name     string
		cause    balancer.Cause
		excluded []string
	}{
		{"turned cold", balancer.Cold, nil},
		{"leaves", balancer.Leaving, []string{"planner-1"}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := balancer.Guard(balancer.New(balancer.Settings{}))
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			entry := New(Settings{Scope: tally.NoopScope, Clock: clock.Clock(), Fleet: fleet, RetryParts: func() int { return 1 }})
			task := &task{entry: entry}
			row := balancer.Replica{ID: "planner-1", Service: "planner", Slots: 64}
			var placement *balancer.Placement
			fleet.With(func(fleet *balancer.Fleet) {
				fleet.SetWarmUp("planner", balancer.WarmUp{Span: 3000, Rate: 12})
				fleet.SetReplicas([]balancer.Replica{row}, sequencer.Version{Number: 1})
				placement, _ = fleet.Choose(balancer.Request{Service: "planner"}, clock.Now())
				if test.cause == balancer.Cold {
					fleet.MarkCold(row.Key(), clock.Now().Add(3000))
				} else {
					fleet.MarkLeaving(row.ID, sequencer.Version{Number: 2})
				}
			})
			cause := task.admit(placement)
			So(cause, ShouldNotBeNil)
			So(task.retryAllowed(attemptResult{verdict: unsent, replica: row, cause: cause}), ShouldBeTrue)
			So(task.excluded, ShouldResemble, test.excluded)
		})
	}
}
