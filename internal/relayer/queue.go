package relayer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// dispatchEvery is how often who waits is looked at without an event of this
// entry: peers free places too, and replicas come back.
const dispatchEvery = 10 * timekeeper.Millisecond

// dispatchPause is the least time between two looks. Each goes through all who
// wait; at thousands of ends a second one look for each would take the time that
// callers need.
const dispatchPause = 3 * timekeeper.Millisecond

// queue wakes the requests that wait for a replica. Its lock is taken after that
// of the fleet has been given back, never while it is held.
type queue struct {
	fleet *balancer.Guarded
	clock timekeeper.Clock

	// stirred has a value once someone waits.
	stirred chan struct{}

	// looked is when those who wait were last looked at.
	looked atomic.Int64

	mu      sync.Mutex
	decided map[*balancer.Waiter]chan struct{}
}

func newQueue(fleet *balancer.Guarded, clock timekeeper.Clock) *queue {
	return &queue{fleet: fleet, clock: clock, stirred: make(chan struct{}, 1), decided: map[*balancer.Waiter]chan struct{}{}}
}

// place asks for a replica, and waits for it until ctx ends.
func (queue *queue) place(ctx context.Context, waiter *balancer.Waiter) {
	wake := make(chan struct{})
	queue.mu.Lock()
	queue.decided[waiter] = wake
	queue.mu.Unlock()
	defer queue.forget(waiter)
	done := false
	queue.fleet.With(func(fleet *balancer.Fleet) {
		fleet.Enqueue(waiter, queue.clock.Now())
		done = waiter.Placement != nil || waiter.Reason != ""
	})
	if done {
		return
	}
	queue.stir()
	select {
	case <-wake:
	case <-ctx.Done():
		queue.quit(waiter)
	}
}

func (queue *queue) stir() {
	select {
	case queue.stirred <- struct{}{}:
	default:
	}
}

// run looks after those who wait, until ctx ends. While nobody waits it sleeps.
func (queue *queue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.stirred:
		}
		for queue.waiting() && queue.clock.Sleep(ctx, dispatchEvery) == nil {
			queue.dispatch()
		}
	}
}

// quit takes out a waiter whose caller has left. A replica that it was given
// meanwhile is given back.
func (queue *queue) quit(waiter *balancer.Waiter) {
	queue.fleet.With(func(fleet *balancer.Fleet) {
		fleet.Dequeue(waiter)
		if waiter.Placement != nil {
			fleet.End(waiter.Placement, balancer.Abandoned, queue.clock.Now())
			waiter.Placement = nil
		}
	})
}

func (queue *queue) forget(waiter *balancer.Waiter) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	delete(queue.decided, waiter)
}

// freed is told that a place may have come free.
func (queue *queue) freed() {
	now := queue.clock.Now()
	if queue.waiting() && now.Since(timekeeper.Instant(queue.looked.Load())) >= dispatchPause {
		queue.dispatch()
	}
}

// dispatch wakes who is decided.
func (queue *queue) dispatch() {
	queue.looked.Store(int64(queue.clock.Now()))
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
		if wake, found := queue.decided[waiter]; found {
			close(wake)
			delete(queue.decided, waiter)
		}
	}
}

// waiting reports whether anyone waits.
func (queue *queue) waiting() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.decided) > 0
}
