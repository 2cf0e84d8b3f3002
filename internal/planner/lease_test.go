package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var terms = Terms{Span: 30 * timekeeper.Second, OrderTimeout: 20 * timekeeper.Second}

func TestLeaseNext(t *testing.T) {
	const now = timekeeper.Instant(1_000_000)
	checked := terms
	checked.EnginesCheckFence = true
	held := Lease{Holder: "a", Fence: 4, Until: now.Add(terms.Span)}
	expired := Lease{Holder: "a", Fence: 4, Until: now.Add(-MaxClockSkew)}
	tests := []struct {
		name   string
		lease  Lease
		self   string
		terms  Terms
		action LeaseAction
		fence  uint64
		quiet  timekeeper.Span
	}{
		{"never held", Lease{}, "a", terms, Acquire, 1, 0},
		{"mine, not due for renewal", held, "a", terms, NoAction, 4, 0},
		{"mine, half its span over", Lease{Holder: "a", Fence: 4, Until: now.Add(terms.Span / 2)}, "a", terms, Renew, 4, 0},
		{"mine, but expired: the token grows", expired, "a", terms, Acquire, 5, terms.OrderTimeout},
		{"another's", held, "b", terms, NoAction, 4, 0},
		{"another's, expired by less than the clock skew", Lease{Holder: "a", Fence: 4, Until: now}, "b", terms, NoAction, 4, 0},
		{"another's, expired; engines don't check tokens", expired, "b", terms, Acquire, 5, terms.OrderTimeout},
		{"another's, expired; engines check tokens", expired, "b", checked, Acquire, 5, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			next, action := test.lease.Next(test.self, test.terms, now)
			So(action, ShouldEqual, test.action)
			So(next.Fence, ShouldEqual, test.fence)
			So(next.MayOrder(test.self, now), ShouldEqual, next.Holder == test.self && test.quiet == 0)
			if test.quiet > 0 {
				So(next.NoOrdersBefore.Since(now), ShouldEqual, test.quiet)
			}
		})
	}
	Convey("a gate refuses lower tokens and expired leases", t, func() {
		gate, verdict := Gate{}.Check(5, now+1, now)
		So(verdict, ShouldEqual, Pass)
		_, verdict = gate.Check(4, now+1, now)
		So(verdict, ShouldEqual, StaleFence)
		gate, verdict = gate.Check(6, now, now)
		So(verdict, ShouldEqual, LeaseExpired)
		So(gate.Highest, ShouldEqual, 6)
	})
}

// execution is one order's run at an engine that doesn't check fencing tokens.
type execution struct {
	fence      uint64
	start, end timekeeper.Instant
}

func TestOrdersOfEarlierHoldersEndBeforeLaterOnes(t *testing.T) {
	// Guards against an engine without fencing that executes an order of an earlier holder
	// while or after it executes one of a later holder. Entries are paused for up to three
	// leases between reading the row and writing it, and between deciding and sending;
	// clocks differ; and the agent is a new one each time, so that it remembers no token.
	const schedules, steps, entries = 3000, 60, 4
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 6))
		pause := func() timekeeper.Span {
			return timekeeper.Span(random.IntN(int(3*terms.Span))) * timekeeper.Span(random.IntN(2))
		}
		skew := func() timekeeper.Span { return timekeeper.Span(random.IntN(int(MaxClockSkew/2))) - MaxClockSkew/4 }
		clocks := [entries]timekeeper.Span{}
		for i := range clocks {
			clocks[i] = skew()
		}
		var row Lease
		version := 0
		writtenAt := timekeeper.Instant(0)
		var done []execution
		now := timekeeper.Instant(1_000_000)
		for range steps {
			now = now.Add(timekeeper.Span(random.IntN(int(terms.Span))))
			i := random.IntN(entries)
			self := fmt.Sprint(i)
			read := version
			next, action := row.Next(self, terms, now.Add(clocks[i]))
			wrote := now.Add(pause())
			// The compare-and-set succeeds if the row is as it was read, also after the
			// pause.
			if action != NoAction && read == version && wrote >= writtenAt {
				row, writtenAt = next, wrote
				version++
				now = max(now, wrote)
			}
			if !row.MayOrder(self, now.Add(clocks[i])) {
				continue
			}
			order := row
			at := now.Add(pause())
			if _, verdict := (Gate{}).Check(order.Fence, order.Until, at.Add(skew())); verdict == Pass {
				end := at.Add(timekeeper.Span(random.IntN(int(terms.OrderTimeout))))
				done = append(done, execution{fence: order.Fence, start: at, end: end})
			}
		}
		for _, a := range done {
			for _, b := range done {
				if a.fence < b.fence && b.start < a.end {
					t.Fatalf("schedule %d: order %+v of a later holder began before %+v ended", seed, b, a)
				}
			}
		}
	}
}

