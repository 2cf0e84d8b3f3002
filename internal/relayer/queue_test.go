package relayer

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Guards against requests with a quarantined part that go on waiting for a replica, and take the places of
// others.
func TestWithdrawnRequests(t *testing.T) {
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	fleet := balancer.New(balancer.Settings{LoadFactor: 1})
	fleet.SetReplicas([]balancer.Replica{{ID: "planner-1", Service: "planner", Slots: 1}}, sequencer.Version{Number: 1})
	queue := newQueue(balancer.Guard(fleet), clock.Clock())
	place := func(part uint64) (*balancer.Waiter, chan struct{}) {
		done, until := make(chan struct{}), clock.Now().Add(timekeeper.Minute)
		waiter := &balancer.Waiter{Due: until, Until: until, Request: balancer.Request{
			Service: "planner", MaxConnections: 1, Parts: []balancer.Part{{ID: part, Tokens: 9}, {ID: 100, Tokens: 9}},
		}}
		go func() {
			defer close(done)
			queue.place(context.Background(), waiter)
		}()
		return waiter, done
	}
	waiting := func() (count int) {
		queue.fleet.With(func(fleet *balancer.Fleet) { count = fleet.Waiting() })
		return count
	}
	Convey("those with the part are refused at once, the others wait on", t, func() {
		first, placed := place(1)
		<-placed
		So(first.Placement, ShouldNotBeNil)
		bad, refused := place(2)
		sound, answered := place(1)
		for waiting() < 2 {
			_ = timekeeper.Steady().Sleep(t.Context(), 1)
		}
		queue.withdraw(func(waiter *balancer.Waiter) bool { return waiter.Request.Parts[0].ID == 2 })
		<-refused
		So(bad.Reason, ShouldEqual, reasonQuarantined)
		So(waiting(), ShouldEqual, 1)
		queue.fleet.With(func(fleet *balancer.Fleet) { fleet.End(first.Placement, balancer.Served, clock.Now()) })
		queue.dispatch()
		<-answered
		So(sound.Placement, ShouldNotBeNil)
	})
}
