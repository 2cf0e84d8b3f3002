package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	entryCount = 4
	// countedCrashes is the number of crashes after which a request must not reach replicas any
	// more, and allowedRetries how many still may, by the rule.
	countedCrashes = 3
	allowedRetries = 3
	// crashingPrefix begins the IDs of the attempts of the request that crashes replicas.
	crashingPrefix = "crashing-"
	soundPause     = 50 * timekeeper.Millisecond
	warmUp         = 4 * timekeeper.Second
)

// callers sends requests until ctx ends.
type callers struct {
	site    *site
	running sync.WaitGroup
	// pause is the time between two sound requests; zero means soundPause.
	pause timekeeper.Span

	mu           sync.Mutex
	sent, served int
}

// begin sends sound requests at a steady rate.
func (callers *callers) begin(ctx context.Context, request func(id string) request) {
	callers.running.Go(func() {
		for number := 0; callers.site.clock.Sleep(ctx, cmp.Or(callers.pause, soundPause)) == nil; number++ {
			callers.running.Go(func() {
				status, whole := callers.site.send(context.Background(), callers.site.anyEntry(number), request(fmt.Sprintf("sound-%d", number)))
				callers.mu.Lock()
				defer callers.mu.Unlock()
				callers.sent++
				if whole && status == 200 {
					callers.served++
				}
			})
		}
	})
}

// repeat sends the request that crashes replicas again and again, each time as an attempt of its own, at
// any entry.
func (callers *callers) repeat(ctx context.Context, pause timekeeper.Span, request func(id string) request) {
	callers.running.Go(func() {
		for number := 0; callers.site.clock.Sleep(ctx, pause) == nil; number++ {
			callers.site.send(context.Background(), callers.site.anyEntry(number), request(fmt.Sprintf("%s%d", crashingPrefix, number)))
		}
	})
}

// plainRequest returns an attempt of an unsafe request.
func plainRequest(id, body string) request {
	return request{id: id, path: "/orders/lunch", body: body, deadline: 2500, patience: 2500}
}

// streamRequest returns an attempt of a stream that can't be resumed.
func streamRequest(id, body string) request {
	part := "e4402b7d"
	if body != crashing {
		part = fmt.Sprintf("%x", 0xabc000+len(id)*1000+int(id[len(id)-1]))
	}
	return request{id: id, path: "/menu/today", body: body, deadline: 12000, patience: 12000, parts: "5c1e07a2:800," + part + ":60"}
}

// plan is a case in which a request that crashes replicas comes again and again, and nothing else is wrong.
type plan struct {
	replicas replicaSettings
	// count is the number of replicas.
	count int
	// request returns an attempt, sound ones and that of the request that crashes replicas.
	request func(id, body string) request
	// change changes the attempts of the latter; nil doesn't.
	change func(out *request)
	// body is its body, which says whether it crashes replicas.
	body string
}

// crashesLate plays a stream that crashes each replica a second after its first event.
func crashesLate(ctx context.Context, site *site, trouble bool) (bool, error) {
	settings := replicaSettings{service: "planner", slots: 64, events: 40, pause: 50, crashAfter: timekeeper.Second}
	return site.play(ctx, plan{replicas: settings, count: 9, request: streamRequest, body: bodyIf(trouble)})
}

// crashesAfterLeave plays a stream that crashes each replica, and whose client leaves before that.
func crashesAfterLeave(ctx context.Context, site *site, trouble bool) (bool, error) {
	settings := replicaSettings{service: "planner", slots: 64, events: 40, pause: 50, crashAfter: 150, unstoppable: true}
	leave := func(out *request) {
		if trouble {
			out.patience = 150
		}
	}
	return site.play(ctx, plan{replicas: settings, count: 9, request: streamRequest, change: leave, body: crashing})
}

