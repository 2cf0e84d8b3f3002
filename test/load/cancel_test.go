package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// engine is one upstream that goes on with a cancelled call for a while.
type engine struct {
	busy    int
	waiting []func()
}

func (engine *engine) enter(start func()) {
	if engine.busy == slots {
		engine.waiting = append(engine.waiting, start)
		return
	}
	engine.busy++
	start()
}

func (engine *engine) leave() {
	if len(engine.waiting) == 0 {
		engine.busy--
		return
	}
	next := engine.waiting[0]
	engine.waiting = engine.waiting[1:]
	next()
}

// lateCancel runs one replica whose engine notices a cancel late, and whose
// agent keeps the slot for hold. It returns the wait for the first token that
// 99 of 100 captions keep, and the calls that were served in time.
func lateCancel(late, hold timekeeper.Span) (timekeeper.Span, int) {
	const until, calls = 120_000, 6.5
	policy := own(0)
	policy.limits.QueueLength = 256
	fleet, engine := newFleet(policy, 1, 1), &engine{}
	controller := admitter.NewController(policy.limits)
	random := rand.New(rand.NewPCG(4, 9))
	var waits []timekeeper.Span
	served := 0
	starts := map[string]func(){}
	finish := func(id string) {
		for _, granted := range controller.Finish(id, fleet.now) {
			starts[granted.ID]()
		}
	}
	offer := func(number int) {
		id, arrived := fmt.Sprint(number), fleet.now
		class, length := uint8(draft), 800+timekeeper.Span(random.IntN(800))
		if number%5 == 0 {
			class, length = caption, 120
		}
		leaves := class != caption && random.IntN(3) == 0
		starts[id] = func() {
			engine.enter(func() {
				wait := fleet.now.Since(arrived)
				controller.RecordFirstByte(id, fleet.now)
				if class == caption {
					waits = append(waits, wait)
				}
				if leaves {
					gone := fleet.now.Add(length / 4)
					fleet.at(gone.Add(hold), func() { finish(id) })
					fleet.at(gone.Add(late), engine.leave)
					return
				}
				if wait <= 5*timekeeper.Second {
					served++
				}
				fleet.at(fleet.now.Add(length), func() { engine.leave(); finish(id) })
			})
		}
		decision := controller.Offer(admitter.Ticket{
			ID: id, Team: "a", Class: class, Work: int64(length), Arrived: arrived, Deadline: arrived.Add(5 * timekeeper.Second),
		}, admitter.Mean{})
		if decision.Outcome == admitter.Granted {
			starts[id]()
		}
	}
	for at, number := 0.0, 0; at < until; number++ {
		fleet.at(timekeeper.Instant(at), func() { offer(number) })
		at += random.ExpFloat64() * 1000 / calls
	}
	fleet.run()
	slices.Sort(waits)
	return waits[len(waits)*99/100], served
}

// BenchmarkLateCancel weighs when the slot of a cancelled call is free again:
// at once, or after a time in which the engine has surely noticed.
func BenchmarkLateCancel(b *testing.B) {
	const second = timekeeper.Second
	for b.Loop() {
		for _, late := range []timekeeper.Span{0, second / 4, second, 2 * second} {
			for _, hold := range []timekeeper.Span{0, second / 2, second, 2 * second} {
				wait, served := lateCancel(late, hold)
				b.Logf("cancel late by %s, slot held for %s: caption p99 %s, served %d", late, hold, wait, served)
			}
		}
		atOnce, _ := lateCancel(second, 0)
		held, _ := lateCancel(second, second)
		b.ReportMetric(float64(atOnce), "caption-p99-at-once-ms")
		b.ReportMetric(float64(held), "caption-p99-held-ms")
		if prompt, _ := lateCancel(0, second); 5*held > atOnce || 5*prompt > atOnce {
			b.Fatalf("caption p99 %s held, %s at once, %s held for an engine that cancels promptly", held, atOnce, prompt)
		}
	}
}