func TestExecutedPlanLeavesNoOrders(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 8))
		engines := make([]Engine, 1+random.IntN(6))
		for i := range engines {
			engines[i].Name = fmt.Sprint("engine-", i)
			for adapter := range 5 {
				if random.IntN(2) == 0 {
					engines[i].Loaded = append(engines[i].Loaded, fmt.Sprint("adapter-", adapter))
				}
			}
		}
		targets := make([]Target, 0, 4)
		for adapter := range 4 {
			targets = append(targets, Target{Adapter: fmt.Sprint("adapter-", adapter), Engines: 1 + random.IntN(8)})
		}
		for _, order := range Plan(engines, DesiredState{Targets: targets}) {
			engines = applyOrder(engines, order)
		}
		if left := Plan(engines, DesiredState{Targets: targets}); len(left) > 0 {
			t.Fatalf("seed %d: orders left after the plan: %v", seed, left)
		}
	}
}

func applyOrder(engines []Engine, order Order) []Engine {
	for i := range engines {
		if engines[i].Name != order.Engine {
			continue
		}
		var loaded []string
		for _, name := range engines[i].Loaded {
			if name != order.Subject {
				loaded = append(loaded, name)
			}
		}
		if order.Action == Load {
			loaded = append(loaded, order.Subject)
		}
		engines[i].Loaded = loaded
	}
	return engines
}

func TestASurgeDoesNotFlapAdapters(t *testing.T) {
	// Guards against an adapter that is loaded and unloaded on each surge. A team surges
	// for ten seconds of every minute, for two hours. A lasting demand must still be met.
	Convey("surges change nothing, a lasting demand adds one engine at a time", t, func() {
		spread := Spread{}.WithDesired(2, 1)
		moves := 0
		var now timekeeper.Instant
		for second := range 2 * 3600 {
			now = timekeeper.Instant(second+1) * timekeeper.Instant(timekeeper.Second)
			desired := 2
			if second%60 < 10 {
				desired = 9
			}
			next := spread.WithDesired(desired, now)
			if next.Engines != spread.Engines {
				moves++
			}
			spread = next
		}
		So(moves, ShouldEqual, 0)
		for range 91 {
			now = now.Add(timekeeper.Second)
			spread = spread.WithDesired(9, now)
		}
		So(spread.Engines, ShouldEqual, 5)
	})
	Convey("loads stay within the weight store's rate", t, func() {
		limiter := NewRateLimiter(6, 0)
		loads := 0
		for second := range 600 {
			next, allowed := limiter.Allow(6, timekeeper.Instant(second)*timekeeper.Instant(timekeeper.Second))
			limiter = next
			if allowed {
				loads++
			}
		}
		So(loads, ShouldBeLessThanOrEqualTo, 60)
		So(loads, ShouldBeGreaterThan, 55)
	})
}

func TestClockJumpMakesNoSecondHolder(t *testing.T) {
	// Guards against a second holder after a clock jump. The time of day jumps two minutes
	// ahead at the entry that does not hold the lease, and later back. By the time of day,
	// that entry takes the lease while its holder gives orders; by a monotonic clock, it
	// waits until the lease has expired.
	terms := Terms{Span: 15 * timekeeper.Second, OrderTimeout: 5 * timekeeper.Second}
	const jump = 2 * timekeeper.Minute
	tests := []struct {
		name string
		// other returns the other entry's clock reading at a true instant.
		other func(now timekeeper.Instant) timekeeper.Instant
		taken bool
	}{
		{"by the time of day", func(now timekeeper.Instant) timekeeper.Instant {
			if now > 1_004_000 && now < 1_010_000 {
				return now.Add(jump)
			}
			return now
		}, true},
		{"by a monotonic clock", func(now timekeeper.Instant) timekeeper.Instant { return now }, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			row, taken := Lease{}, false
			for now := timekeeper.Instant(1_000_000); now < 1_060_000; now = now.Add(500) {
				if next, action := row.Next("holder", terms, now); action != NoAction && row.Holder != "other" {
					row = next
				}
				if next, action := row.Next("other", terms, test.other(now)); action != NoAction {
					row, taken = next, true
				}
			}
			So(taken, ShouldEqual, test.taken)
		})
	}
}
