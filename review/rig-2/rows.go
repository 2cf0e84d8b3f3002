package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

const (
	// shortestSilence and longestSilence are for how long the store gives no answers, and servingTime for how long it
	// then serves.
	shortestSilence = 950 * timekeeper.Millisecond
	silenceStep     = 70 * timekeeper.Millisecond
	silences        = 8
	servingTime     = 900 * timekeeper.Millisecond
	// allowedCuts is the number of requests that may be cut off, by the rule.
	allowedCuts = 3
	// storeCaseTime is how long the case goes on unless the rule breaks sooner.
	storeCaseTime = 105 * timekeeper.Second
	callerCount   = 24
)

// foreignRows are rows of another writer, by key. They name no replica: a field is missing or of another type, the state
// isn't one of a replica, or the bytes can't be read.
var foreignRows = map[string]string{
	"i-another-1": `{"service":"planner","address":"127.0.0.1:9","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1}`,
	"i-another-2": `{"service":"planner","address":"127.0.0.1:9","zone":"bole-hall","version":"v1","slots":"many","state":"ready","coldRemainingMs":0,"sequence":1}`,
	"i-another-3": `{"service":"planner","address":"127.0.0.1:9","zone":"bole-hall","version":"v1","slots":64,"state":"parked","coldRemainingMs":0,"sequence":1}`,
	"i-another-4": "\x00\x01 a row of another writer, \"sequence\":1",
}

// rowsAfterSilence plays a store that gives no answers for a second or two, again and again, while its list of replicas
// has a row of another writer.
func rowsAfterSilence(ctx context.Context, site *site, trouble bool) (bool, error) {
	plain := replicaSettings{service: "orders", slots: 6, pause: 150}
	stream := replicaSettings{service: "planner", slots: 64, events: 10, pause: 50}
	if err := errors.Join(site.addReplicas(plain, 4), site.addReplicas(stream, 54), site.addEntries(entryCount)); err != nil {
		return false, err
	}
	for key, value := range foreignRows {
		site.store.Put("servers", key, []byte(value))
	}
	if err := site.startEntries(ctx); err != nil {
		return false, err
	}
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { site.beat(calls) })
	cuts := &cuts{site: site}
	for number := range callerCount {
		running.Go(func() { cuts.call(calls, number) })
	}
	end := site.clock.Now().Add(storeCaseTime)
	for turn := 0; site.clock.Now() < end && cuts.count() <= allowedCuts; turn++ {
		if err := site.fallSilent(ctx, turn, trouble); err != nil {
			return false, err
		}
	}
	cancel()
	running.Wait()
	return cuts.judge(), nil
}

// fallSilent leaves all calls of the store without answers for a while, and then serves them. Entries that have ended
// by themselves are started again.
func (site *site) fallSilent(ctx context.Context, turn int, trouble bool) error {
	span := shortestSilence + silenceStep*timekeeper.Span(turn%silences)
	if trouble {
		site.store.SetOutage(emulator.Unresponsive)
		site.record.add("the store falls silent for %s", span)
	}
	if err := site.clock.Sleep(ctx, span); err != nil {
		return err
	}
	site.store.SetOutage(emulator.NoOutage)
	site.record.add("the store serves")
	if err := site.clock.Sleep(ctx, servingTime); err != nil {
		return err
	}
	for _, entry := range site.entries {
		if !entry.hasEnded() {
			continue
		}
		site.record.say("%s has ended by itself", entry.name)
		if err := entry.start(ctx, false); err != nil {
			return err
		}
	}
	return nil
}

// serveStore serves the store at another address, which can be given an outage of its own.
func (site *site) serveStore() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: withoutEra(site.store), ReadHeaderTimeout: timekeeper.Second.Duration()}
	go func() { _ = server.Serve(listener) }()
	site.servers = append(site.servers, server)
	return listener.Addr().String(), nil
}

// beat writes the row of each replica, and those of the other writer, again, once in a heartbeat, with the next sequence.
func (site *site) beat(ctx context.Context) {
	for sequence := 2; site.clock.Sleep(ctx, heartbeat) == nil; sequence++ {
		site.mu.Lock()
		replicas := append([]*replica(nil), site.replicas...)
		site.mu.Unlock()
		for _, replica := range replicas {
			site.store.Put("servers", replica.id, withSequence(string(replica.row), sequence))
		}
		for key, value := range foreignRows {
			site.store.Put("servers", key, withSequence(value, sequence))
		}
	}
}

func withSequence(row string, sequence int) []byte {
	return []byte(strings.Replace(row, `"sequence":1`, fmt.Sprintf(`"sequence":%d`, sequence), 1))
}

// cuts counts unsafe requests on kept connections that a replica ran and whose connections ended without an
// answer.
type cuts struct {
	site *site

	mu         sync.Mutex
	sent, lost int
}

func (cuts *cuts) count() int {
	cuts.mu.Lock()
	defer cuts.mu.Unlock()
	return cuts.lost
}

// call sends one request after the other on a kept connection.
func (cuts *cuts) call(ctx context.Context, caller int) {
	site := cuts.site
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	entry := site.entries[caller%len(site.entries)]
	for number := 0; ctx.Err() == nil; number++ {
		if entry.hasEnded() {
			_ = site.clock.Sleep(ctx, 100)
			continue
		}
		id := fmt.Sprintf("order-%d-%d", caller, number)
		status, whole := site.sendBy(context.WithoutCancel(ctx), client, entry, plainRequest(id, "lunch for "+id))
		cuts.mu.Lock()
		cuts.sent++
		if site.hasRun(id) && (status == 0 || !whole) && number > 0 {
			cuts.lost++
			site.record.add("%s has run, and its connection has ended without an answer", id)
		}
		cuts.mu.Unlock()
	}
}

// judge judges: "A machine in touch passes a request from a kept connection on to a sound replica and closes that
// connection without an answer, more than three times." and "Disruption of the store alone excuses nothing for safe
// and unsafe requests without a key."
func (cuts *cuts) judge() bool {
	cuts.mu.Lock()
	defer cuts.mu.Unlock()
	cuts.site.record.say("%d of %d unsafe requests on kept connections were passed on to a replica and cut off without an answer, %d may",
		cuts.lost, cuts.sent, allowedCuts)
	return cuts.lost > allowedCuts
}
