package integration

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/caller"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// replaceAgent tells an agent to leave, starts its successor before the same
// upstream, and puts that on the instance list in its place.
func (rig *rig) replaceAgent(name string) (exit int) {
	rig.t.Helper()
	old, service := rig.agents[name], ""
	at := slices.IndexFunc(rig.instances, func(row storekeeper.Instance) bool { return row.Name == name })
	service = rig.instances[at].Service
	old.signal(syscall.SIGTERM)
	rig.instances = slices.Delete(slices.Clone(rig.instances), at, at+1)
	rig.addAgent(service, name, rig.upstreams[name])
	return old.ended()
}

// balancer is the platform's: one address before an entry that may be replaced.
func (rig *rig) balancer(entry *process) *disturber.Proxy {
	rig.t.Helper()
	proxy, closeProxy, err := disturber.New(entry.address, rig.clock)
	if err != nil {
		rig.t.Fatal(err)
	}
	rig.t.Cleanup(closeProxy)
	return proxy
}

// load is what callers do all the while.
type load struct {
	calls   sync.WaitGroup
	next    atomic.Int64
	mu      sync.Mutex
	keys    []string
	streams int
	failed  []error
}

func (load *load) note(key string, err error) {
	load.mu.Lock()
	defer load.mu.Unlock()
	switch {
	case err != nil:
		load.failed = append(load.failed, err)
	case key != "":
		load.keys = append(load.keys, key)
	default:
		load.streams++
	}
}

// order sends orders under new keys until ctx ends; the last one ends whole.
func (load *load) order(ctx context.Context, van *caller.Caller) {
	for ctx.Err() == nil {
		key := "rolling-" + strconv.FormatInt(load.next.Add(1), 10)
		_, err := van.Send(context.WithoutCancel(ctx), caller.Call{Method: "POST", Path: "/orders", Key: key, Body: []byte("{}")})
		load.note(key, err)
	}
}

// stream reads streams until ctx ends; the last one ends whole.
func (load *load) stream(ctx context.Context, van *caller.Caller, tokens int) {
	for ctx.Err() == nil {
		body := chat(tokens, "a route "+strconv.FormatInt(load.next.Add(1), 10))
		seen := 0
		call := caller.Call{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)}
		err := van.Stream(context.WithoutCancel(ctx), call, func(caller.Event) error {
			seen++
			return nil
		})
		if err == nil && seen != tokens {
			err = eris.Errorf("%d of %d events", seen, tokens)
		}
		load.note("", err)
	}
}

func TestEveryProcessIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	// Callers order and read streams while each entry and each agent is told to
	// leave and its successor started, one after the other.
	// Each order is answered, and ran once; each stream is whole. A process that
	// leaves refuses, "not run", and ends what it has; the caller's resend meets another.
	rig := newRig(t, siteConfig())
	names := []string{"orders-1", "orders-2", "planner-1", "planner-2"}
	for _, name := range names[:2] {
		rig.addOrders(name, 10*timekeeper.Millisecond)
	}
	for _, name := range names[2:] {
		rig.addPlanner(name, imitator.EngineSettings{Step: 3 * timekeeper.Millisecond})
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	balancers := []*disturber.Proxy{rig.balancer(entries[0]), rig.balancer(entries[1])}
	van := caller.New(caller.Settings{
		Entries: []string{"http://" + balancers[0].Address(), "http://" + balancers[1].Address()},
		Key:     teamKey, Pause: 20 * timekeeper.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load := &load{}
	for range 4 {
		load.calls.Go(func() { load.order(ctx, van) })
		load.calls.Go(func() { load.stream(ctx, van, 40) })
	}
	Convey("nothing is lost", t, func() {
		rig.eventually("callers are served", func() bool { return rig.ledger.Total() > 20 })
		for i, entry := range entries {
			entry.signal(syscall.SIGTERM)
			successor := rig.addEntry("entry-" + strconv.Itoa(i+1) + "b")
			balancers[i].Retarget(successor.address)
			So(entry.ended(), ShouldEqual, 0)
		}
		for _, name := range names {
			So(rig.replaceAgent(name), ShouldEqual, 0)
		}
		before := rig.ledger.Total()
		rig.eventually("callers are still served", func() bool { return rig.ledger.Total() > before+20 })
		cancel()
		load.calls.Wait()
		t.Log(len(load.keys), "orders,", load.streams, "streams")
		So(load.failed, ShouldBeEmpty)
		So(load.streams, ShouldBeGreaterThan, 0)
		for _, key := range load.keys {
			So(rig.ledger.Runs(key), ShouldEqual, 1)
		}
		So(rig.ledger.Total(), ShouldEqual, len(load.keys))
	})
}
