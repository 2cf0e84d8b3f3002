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

// order sends an order with an idempotency key.
func (proc *process) order(ctx context.Context, key, body string) reply {
	return proc.call(ctx, "POST", "/orders", body, "Idempotency-Key", key)
}

// checkTruthful checks that an answer agrees with how often the service ran the order.
func (rig *rig) checkTruthful(key string, got reply) {
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
	// Guards against an order that runs twice or an answer that is lost. The
	// connection between entry and agent is cut after each byte of a clean run, so
	// at each frame boundary too, in each direction. The entry dials again and
	// looks the request up: the answer of a request that ran is replayed from the
	// agent's record; a request that had not arrived gets a tombstone before it is
	// offered again. The caller gets the answer or a correct "not run".
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
		Convey("cut after each of "+strconv.FormatInt(total, 10)+" bytes", t, func() {
			answered := 0
			const step = 1
			for at := int64(1); at <= total; at += step {
				key := "cut-" + strconv.Itoa(int(direction)) + "-" + strconv.FormatInt(at, 10)
				rig.proxies["orders-1"].Cut()
				rig.proxies["orders-1"].Set(direction, disturber.Fault{CutAfter: at, Once: true})
				got := entry.order(t.Context(), key, `{"meals":40}`)
				rig.proxies["orders-1"].Set(direction, disturber.Fault{})
				rig.checkTruthful(key, got)
				So(got.ran(), ShouldNotEqual, "unknown")
				resent := entry.order(t.Context(), key, `{"meals":40}`)
				rig.checkTruthful(key, resent)
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

func TestALostGrantIsOfferedAgain(t *testing.T) {
	t.Parallel()
	// Guards against a caller that is refused although its agent can be reached: the
	// connection breaks after the offer has arrived and before its answer. The offer
	// is repeated, so an order runs, and a resend of an order that ran gets its answer
	// instead of "in progress". The agent may still hold the first offer.
	rig := newRig(t, siteConfig())
	started := rig.clock.Now()
	agent := rig.addOrders("orders-1", 0)
	entry := rig.addEntry("entry-1")
	proxy := rig.proxies["orders-1"]
	if got := entry.order(t.Context(), "ran", "{}"); got.status != 200 {
		t.Fatal(got)
	}
	tests := []struct{ name, key, replayed string }{
		{"an order with a key runs", "new", ""},
		{"a resend gets the first answer", "ran", "true"},
		{"an order with a key of the system runs", entry.mintedKey(), ""},
		{"an order without a key runs", "", ""},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			before := rig.ledger.Total()
			proxy.Set(disturber.FromTarget, disturber.Fault{CutAfter: 1, Once: true})
			got := entry.order(t.Context(), test.key, "{}")
			So(got.status, ShouldEqual, 200)
			So(got.header.Get("Idempotency-Replayed"), ShouldEqual, test.replayed)
			if test.replayed == "" {
				before++
			}
			So(rig.ledger.Total(), ShouldEqual, before)
		})
	}
	Convey("the record shows every promise held", t, func() {
		So(entry.stop(), ShouldEqual, 0)
		So(agent.stop(), ShouldEqual, 0)
		report, _ := rig.report(started)
		for _, verdict := range report.Verdicts {
			So(verdict.Breaches, ShouldBeEmpty)
		}
		So(report.Verdicts[1].Checked, ShouldEqual, len(tests)+1)
	})
}

// mintedKey returns a key that the system has minted.
func (proc *process) mintedKey() string {
	var minted struct {
		Keys []string `json:"keys"`
	}
	granted := proc.call(proc.t.Context(), "POST", "/v1/keys", `{"service":"orders","count":1}`)
	if err := json.Unmarshal([]byte(granted.body), &minted); err != nil || len(minted.Keys) != 1 {
		proc.t.Fatal(granted, err)
	}
	return minted.Keys[0]
}

func TestTwoEntriesWithOneKeyRunItOnce(t *testing.T) {
	t.Parallel()
	// Guards against two runs of an order that two entries receive at once under
	// one key. The claim is one row, so one agent holds it, and the entries send
	// every other offer to that agent. Callers get the answer of that run or a
	// correct "in progress"; a later resend gets the first answer, and a different
	// body under the same key is refused.
	rig := newRig(t, siteConfig())
	for i := range 3 {
		rig.addOrders("orders-"+strconv.Itoa(i+1), 30*timekeeper.Millisecond)
	}
	entries := []*process{rig.addEntry("entry-1"), rig.addEntry("entry-2")}
	Convey("each key runs once", t, func() {
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
	Convey("a resend gets the first answer", t, func() {
		first := entries[0].order(t.Context(), "same", `{"a":1}`)
		again := entries[1].order(t.Context(), "same", `{"a":1}`)
		So(again.body, ShouldEqual, first.body)
		So(again.header.Get("Idempotency-Replayed"), ShouldEqual, "true")
	})
	Convey("a different body under the key is refused", t, func() {
		got := entries[1].order(t.Context(), "same", `{"a":2}`)
		So(got.status, ShouldEqual, 422)
		So(rig.ledger.Runs("same"), ShouldEqual, 1)
	})
	Convey("the owner is killed, and a resend to another replica doesn't run", t, func() {
		first := entries[0].order(t.Context(), "orphan", "{}")
		rig.agents[first.header.Get("Trefoilseam-Upstream")].kill()
		got := entries[1].order(t.Context(), "orphan", "{}")
		So(got.status, ShouldBeIn, 502, 409)
		So(got.ran(), ShouldBeIn, "unknown", "yes")
		So(rig.ledger.Runs("orphan"), ShouldEqual, 1)
	})
}

func TestAStoreOutageRunsNoOrderTwice(t *testing.T) {
	t.Parallel()
	// Guards against a second run after lost writes, lost answers or an outage of
	// the store. A plain key needs a claim in the table, so its order doesn't run
	// while the store is down: the caller gets "store-down, not run" and retries
	// later. A write whose answer was lost is read back. A minted key needs no row,
	// because only one agent incarnation may run it, so its caller gets an answer.
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
	Convey("the agent reads back a write whose answer was lost", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
		So(entry.order(t.Context(), "lost-answer", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("lost-answer"), ShouldEqual, 1)
	})
	Convey("the agent repeats a lost write", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{LoseWrites: 1})
		So(entry.order(t.Context(), "lost-write", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("lost-write"), ShouldEqual, 1)
	})
	Convey("while the store is down, only minted keys run", t, func() {
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
	Convey("after the outage the refused key runs", t, func() {
		rig.platform.SetFaults(imitator.PlatformFaults{})
		So(entry.order(t.Context(), "outage", "{}").status, ShouldEqual, 200)
		So(rig.ledger.Runs("outage"), ShouldEqual, 1)
	})
	Convey("the outcome of a minted key is unknown once its agent is killed", t, func() {
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
	// Guards against a second run while the owner of a key is paused. All agents are
	// paused during the call (SIGSTOP), its entry is killed, and the caller resends
	// through another entry. No other agent takes the key over, however long the
	// pause, since the claim names its owner. The first call breaks or ends as
	// unknown; the resend gets the answer once the agents resume.
	rig := newRig(t, siteConfig())
	rig.addOrders("orders-1", 100*timekeeper.Millisecond)
	rig.addOrders("orders-2", 100*timekeeper.Millisecond)
	first, second := rig.addEntry("entry-1"), rig.addEntry("entry-2")
	Convey("the order runs once", t, func() {
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
