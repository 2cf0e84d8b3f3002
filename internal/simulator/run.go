package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// transit is the time from an entry to an engine, and between entries, in
	// milliseconds.
	transit = 1.0
	// tick is how often entries look at who waits, in milliseconds.
	tick = 20.0
	// epoch keeps instants away from zero, which means "never" to decisions.
	epoch = 1_000_000
	// comeBack and its spread are when a refused caller comes again, in
	// milliseconds, beside what the queue needs to drain.
	comeBack, comeBackWidth = 250.0, 500.0
	// waitTargets and waitShare bound a wait at the entry as the entry does.
	waitTargets, waitShare = 2.0, 0.3
)

// gigabyte is in bytes.
const gigabyte = 1e9

// request is one try of a caller.
type request struct {
	class    *Class
	parts    []balancer.Part
	arrived  float64
	entry    *entry
	again    bool
	answered bool
	over     bool
}

// run is the state of a run.
type run struct {
	settings Settings
	draws    *rand.Rand
	agenda   agenda
	numbers  int
	engines  []*engine
	replicas []balancer.Replica
	entries  []*entry
	restarts int
	report   Report
	// holders counts the engines that have read a part.
	holders  map[uint64]map[int]bool
	samples  int
	skew     float64
	placed   int
	overfull int
}

// Run plays a site and returns what became of its callers.
func Run(settings Settings) Report {
	settings = settings.withDefaults()
	run := &run{
		settings: settings, draws: rand.New(rand.NewPCG(settings.Seed, 31)),
		report: Report{Classes: map[string]Tally{}}, holders: map[uint64]map[int]bool{},
	}
	run.build()
	run.arrivals()
	for len(run.agenda) > 0 {
		next := heap.Pop(&run.agenda).(event)
		next.do(next.at)
	}
	return run.finish()
}

func (run *run) at(when float64, do func(now float64)) {
	run.numbers++
	heap.Push(&run.agenda, event{at: when, number: run.numbers, do: do})
}

func (run *run) build() {
	site := run.settings.Site
	replicas := make([]balancer.Replica, 0, site.Engines)
	for i := range site.Engines {
		figures := site.Engine
		if i == 0 {
			figures.Step *= run.settings.Slow
			figures.StepPerRequest *= run.settings.Slow
			figures.PrefillRate /= run.settings.Slow
		}
		id := fmt.Sprintf("engine-%02d", i)
		run.engines = append(run.engines, newEngine(id, figures))
		replicas = append(replicas, balancer.Replica{ID: id, Service: "planner", Address: id, Slots: figures.Slots})
	}
	run.replicas = replicas
	for i := range site.Entries {
		run.entries = append(run.entries, run.newEntry(uint64(i)))
	}
	if run.settings.RestartInterval > 0 && run.settings.Policy == Fleet {
		run.at(float64(run.settings.RestartInterval), run.restart)
	}
	if site.DigestInterval > 0 && run.settings.Policy == Fleet {
		run.at(float64(site.DigestInterval), run.digests)
	}
	if run.settings.Policy == Fleet {
		run.at(tick, run.look)
	}
	run.at(tick, run.sample)
	if down := run.settings.FailedSource; down > 0 {
		run.at(float64(run.settings.Length)/2, func(float64) { run.engines[down-1].down = true })
	}
}

// last is when the run ends for what repeats.
func (run *run) last() float64 { return float64(run.settings.Length) + 5000 }

// digests sends what each entry has under way to all others.
func (run *run) digests(now float64) {
	for i, from := range run.entries {
		held, placed := from.fleet.InFlight(), from.placed
		from.placed = nil
		for j, to := range run.entries {
			if i == j {
				continue
			}
			name := fmt.Sprintf("entry-%d", i)
			run.at(now+transit, func(now float64) {
				to.fleet.SetPeerInFlight(name, held, timekeeper.Second, instant(now))
				for _, prompt := range placed {
					to.fleet.RecordCached(balancer.KeyOf(run.engines[prompt.engine].id), prompt.parts, instant(now))
				}
			})
		}
	}
	if now < run.last() {
		run.at(now+float64(run.settings.Site.DigestInterval), run.digests)
	}
}

func (run *run) look(now float64) {
	for _, entry := range run.entries {
		run.dispatch(entry, now)
	}
	if now < run.last() {
		run.at(now+tick, run.look)
	}
}

