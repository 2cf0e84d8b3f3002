package integration

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// order places an order under a key.
func (proc *process) order(ctx context.Context, key, body string) reply {
	return proc.call(ctx, "POST", "/orders", body, "Idempotency-Key", key)
}

// soTruthful checks what a caller was told against what the service ran.
func (rig *rig) soTruthful(key string, got reply) {
	runs := rig.ledger.Runs(key)
	So(runs, ShouldBeLessThanOrEqualTo, 1)
	if got.err == nil && got.ran() == "no" {
		So(runs, ShouldEqual, 0)
	}
	if got.err == nil && got.status == 200 {
		So(runs, ShouldEqual, 1)
	}
}

func TestACutAtAnyByteRunsAnOrderAtMostOnce(t *testing.T) {
	t.Parallel()
	// The caller sees the answer as if nothing had happened, or a truthful "not run".
	// The connection between entry and agent is cut after each single byte of a
	// clean run, so after each frame's edge too, in each direction. The entry
	// dials again and looks the request up: what ran is replayed from the
	// agent's record, and what had not arrived is buried before it is offered again.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	for _, direction := range []disturber.Direction{disturber.ToTarget, disturber.FromTarget} {
		rig.proxies["orders-1"].Cut()
		rig.proxies["orders-1"].Set(direction, disturber.Fault{})
		if got := entry.order(t.Context(), "clean-"+strconv.Itoa(int(direction)), "{}"); got.status != 200 {
			t.Fatal(got)
		}
		total := rig.proxies["orders-1"].BytesForwarded(direction)
		Convey("cut after each part of "+strconv.FormatInt(total, 10)+" bytes", t, func() {
			answered := 0
			const step = 1
			for at := int64(1); at <= total; at += step {
				key := "cut-" + strconv.Itoa(int(direction)) + "-" + strconv.FormatInt(at, 10)
				rig.proxies["orders-1"].Cut()
				rig.proxies["orders-1"].Set(direction, disturber.Fault{CutAfter: at, Once: true})
				got := entry.order(t.Context(), key, `{"meals":40}`)
				rig.proxies["orders-1"].Set(direction, disturber.Fault{})
				rig.soTruthful(key, got)
				So(got.ran(), ShouldNotEqual, "unknown")
				resent := entry.order(t.Context(), key, `{"meals":40}`)
				rig.soTruthful(key, resent)
				if resent.status == 200 {
					answered++
				} else {
					t.Log(key, got.status, got.body, "then", resent.status, resent.body, resent.err)
				}
			}
			So(answered, ShouldEqual, (total+step-1)/step)
		})
	}
}