// crashesAfterAnswer plays an unsafe request that crashes each replica shortly after its answer.
func crashesAfterAnswer(ctx context.Context, site *site, trouble bool) (bool, error) {
	settings := replicaSettings{service: "orders", slots: 6, pause: 60, crashAfter: 100, answersFirst: true}
	return site.play(ctx, plan{replicas: settings, count: 6, request: plainRequest, body: bodyIf(trouble)})
}

// bodyIf returns the body of a request that crashes replicas, or of one that doesn't.
func bodyIf(trouble bool) string {
	if trouble {
		return crashing
	}
	return "a request that crashes no replica"
}

// play plays a plan for a while, and judges it.
func (site *site) play(ctx context.Context, plan plan) (bool, error) {
	const pause, span = 1500 * timekeeper.Millisecond, 40 * timekeeper.Second
	if err := site.open(ctx, plan.replicas, plan.count); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &callers{site: site}
	callers.begin(ctx, func(id string) request { return plan.request(id, "sound "+id) })
	if err := site.clock.Sleep(ctx, warmUp); err != nil {
		return false, err
	}
	callers.repeat(ctx, pause, func(id string) request {
		out := plan.request(id, plan.body)
		if plan.change != nil {
			plan.change(&out)
		}
		return out
	})
	if err := site.clock.Sleep(ctx, span); err != nil {
		return false, err
	}
	cancel()
	callers.running.Wait()
	return site.judgeCrashes(callers), nil
}

// crashesDuringRoll plays an unsafe request that crashes each replica, while the entries are stopped and
// started in turn.
func crashesDuringRoll(ctx context.Context, site *site, trouble bool) (bool, error) {
	settings := replicaSettings{service: "orders", slots: 6, pause: 30, crashAfter: 20}
	if err := site.open(ctx, settings, 6); err != nil {
		return false, err
	}
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &callers{site: site}
	callers.begin(calls, func(id string) request { return plainRequest(id, "sound "+id) })
	callers.repeat(calls, 2500, func(id string) request { return plainRequest(id, crashing) })
	if err := site.clock.Sleep(ctx, 6200); err != nil {
		return false, err
	}
	for _, entry := range site.entries {
		if trouble {
			entry.terminate()
			if err := entry.start(ctx, false); err != nil {
				return false, err
			}
		}
		if err := site.clock.Sleep(ctx, 19*timekeeper.Second); err != nil {
			return false, err
		}
	}
	cancel()
	callers.running.Wait()
	return site.judgeCrashes(callers), nil
}

// open starts replicas and entries.
func (site *site) open(ctx context.Context, settings replicaSettings, count int) error {
	if err := site.addReplicas(settings, count); err != nil {
		return err
	}
	if err := site.addEntries(entryCount); err != nil {
		return err
	}
	if err := site.startEntries(ctx); err != nil {
		return err
	}
	return site.clock.Sleep(ctx, warmUp)
}

// judgeCrashes judges: "A request that crashes the replicas that run it reaches replicas in more than three
// retries, sent by machines in touch later than contactMs after it has crashed the third."
func (site *site) judgeCrashes(callers *callers) (broken bool) {
	site.mu.Lock()
	defer site.mu.Unlock()
	slices.SortFunc(site.crashes, func(a, b event) int { return int(a.at - b.at) })
	late := 0
	if len(site.crashes) >= countedCrashes {
		from := site.crashes[countedCrashes-1].at.Add(contactTime)
		for _, arrival := range site.arrivals {
			if strings.HasPrefix(arrival.id, crashingPrefix) && arrival.at > from && site.reached[arrival.id] {
				late++
			}
		}
	}
	callers.mu.Lock()
	defer callers.mu.Unlock()
	site.record.say("the request crashed %d replicas; %d retries, sent by entries in touch later than %s after the third crash, reached replicas, %d may; "+
		"%d of %d sound requests were served", len(site.crashes), late, contactTime, allowedRetries, callers.served, callers.sent)
	return late > allowedRetries
}