// sample measures the skew.
func (run *run) sample(now float64) {
	total, most := 0, 0
	for _, engine := range run.engines {
		total += engine.held()
		most = max(most, engine.held())
	}
	if total > 0 {
		run.samples++
		run.skew += float64(most) * float64(len(run.engines)) / float64(total)
	}
	if now < run.last() {
		run.at(now+tick, run.sample)
	}
}

func instant(now float64) timekeeper.Instant { return timekeeper.Instant(epoch + now) }

// arrivals draws all callers.
func (run *run) arrivals() {
	for i := range run.settings.Site.Classes {
		class := &run.settings.Site.Classes[i]
		for now := 0.0; now < float64(run.settings.Length); {
			rate := class.PerSecond * run.settings.Load * run.burst(now) / 1000
			now += run.draws.ExpFloat64() / rate
			fresh := &request{class: class, parts: run.prompt(i, class), arrived: now}
			run.at(now, func(now float64) { run.arrive(fresh, now) })
		}
	}
}

func (run *run) burst(now float64) float64 {
	from := float64(run.settings.BurstFrom)
	if now >= from && now < from+float64(run.settings.BurstFor) {
		return run.settings.Burst
	}
	return 1
}

// prompt draws the parts of a request.
func (run *run) prompt(index int, class *Class) []balancer.Part {
	thing := run.draws.IntN(class.Contexts)
	if run.draws.Float64() < run.settings.Hot {
		thing = 0
	}
	base := uint64(index+1) << 32
	return []balancer.Part{
		{ID: base | uint64(thing%class.Roots), Tokens: class.RootTokens},
		{ID: base | 1<<16 | uint64(thing), Tokens: class.ContextTokens},
		{ID: run.draws.Uint64() | 1<<63, Tokens: class.UniqueTokens},
	}
}

func (run *run) tally(class *Class, change func(tally *Tally)) {
	tally := run.report.Classes[class.Name]
	change(&tally)
	run.report.Classes[class.Name] = tally
}

// arrive gives a request to an entry.
func (run *run) arrive(fresh *request, now float64) {
	if !fresh.again {
		run.tally(fresh.class, func(tally *Tally) { tally.Arrived++ })
	}
	fresh.entry = run.entries[run.draws.IntN(len(run.entries))]
	if run.settings.Policy != Fleet {
		chosen := run.settings.Policy.baseline(fresh.parts, fresh.entry.running, run.draws)
		run.send(fresh, chosen, nil, now)
		return
	}
	class, left := fresh.class, float64(fresh.class.Timeout)
	waiter := &balancer.Waiter{
		Request: balancer.Request{
			Service: "planner", Parts: fresh.parts, Priority: class.Urgency, MaxEngineWait: class.Target,
		},
		Rank: class.Urgency, Team: "team", Due: instant(now).Add(class.Target),
		Until: instant(now + math.Min(waitTargets*float64(class.Target), waitShare*left)),
	}
	fresh.entry.fleet.Enqueue(waiter, instant(now))
	if !run.decided(fresh, waiter, now) {
		fresh.entry.waiting[waiter] = fresh
	}
}

// decided acts on a decision, if there is one.
func (run *run) decided(request *request, waiter *balancer.Waiter, now float64) bool {
	switch {
	case waiter.Placement != nil:
		run.send(request, run.indexOf(waiter.Placement.Replica.ID), waiter.Placement, now)
	case waiter.Reason != "":
		run.refuse(request, float64(waiter.Wait), now)
	default:
		return false
	}
	return true
}

func (run *run) indexOf(id string) int {
	for i, engine := range run.engines {
		if engine.id == id {
			return i
		}
	}
	return 0
}

func (run *run) dispatch(entry *entry, now float64) {
	for _, waiter := range entry.fleet.Dispatch(instant(now)) {
		request := entry.waiting[waiter]
		delete(entry.waiting, waiter)
		run.decided(request, waiter, now)
	}
}

// refuse tells a caller to come back; each comes back once, within a third of
// its patience.
func (run *run) refuse(request *request, wait, now float64) {
	pause := comeBack + run.draws.Float64()*comeBackWidth + wait
	pause = math.Min(pause, float64(request.class.Timeout)/3)
	if request.again {
		run.tally(request.class, func(tally *Tally) { tally.Refused++ })
		return
	}
	request.again = true
	run.at(now+pause, func(now float64) { run.arrive(request, now) })
}