func TestTwoEntriesWithOneKeyRunItOnce(t *testing.T) {
	t.Parallel()
	// Two callers see one and the same run, or a truthful "in progress".
	// Both entries get the same key at once while the service takes its time;
	// the claim is one row, so one agent holds it, and every other offer is led
	// to that agent. Later resends get the first's answer, another body is refused.
	rig := newRig(t, siteConfig())
	for i := range 3 {
		rig.addOrders("orders-"+strconv.Itoa(i+1), 30*timekeeper.Millisecond)
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	Convey("every key runs once", t, func() {
		const keys, resends = 12, 4
		var all sync.WaitGroup
		for i := range keys * resends {
			key := "pair-" + strconv.Itoa(i%keys)
			all.Go(func() { entries[i%2].order(t.Context(), key, "{}") })
		}
		all.Wait()
		for i := range keys {
			So(rig.ledger.Runs("pair-"+strconv.Itoa(i)), ShouldEqual, 1)
		}
	})
	Convey("a resend gets the first's answer", t, func() {
		first := entries[0].order(t.Context(), "same", `{"a":1}`)
		again := entries[1].order(t.Context(), "same", `{"a":1}`)
		So(again.body, ShouldEqual, first.body)
		So(again.header.Get("Idempotency-Replayed"), ShouldEqual, "true")
	})
	Convey("another body is refused", t, func() {
		got := entries[1].order(t.Context(), "same", `{"a":2}`)
		So(got.status, ShouldEqual, 422)
		So(rig.ledger.Runs("same"), ShouldEqual, 1)
	})
	Convey("the owner leaves, and a resend elsewhere still doesn't run", t, func() {
		first := entries[0].order(t.Context(), "orphan", "{}")
		rig.agents[first.header.Get("Trefoilseam-Upstream")].kill()
		got := entries[1].order(t.Context(), "orphan", "{}")
		So(got.status, ShouldBeIn, 502, 409)
		So(got.ran(), ShouldBeIn, "unknown", "yes")
		So(rig.ledger.Runs("orphan"), ShouldEqual, 1)
	})
}

func TestAStoreThatFailsDoublesNothing(t *testing.T) {
	t.Parallel()
	// The caller of a plain key sees "store-down, not run" and comes back later;
	// the caller with a minted key sees its answer.
	// Claims need the table: while it is down nothing is claimed and so nothing
	// runs. A write that took effect without an answer is read back. Minted keys
	// need no row, because only one agent incarnation may ever run them.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 0)
	rig.addOrders("orders-2", 0)
	entry := rig.addEntry("entry-1")
	granted := entry.call(t.Context(), "POST", "/v1/keys", `{"service":"orders","count":4}`)
	var minted struct {
		Keys []string `json:"keys"`
	}
	if err := json.Unmarshal([]byte(granted.body), &minted); err != nil || len(minted.Keys) != 4 {
		t.Fatal(granted, err)
	}
	Convey("an answer lost after the write is settled by reading back", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
		So(entry.order(t.Context(), "lost-answer", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("lost-answer"), ShouldEqual, 1)
	})
	Convey("a write that was lost is made again", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{LoseWrites: 1})
		So(entry.order(t.Context(), "lost-write", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("lost-write"), ShouldEqual, 1)
	})
	Convey("while the store is down", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{Down: true})
		got := entry.order(t.Context(), "outage", "{}")
		So(got.status, ShouldEqual, 503)
		So(got.ran(), ShouldEqual, "no")
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(rig.ledger.Runs("outage"), ShouldEqual, 0)
		for _, key := range minted.Keys {
			So(entry.order(t.Context(), key, "{}").status, ShouldEqual, 200)
			So(entry.order(t.Context(), key, "{}").status, ShouldEqual, 200)
			So(rig.ledger.Runs(key), ShouldEqual, 1)
		}
		So(entry.order(t.Context(), minted.Keys[0], `{"b":2}`).status, ShouldEqual, 422)
	})
	Convey("after it the refused key runs", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{})
		So(entry.order(t.Context(), "outage", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("outage"), ShouldEqual, 1)
	})
	Convey("a key of an agent that was replaced is answered as unknown", t, func() {
		for _, name := range []string{"orders-1", "orders-2"} {
			rig.agents[name].kill()
		}
		got := entry.order(t.Context(), minted.Keys[1], "{}")
		So(got.ran(), ShouldEqual, "unknown")
		So(rig.ledger.Runs(minted.Keys[1]), ShouldEqual, 1)
	})
}

func TestAPausedAgentRunsNothingTwice(t *testing.T) {
	t.Parallel()
	// The caller sees its first try break or end as unknown, and its resend
	// get the one answer once the agent is awake.
	// The agent is stopped in the middle of the call (SIGSTOP), the entry is
	// replaced meanwhile, and the caller resends through the new one. No other
	// agent takes the key over, however long the pause: the row names its owner.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 100*timekeeper.Millisecond)
	rig.addOrders("orders-2", 100*timekeeper.Millisecond)
	first, second := rig.addEntry("entry-1"), rig.addEntry("entry-2")
	Convey("it runs once", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		broken := make(chan reply, 1)
		go func() { broken <- first.order(ctx, "paused", "{}") }()
		rig.eventually("the order runs", func() bool { return rig.ledger.Runs("paused") == 1 })
		for _, agent := range rig.agents {
			agent.signal(syscall.SIGSTOP)
		}
		first.kill()
		So((<-broken).err, ShouldNotBeNil)
		waiting := make(chan reply, 1)
		go func() { waiting <- second.order(ctx, "paused", "{}") }()
		for _, agent := range rig.agents {
			agent.signal(syscall.SIGCONT)
		}
		So((<-waiting).status, ShouldEqual, 200)
		So(rig.ledger.Runs("paused"), ShouldEqual, 1)
		So(rig.ledger.Total(), ShouldEqual, 1)
	})
}
