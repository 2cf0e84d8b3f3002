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

// replaceAgent sends an agent SIGTERM, starts its successor for the same upstream,
// and lists the successor in its place. It returns once the successor accepts work;
// a rolling replacement must wait for that before the next agent.
func (rig *rig) replaceAgent(name string) (exit int) {
	rig.t.Helper()
	old, service := rig.agents[name], ""
	at := slices.IndexFunc(rig.instances, func(row storekeeper.Instance) bool { return row.Name == name })
	service = rig.instances[at].Service
	old.signal(syscall.SIGTERM)
	rig.instances = slices.Delete(slices.Clone(rig.instances), at, at+1)
	successor := rig.addAgent(service, name, rig.upstreams[name])
	exit = old.waitForExit()
	rig.eventually("the successor accepts work", func() bool { return len(successor.logged("admission")) > 0 })
	return exit
}

// balancer returns a proxy that stands for the platform's load balancer: its address
// stays while the entry behind it is replaced.
func (rig *rig) balancer(entry *process) *disturber.Proxy {
	rig.t.Helper()
	proxy, closeProxy, err := disturber.New(entry.address, rig.clock)
	if err != nil {
		rig.t.Fatal(err)
	}
	rig.t.Cleanup(closeProxy)
	return proxy
}

// workload makes calls throughout a test and records their results.
type workload struct {
	calls   sync.WaitGroup
	next    atomic.Int64
	mu      sync.Mutex
	keys    []string
	streams int
	failed  []error
}

func (workload *workload) record(key string, err error) {
	workload.mu.Lock()
	defer workload.mu.Unlock()
	switch {
	case err != nil:
		workload.failed = append(workload.failed, err)
	case key != "":
		workload.keys = append(workload.keys, key)
	default:
		workload.streams++
	}
}

// order sends orders under new keys until ctx ends; the last one runs to completion.
func (workload *workload) order(ctx context.Context, client *caller.Caller) {
	for ctx.Err() == nil {
		key := "rolling-" + strconv.FormatInt(workload.next.Add(1), 10)
		_, err := client.Send(context.WithoutCancel(ctx), caller.Call{Method: "POST", Path: "/orders", Key: key, Body: []byte("{}")})
		workload.record(key, err)
	}
}

// stream reads streams until ctx ends; the last one is read to its end.
func (workload *workload) stream(ctx context.Context, client *caller.Caller, tokens int) {
	for ctx.Err() == nil {
		body := chatBody(tokens, "a route "+strconv.FormatInt(workload.next.Add(1), 10))
		seen := 0
		call := caller.Call{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)}
		err := client.Stream(context.WithoutCancel(ctx), call, func(caller.Event) error {
			seen++
			return nil
		})
		if err == nil && seen != tokens {
			err = eris.Errorf("%d of %d events", seen, tokens)
		}
		workload.record("", err)
	}
}

func TestEveryProcessIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	// Guards against failed or doubled calls during a rolling replacement. While
	// callers order and read streams, each entry and agent in turn receives SIGTERM
	// and its successor starts. A process that leaves refuses new calls as "not run"
	// and completes those in flight; the caller resends to another process. Each
	// order is answered and ran once, and each stream is complete.
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
	client := caller.New(caller.Settings{
		Entries: []string{"http://" + balancers[0].Address(), "http://" + balancers[1].Address()},
		Key:     teamKey, Pause: 20 * timekeeper.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	workload := &workload{}
	for range 4 {
		workload.calls.Go(func() { workload.order(ctx, client) })
		workload.calls.Go(func() { workload.stream(ctx, client, 40) })
	}
	Convey("every order runs once and every stream is complete", t, func() {
		rig.eventually("callers are served", func() bool { return rig.ledger.Total() > 20 })
		for i, entry := range entries {
			entry.signal(syscall.SIGTERM)
			successor := rig.addEntry("entry-" + strconv.Itoa(i+1) + "b")
			balancers[i].Retarget(successor.address)
			So(entry.waitForExit(), ShouldEqual, 0)
		}
		for _, name := range names {
			So(rig.replaceAgent(name), ShouldEqual, 0)
		}
		before := rig.ledger.Total()
		rig.eventually("callers are still served", func() bool { return rig.ledger.Total() > before+20 })
		cancel()
		workload.calls.Wait()
		t.Log(len(workload.keys), "orders,", workload.streams, "streams")
		So(workload.failed, ShouldBeEmpty)
		So(workload.streams, ShouldBeGreaterThan, 0)
		for _, key := range workload.keys {
			So(rig.ledger.Runs(key), ShouldEqual, 1)
		}
		So(rig.ledger.Total(), ShouldEqual, len(workload.keys))
	})
}
