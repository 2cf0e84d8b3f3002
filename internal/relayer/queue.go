package relayer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// dispatchInterval is the interval at which waiting requests are dispatched even if no
// request of this entry ends: requests of peers end too, and replicas recover.
const dispatchInterval = 10 * timekeeper.Millisecond

// minDispatchInterval is the least time between two dispatches after ended requests. Each
// dispatch visits all waiting requests; one dispatch for each of thousands of requests that
// end per second would take the processor time that callers need.
const minDispatchInterval = 3 * timekeeper.Millisecond

// queue wakes requests that wait for a replica. Its lock is never taken while the lock of
// the fleet is held.
type queue struct {
	fleet *balancer.Guarded
	clock timekeeper.Clock

	// triggered receives a value when a request begins to wait.
	triggered chan struct{}

	// lastDispatch is the instant of the last dispatch.
	lastDispatch atomic.Int64

	mu sync.Mutex
	// waiters holds, for each waiting request, the channel that is closed once it is
	// placed or refused.
	waiters map[*balancer.Waiter]chan struct{}
}

func newQueue(fleet *balancer.Guarded, clock timekeeper.Clock) *queue {
	return &queue{fleet: fleet, clock: clock, triggered: make(chan struct{}, 1), waiters: map[*balancer.Waiter]chan struct{}{}}
}

// place requests a replica, and waits for it until ctx ends.
func (queue *queue) place(ctx context.Context, waiter *balancer.Waiter) {
	wake := make(chan struct{})
	queue.mu.Lock()
	queue.waiters[waiter] = wake
	queue.mu.Unlock()
	defer queue.forget(waiter)
	done := false
	queue.fleet.With(func(fleet *balancer.Fleet) {
		fleet.Arrive(waiter, queue.clock.Now())
		done = waiter.Placement != nil || waiter.Reason != ""
	})
	if done {
		return
	}
	queue.trigger()
	select {
	case <-wake:
		queue.refuseWithdrawn(waiter)
	case <-ctx.Done():
		queue.abandon(waiter)
	}
}

// trigger wakes run.
func (queue *queue) trigger() {
	select {
	case queue.triggered <- struct{}{}:
	default:
	}
}

// run dispatches periodically while requests wait, until ctx ends.
func (queue *queue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.triggered:
		}
		for queue.hasWaiters() && queue.clock.Sleep(ctx, dispatchInterval) == nil {
			queue.dispatch()
		}
	}
}

// abandon dequeues a waiter whose caller has left or whose time is over. If it was placed
// meanwhile, its placement is ended.
func (queue *queue) abandon(waiter *balancer.Waiter) {
	queue.fleet.With(func(fleet *balancer.Fleet) {
		fleet.Dequeue(waiter)
		if waiter.Placement != nil {
			fleet.End(waiter.Placement, balancer.Abandoned, queue.clock.Now())
			waiter.Placement = nil
		}
	})
}

// reasonQuarantined is why a request is refused that waited when a part of its prompt was quarantined.
const reasonQuarantined balancer.Reason = "quarantined"

// withdraw refuses the waiting requests that match.
func (queue *queue) withdraw(matches func(waiter *balancer.Waiter) bool) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	for waiter, wake := range queue.waiters {
		if !matches(waiter) {
			continue
		}
		queue.abandon(waiter)
		queue.fleet.With(func(*balancer.Fleet) { waiter.Reason = reasonQuarantined })
		close(wake)
		delete(queue.waiters, waiter)
	}
}

// refuseWithdrawn refuses a waiter that was woken without a decision: it was withdrawn before it was
// enqueued.
func (queue *queue) refuseWithdrawn(waiter *balancer.Waiter) {
	decided := true
	queue.fleet.With(func(*balancer.Fleet) { decided = waiter.Placement != nil || waiter.Reason != "" })
	if !decided {
		queue.abandon(waiter)
		waiter.Reason = reasonQuarantined
	}
}

// forget removes a waiter that no longer needs to be woken.
func (queue *queue) forget(waiter *balancer.Waiter) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	delete(queue.waiters, waiter)
}

// placeFreed dispatches after a request has ended, at most once in minDispatchInterval.
func (queue *queue) placeFreed() {
	now := queue.clock.Now()
	if queue.hasWaiters() && now.Since(timekeeper.Instant(queue.lastDispatch.Load())) >= minDispatchInterval {
		queue.dispatch()
	}
}

// dispatch places waiting requests and wakes those that were placed or refused.
func (queue *queue) dispatch() {
	queue.lastDispatch.Store(int64(queue.clock.Now()))
	var decided []*balancer.Waiter
	queue.fleet.With(func(fleet *balancer.Fleet) {
		if fleet.Waiting() > 0 {
			decided = fleet.Dispatch(queue.clock.Now())
		}
	})
	if len(decided) == 0 {
		return
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	for _, waiter := range decided {
		if wake, found := queue.waiters[waiter]; found {
			close(wake)
			delete(queue.waiters, waiter)
		}
	}
}

// hasWaiters reports whether any request waits.
func (queue *queue) hasWaiters() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.waiters) > 0
}