// send gives a request to an engine.
func (run *run) send(request *request, chosen int, placement *balancer.Placement, now float64) {
	engine, entry := run.engines[chosen], request.entry
	entry.running[chosen]++
	if placement != nil {
		entry.placed = append(entry.placed, placedPrompt{engine: chosen, parts: request.parts})
	}
	run.count(request, chosen, placement)
	run.numbers++
	work := &job{parts: request.parts, output: request.class.Output, priority: request.class.Urgency, number: run.numbers}
	end := func(ending balancer.Outcome, now float64) {
		request.over = true
		entry.running[chosen]--
		if placement != nil {
			entry.fleet.End(placement, ending, instant(now))
			run.dispatch(entry, now)
		}
	}
	work.first = func(now float64) { run.first(request, placement, now) }
	work.done = func(now float64) { end(balancer.Served, now) }
	ready := now + transit
	if placement != nil && placement.Source != "" && run.settings.Site.Engine.LinkRate > 0 {
		ready = engine.fetch(request.parts, run.engines[run.indexOf(placement.Source)], ready)
	}
	run.at(ready, func(now float64) {
		idle := !engine.busy
		engine.add(work, now)
		if idle {
			run.step(engine)
		}
	})
	run.at(request.arrived+float64(request.class.Timeout), func(now float64) {
		if request.answered || request.over {
			return
		}
		run.tally(request.class, func(tally *Tally) { tally.TimedOut++ })
		work.gone = true
		end(balancer.Abandoned, now)
	})
}

// count notes whether the engine has to read what another has, and whether it
// holds more than its share.
func (run *run) count(request *request, chosen int, placement *balancer.Placement) {
	total := 0
	for _, engine := range run.engines {
		total += engine.held()
	}
	run.placed++
	limit := run.settings.Site.LoadFactor*float64(total)/float64(len(run.engines)) + 3
	if float64(run.engines[chosen].held()) > limit {
		run.overfull++
	}
	handed := 0
	if placement != nil && placement.Source != "" && run.settings.Site.Engine.LinkRate > 0 {
		handed = run.engines[run.indexOf(placement.Source)].prefix(request.parts)
	}
	for i, part := range request.parts[:len(request.parts)-1] {
		if _, cached := run.engines[chosen].cached[part.ID]; cached {
			run.report.Cached += part.Tokens
			continue
		}
		if i < handed {
			run.report.Fetched += part.Tokens
			continue
		}
		run.report.Prefilled += part.Tokens
		if len(run.holders[part.ID]) > 0 {
			run.report.PrefilledAgain += part.Tokens
		}
		if run.holders[part.ID] == nil {
			run.holders[part.ID] = map[int]bool{}
		}
		run.holders[part.ID][chosen] = true
	}
}

// first notes the first event of an answer.
func (run *run) first(request *request, placement *balancer.Placement, now float64) {
	if placement != nil {
		request.entry.fleet.AnswerStarted(placement, instant(now))
	}
	request.answered = true
	onTime := now-request.arrived <= float64(request.class.Target)
	run.tally(request.class, func(tally *Tally) {
		if onTime {
			tally.OnTime++
			return
		}
		tally.Late++
	})
}

// step lets an engine go on until it is idle.
func (run *run) step(engine *engine) {
	if !engine.busy {
		return
	}
	run.at(engine.next, func(now float64) {
		engine.end(now)
		run.step(engine)
	})
}

func (run *run) finish() Report {
	owed, earned := 0.0, 0.0
	for _, class := range run.settings.Site.Classes {
		tally := run.report.Classes[class.Name]
		owed += class.Worth * float64(tally.Arrived)
		earned += class.Worth * (float64(tally.OnTime) + float64(tally.Late)/2)
	}
	run.report.Worth = earned / math.Max(owed, 1)
	site := run.settings.Site
	again := site.PrefillPrice * float64(run.report.PrefilledAgain) / thousand
	moved := site.MovePrice * float64(run.report.Fetched) * site.Engine.TokenBytes / gigabyte
	run.report.Price = (again + moved) / math.Max(owed, 1)
	run.report.Skew = run.skew / math.Max(float64(run.samples), 1)
	run.report.Overfull = share(run.overfull, run.placed)
	return run.report
}
