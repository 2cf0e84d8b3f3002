package main

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// memoryTokens is the memory of an engine. One that holds requests with more tokens crashes.
	memoryTokens = 316_355
	// requestTokens are those of each prompt and its answer.
	requestTokens = 4000
	// cutTime is for how long a replica can't reach the store, and rowLifetime how long its row lasts then.
	cutTime     = 5 * timekeeper.Second
	rowLifetime = missedBeats * heartbeat
	cutsOfOne   = 4
	// limitFactor and limitSlack bound what a replica may hold beside the mean of its service, calmTime is the
	// length of the spans in which the rule counts, and limitRequests and limitShare what it allows in one.
	limitFactor, limitSlack   = 2.0, 3.0
	calmTime                  = 5 * timekeeper.Second
	limitRequests, limitShare = 20, 0.03
)

// held is what the replicas of a service held when a request reached one of them.
type held struct {
	at      timekeeper.Instant
	over    bool
	inTouch bool
}

// calmSpan is a span of time.
type calmSpan struct{ from, until timekeeper.Instant }

// holdings counts what replicas hold.
type holdings struct {
	mu      sync.Mutex
	current map[*replica]int
	reached []held
	// crashed are the replicas that held more than their memory, lost the requests that they held.
	crashed, lost int
	// calm are the spans in which no replica is in disruption, or was in contactTime before.
	calm []calmSpan
	most float64
}

// begin counts a request at a replica, and reports whether the replica crashes by it. The returned function ends it.
func (holdings *holdings) begin(replica *replica, id string) (crashes bool, end func()) {
	site := replica.site
	now := site.clock.Now()
	site.mu.Lock()
	sender := site.senders[id]
	site.mu.Unlock()
	holdings.mu.Lock()
	defer holdings.mu.Unlock()
	total := 0
	for _, count := range holdings.current {
		total += count
	}
	mean, own := float64(total)/float64(max(1, len(holdings.current))), holdings.current[replica]
	one := held{at: now, over: float64(own) > limitFactor*mean+limitSlack, inTouch: sender != nil && sender.inTouch(now)}
	if holdings.most = max(holdings.most, float64(own)); one.over {
		site.record.add("%s reaches replica %s, which holds %d; the mean is %.1f", id, replica.id, own, mean)
	}
	holdings.reached = append(holdings.reached, one)
	holdings.current[replica]++
	crashes = holdings.current[replica]*requestTokens > memoryTokens
	if crashes {
		holdings.crashed++
		holdings.lost += holdings.current[replica]
		holdings.endCalm(now)
	}
	return crashes, func() {
		holdings.mu.Lock()
		defer holdings.mu.Unlock()
		holdings.current[replica]--
	}
}

// endCalm ends the last calm span; the lock must be held.
func (holdings *holdings) endCalm(now timekeeper.Instant) {
	if last := len(holdings.calm) - 1; last >= 0 {
		holdings.calm[last].until = min(holdings.calm[last].until, now)
	}
}

// setCalm begins or ends a calm span.
func (holdings *holdings) setCalm(calm bool, now timekeeper.Instant) {
	holdings.mu.Lock()
	defer holdings.mu.Unlock()
	holdings.endCalm(now)
	if calm {
		holdings.calm = append(holdings.calm, calmSpan{from: now.Add(contactTime), until: 1 << 62})
	}
}

// rowsLapse plays a replica that can't reach the store for some seconds, again and again, but can be reached by
// entries: its row goes and comes back, while streams go on.
func rowsLapse(ctx context.Context, site *site, trouble bool) (bool, error) {
	settings := replicaSettings{service: "planner", slots: 64, events: 80, pause: 100, counted: true}
	if err := site.open(ctx, settings, 9); err != nil {
		return false, err
	}
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &callers{site: site, pause: 37}
	callers.begin(calls, func(id string) request {
		out := streamRequest(id, "sound "+id)
		out.parts = fmt.Sprintf("%x:1460", xxhash.Sum64String(id))
		return out
	})
	if err := site.clock.Sleep(ctx, 12*timekeeper.Second); err != nil {
		return false, err
	}
	for range cutsOfOne {
		if err := site.lapse(ctx, site.replicas[0], trouble); err != nil {
			return false, err
		}
	}
	if err := site.clock.Sleep(ctx, 3*timekeeper.Second); err != nil {
		return false, err
	}
	cancel()
	callers.running.Wait()
	return site.holdings.judge(site, callers), nil
}

// lapse cuts a replica off from the store for a while, and waits until what it held then has ended.
func (site *site) lapse(ctx context.Context, replica *replica, trouble bool) error {
	const rest = 11 * timekeeper.Second
	if trouble {
		site.record.add("replica %s can't reach the store", replica.id)
	}
	site.holdings.setCalm(false, site.clock.Now())
	if err := site.clock.Sleep(ctx, rowLifetime); err != nil {
		return err
	}
	if trouble {
		site.store.Remove("servers", replica.id)
		site.record.add("the row of replica %s is removed", replica.id)
	}
	if err := site.clock.Sleep(ctx, cutTime-rowLifetime); err != nil {
		return err
	}
	site.store.Put("servers", replica.id, replica.row)
	site.record.add("replica %s writes its row again", replica.id)
	site.holdings.setCalm(true, site.clock.Now())
	return site.clock.Sleep(ctx, rest)
}

// judge judges: "In five calm seconds with no replica in disruption, 20 or more and over 3 in 100 requests reach a
// replica that holds over capX times the mean of its service, + 3, sent by machines in touch."
func (holdings *holdings) judge(site *site, callers *callers) bool {
	holdings.mu.Lock()
	defer holdings.mu.Unlock()
	callers.mu.Lock()
	defer callers.mu.Unlock()
	worst, worstOf := 0, 0
	for _, span := range holdings.calm {
		if over, all := holdings.worstIn(span); over > worst {
			worst, worstOf = over, all
		}
	}
	site.record.say("in the worst five calm seconds %d of %d requests reached a replica that held over twice the mean and three; the most that one "+
		"held was %.0f; %d replicas crashed for their memory, with %d streams; %d of %d streams were served",
		worst, worstOf, holdings.most, holdings.crashed, holdings.lost, callers.served, callers.sent)
	return worst >= limitRequests && float64(worst) > limitShare*float64(worstOf)
}

// worstIn returns, for the five seconds of a span in which most requests reached a replica that held too much, how many
// they were, and of how many.
func (holdings *holdings) worstIn(span calmSpan) (worst, worstOf int) {
	calm := slices.DeleteFunc(slices.Clone(holdings.reached), func(one held) bool {
		return one.at < span.from || one.at > span.until || !one.inTouch
	})
	for first := range calm {
		if calm[first].at.Add(calmTime) > span.until {
			break
		}
		over, all := 0, 0
		for _, one := range calm[first:] {
			if one.at.Since(calm[first].at) > calmTime {
				break
			}
			all++
			if one.over {
				over++
			}
		}
		if over > worst {
			worst, worstOf = over, all
		}
	}
	return worst, worstOf
}
