package relayer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestTheTimeOfARequestCountsFromItsHead(t *testing.T) {
	// A caller's time, or its route's, is over whatever part of it the body took. If
	// it counted from the end of the body, who sends slowly would be kept waiting
	// past the route's time.
	const arrived = timekeeper.Instant(timekeeper.Hour)
	tests := []struct {
		name                    string
		timeout, deadline, body timekeeper.Span
		want                    timekeeper.Span
	}{
		{"a body that came at once", 700, 0, 0, 700 + lateness},
		{"a body that took half a second", 700, 0, 500, 200 + lateness},
		{"a caller who waits for less than the route", 700, 300, 100, 200 + lateness},
		{"a body that took longer than there was", 700, 0, 2000, lateness - 1300},
		{"no time given", 0, 0, 0, defaultPatience + lateness},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			task := &task{arrived: arrived, route: router.Route{Timeout: test.timeout}, call: Call{Deadline: test.deadline}}
			task.until = task.ends()
			So(task.left(arrived.Add(test.body)), ShouldEqual, test.want)
		})
	}
}

func TestSendingAgainTakesFromTheRetriesLeft(t *testing.T) {
	// Replicas fail in numbers, and each caller's request is sent to another. When
	// the service's retries are used up callers are answered at once; otherwise the
	// replicas that are left would get all the load again.
	const retries = 2
	tests := []struct {
		name    string
		verdict verdict
	}{
		{"a replica that refused", refused},
		{"a replica that broke off", broken},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry := New(Settings{
				Scope: tally.NoopScope,
				Clock: timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour)).Clock(), Entries: func() int { return 1 },
				RetryBudget: RetryBudget{Window: timekeeper.Minute, Extra: retries},
			})
			again := 0
			for range 5 {
				task := &task{entry: entry, service: "orders", route: router.Route{Kind: router.Safe, MaxReplicas: 3}}
				if task.again(attemptResult{verdict: test.verdict}) {
					again++
				}
			}
			So(again, ShouldEqual, retries)
		})
	}
}
