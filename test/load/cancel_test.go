package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// engine is an upstream that still works on a call for a while after its cancel.
type engine struct {
	busySlots int
	waiting   []func()
}

func (engine *engine) enter(start func()) {
	if engine.busySlots == slots {
		engine.waiting = append(engine.waiting, start)
		return
	}
	engine.busySlots++
	start()
}

func (engine *engine) leave() {
	if len(engine.waiting) == 0 {
		engine.busySlots--
		return
	}
	next := engine.waiting[0]
	engine.waiting = engine.waiting[1:]
	next()
}

// lateCancel runs one replica whose engine stops a cancelled call after cancelDelay
// and whose agent frees the slot after slotHold. It returns the 99th percentile of
// the captions' time to first token, and the number of calls served in time.
func lateCancel(cancelDelay, slotHold timekeeper.Span) (timekeeper.Span, int) {
	const until, callsPerSecond = 120_000, 6.5
	policy := systemPolicy(0)
	policy.limits.QueueLength = 256
	fleet, engine := newFleet(policy, 1, 1), &engine{}
	controller := admitter.NewController(policy.limits)
	random := rand.New(rand.NewPCG(4, 9))
	var waits []timekeeper.Span
	served := 0
	startByID := map[string]func(){}
	finish := func(id string) {
		for _, granted := range controller.Finish(id, fleet.now) {
			startByID[granted.ID]()
		}
	}
	offer := func(number int) {
		id, arrived := fmt.Sprint(number), fleet.now
		class, duration := uint8(draft), 800+timekeeper.Span(random.IntN(800))
		if number%5 == 0 {
			class, duration = caption, 120
		}
		cancelled := class != caption && random.IntN(3) == 0
		startByID[id] = func() {
			engine.enter(func() {
				wait := fleet.now.Since(arrived)
				controller.RecordFirstByte(id, fleet.now)
				if class == caption {
					waits = append(waits, wait)
				}
				if cancelled {
					cancelledAt := fleet.now.Add(duration / 4)
					fleet.at(cancelledAt.Add(slotHold), func() { finish(id) })
					fleet.at(cancelledAt.Add(cancelDelay), engine.leave)
					return
				}
				if wait <= 5*timekeeper.Second {
					served++
				}
				fleet.at(fleet.now.Add(duration), func() { engine.leave(); finish(id) })
			})
		}
		decision := controller.Offer(admitter.Ticket{
			ID: id, Team: "a", Class: class, Work: int64(duration), Arrived: arrived, Deadline: arrived.Add(5 * timekeeper.Second),
		}, admitter.Mean{})
		if decision.Outcome == admitter.Granted {
			startByID[id]()
		}
	}
	for at, number := 0.0, 0; at < until; number++ {
		fleet.at(timekeeper.Instant(at), func() { offer(number) })
		at += random.ExpFloat64() * 1000 / callsPerSecond
	}
	fleet.run()
	slices.Sort(waits)
	return waits[len(waits)*99/100], served
}

// BenchmarkLateCancel compares when an agent frees the slot of a cancelled call:
// at once, or only when the engine has surely stopped working on it.
func BenchmarkLateCancel(b *testing.B) {
	const second = timekeeper.Second
	for b.Loop() {
		for _, cancelDelay := range []timekeeper.Span{0, second / 4, second, 2 * second} {
			for _, slotHold := range []timekeeper.Span{0, second / 2, second, 2 * second} {
				wait, served := lateCancel(cancelDelay, slotHold)
				b.Logf("cancel takes %s, slot held for %s: caption p99 %s, served %d", cancelDelay, slotHold, wait, served)
			}
		}
		atOnce, _ := lateCancel(second, 0)
		held, _ := lateCancel(second, second)
		b.ReportMetric(float64(atOnce), "caption-p99-at-once-ms")
		b.ReportMetric(float64(held), "caption-p99-held-ms")
		if promptCancel, _ := lateCancel(0, second); 5*held > atOnce || 5*promptCancel > atOnce {
			b.Fatalf("caption p99 %s held, %s at once, %s held for an engine that cancels promptly", held, atOnce, promptCancel)
		}
	}
}
