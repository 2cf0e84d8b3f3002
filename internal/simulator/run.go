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
	// networkLatency is, in milliseconds, the time from an entry to an engine or another entry.
	networkLatency = 1.0
	// tick is the interval of dispatches from entry queues and of skew samples, in milliseconds.
	tick = 20.0
	// epoch is the start of virtual time; it keeps instants away from zero, which means
	// "never" in package balancer.
	epoch = 1_000_000
	// retryDelay and retryJitter are the fixed part and the maximum random part of a refused
	// caller's backoff, in milliseconds. The wait that the entry estimates is added; refuse
	// limits the sum.
	retryDelay, retryJitter = 250.0, 500.0
	// maxWaitTargets and maxWaitShare limit the wait at an entry, as a multiple of the target
	// and a share of the timeout. Real entries use the same limits.
	maxWaitTargets, maxWaitShare = 2.0, 0.3
)

// gigabyte is the number of bytes that MovePrice refers to.
const gigabyte = 1e9

// request is a caller's request; a retry after a refusal reuses it.
type request struct {
	class    *Class
	parts    []balancer.Part
	arrived  float64
	entry    *entry
	retried  bool
	answered bool
	ended    bool
}

// run is the state of one simulation.
type run struct {
	settings Settings
	rng      *rand.Rand
	events   events
	// lastNumber is the last event's or job's number; numbers break ties in order of creation.
	lastNumber int
	engines    []*engine
	replicas   []balancer.Replica
	entries    []*entry
	replaced   int
	report     Report
	// prefilledOn has, by shared part, the engines that were sent a request needing its prefill.
	prefilledOn map[uint64]map[int]bool
	skewSamples int
	skewSum     float64
	// placed counts requests sent to engines, overfull those sent to one above its load bound.
	placed   int
	overfull int
}

// Run simulates a site and returns the report.
func Run(settings Settings) Report {
	settings = settings.withDefaults()
	run := &run{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 31)),
		report: Report{Classes: map[string]Tally{}}, prefilledOn: map[uint64]map[int]bool{},
	}
	run.build()
	run.scheduleArrivals()
	for len(run.events) > 0 {
		next := heap.Pop(&run.events).(event)
		next.do(next.at)
	}
	return run.finish()
}

func (run *run) at(when float64, do func(now float64)) {
	run.lastNumber++
	heap.Push(&run.events, event{at: when, number: run.lastNumber, do: do})
}

func (run *run) build() {
	site := run.settings.Site
	replicas := make([]balancer.Replica, 0, site.Engines)
	for i := range site.Engines {
		engineSettings := site.Engine
		if i == 0 {
			engineSettings.Step *= run.settings.Slow
			engineSettings.StepPerRequest *= run.settings.Slow
			engineSettings.PrefillRate /= run.settings.Slow
		}
		id := fmt.Sprintf("engine-%02d", i)
		run.engines = append(run.engines, newEngine(id, engineSettings))
		replicas = append(replicas, balancer.Replica{ID: id, Service: "planner", Address: id, Slots: engineSettings.Slots})
	}
	run.replicas = replicas
	for i := range site.Entries {
		run.entries = append(run.entries, run.newEntry(uint64(i)))
	}
	if run.settings.ReplaceInterval > 0 && run.settings.Policy == Fleet {
		run.at(float64(run.settings.ReplaceInterval), run.replaceEntry)
	}
	if site.DigestInterval > 0 && run.settings.Policy == Fleet {
		run.at(float64(site.DigestInterval), run.sendDigests)
	}
	if run.settings.Policy == Fleet {
		run.at(tick, run.dispatchAll)
	}
	run.at(tick, run.sampleSkew)
	if failedSource := run.settings.FailedSource; failedSource > 0 {
		run.at(float64(run.settings.Length)/2, func(float64) { run.engines[failedSource-1].transfersFail = true })
	}
}

// lastTick is when recurring events stop: five seconds after arrivals end.
func (run *run) lastTick() float64 { return float64(run.settings.Length) + 5000 }

// sendDigests sends each entry's requests in flight and new placements to its peers.
func (run *run) sendDigests(now float64) {
	for i, from := range run.entries {
		inFlight, placements := from.fleet.InFlight(instant(now)), from.unreported
		from.unreported = nil
		for j, to := range run.entries {
			if i == j {
				continue
			}
			name := fmt.Sprintf("entry-%d", i)
			run.at(now+networkLatency, func(now float64) {
				to.fleet.SetPeerInFlight(name, inFlight, timekeeper.Second, instant(now))
				for _, prompt := range placements {
					to.fleet.RecordCached(balancer.KeyOf(run.engines[prompt.engine].id), prompt.parts, instant(now))
				}
			})
		}
	}
	if now < run.lastTick() {
		run.at(now+float64(run.settings.Site.DigestInterval), run.sendDigests)
	}
}

func (run *run) dispatchAll(now float64) {
	for _, entry := range run.entries {
		run.dispatch(entry, now)
	}
	if now < run.lastTick() {
		run.at(now+tick, run.dispatchAll)
	}
}

// sampleSkew adds a sample of the load skew between engines.
func (run *run) sampleSkew(now float64) {
	total, highest := 0, 0
	for _, engine := range run.engines {
		total += engine.inFlight()
		highest = max(highest, engine.inFlight())
	}
	if total > 0 {
		run.skewSamples++
		run.skewSum += float64(highest) * float64(len(run.engines)) / float64(total)
	}
	if now < run.lastTick() {
		run.at(now+tick, run.sampleSkew)
	}
}

func instant(now float64) timekeeper.Instant { return timekeeper.Instant(epoch + now) }

// scheduleArrivals draws the arrival times and prompts of all callers.
func (run *run) scheduleArrivals() {
	for i := range run.settings.Site.Classes {
		class := &run.settings.Site.Classes[i]
		for now := 0.0; now < float64(run.settings.Length); {
			rate := class.PerSecond * run.settings.Load * run.burstFactor(now) / 1000
			now += run.rng.ExpFloat64() / rate
			incoming := &request{class: class, parts: run.prompt(i, class), arrived: now}
			run.at(now, func(now float64) { run.arrive(incoming, now) })
		}
	}
}

func (run *run) burstFactor(now float64) float64 {
	from := float64(run.settings.BurstFrom)
	if now >= from && now < from+float64(run.settings.BurstFor) {
		return run.settings.Burst
	}
	return 1
}

// prompt draws the parts of a prompt: root, context and unique part.
func (run *run) prompt(index int, class *Class) []balancer.Part {
	context := run.rng.IntN(class.Contexts)
	if run.rng.Float64() < run.settings.Hot {
		context = 0
	}
	base := uint64(index+1) << 32
	return []balancer.Part{
		{ID: base | uint64(context%class.Roots), Tokens: class.RootTokens},
		{ID: base | 1<<16 | uint64(context), Tokens: class.ContextTokens},
		{ID: run.rng.Uint64() | 1<<63, Tokens: class.UniqueTokens},
	}
}

func (run *run) tally(class *Class, change func(tally *Tally)) {
	tally := run.report.Classes[class.Name]
	change(&tally)
	run.report.Classes[class.Name] = tally
}

// arrive hands a request to a random entry, which places or queues it.
func (run *run) arrive(incoming *request, now float64) {
	if !incoming.retried {
		run.tally(incoming.class, func(tally *Tally) { tally.Arrived++ })
	}
	incoming.entry = run.entries[run.rng.IntN(len(run.entries))]
	if run.settings.Policy != Fleet {
		chosen := run.settings.Policy.baseline(incoming.parts, incoming.entry.outstanding, run.rng)
		run.send(incoming, chosen, nil, now)
		return
	}
	class, timeout := incoming.class, float64(incoming.class.Timeout)
	waiter := &balancer.Waiter{
		Request: balancer.Request{
			Service: "planner", Parts: incoming.parts, Priority: class.Urgency, MaxEngineWait: class.Target,
		},
		Rank: class.Urgency, Team: "team", Due: instant(now).Add(class.Target),
		Until: instant(now + math.Min(maxWaitTargets*float64(class.Target), maxWaitShare*timeout)),
	}
	incoming.entry.fleet.Enqueue(waiter, instant(now))
	if !run.applyDecision(incoming, waiter, now) {
		incoming.entry.waiting[waiter] = incoming
	}
}

// applyDecision sends or refuses a request and returns false while it is undecided.
func (run *run) applyDecision(request *request, waiter *balancer.Waiter, now float64) bool {
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
		run.applyDecision(request, waiter, now)
	}
}

// refuse refuses a request. Each caller retries once, within a third of its timeout.
func (run *run) refuse(request *request, wait, now float64) {
	delay := retryDelay + run.rng.Float64()*retryJitter + wait
	delay = math.Min(delay, float64(request.class.Timeout)/3)
	if request.retried {
		run.tally(request.class, func(tally *Tally) { tally.Refused++ })
		return
	}
	request.retried = true
	run.at(now+delay, func(now float64) { run.arrive(request, now) })
}

// send schedules a request at an engine and its abandonment at the caller's timeout.
func (run *run) send(request *request, chosen int, placement *balancer.Placement, now float64) {
	engine, entry := run.engines[chosen], request.entry
	entry.outstanding[chosen]++
	if placement != nil {
		entry.unreported = append(entry.unreported, placedPrompt{engine: chosen, parts: request.parts})
	}
	run.recordPlacement(request, chosen, placement)
	run.lastNumber++
	work := &job{parts: request.parts, output: request.class.Output, priority: request.class.Urgency, number: run.lastNumber}
	end := func(outcome balancer.Outcome, now float64) {
		request.ended = true
		entry.outstanding[chosen]--
		if placement != nil {
			entry.fleet.End(placement, outcome, instant(now))
			run.dispatch(entry, now)
		}
	}
	work.firstToken = func(now float64) { run.firstToken(request, placement, now) }
	work.done = func(now float64) { end(balancer.Served, now) }
	ready := now + networkLatency
	if placement != nil && placement.Source != "" && run.settings.Site.Engine.LinkRate > 0 {
		ready = engine.fetch(request.parts, run.engines[run.indexOf(placement.Source)], ready)
	}
	run.at(ready, func(now float64) {
		idle := !engine.busy
		engine.enqueue(work, now)
		if idle {
			run.scheduleStep(engine)
		}
	})
	run.at(request.arrived+float64(request.class.Timeout), func(now float64) {
		if request.answered || request.ended {
			return
		}
		run.tally(request.class, func(tally *Tally) { tally.TimedOut++ })
		work.abandoned = true
		end(balancer.Abandoned, now)
	})
}

// recordPlacement counts the cached, fetched and prefilled shared tokens of a request,
// and whether its engine was above the load bound.
func (run *run) recordPlacement(request *request, chosen int, placement *balancer.Placement) {
	total := 0
	for _, engine := range run.engines {
		total += engine.inFlight()
	}
	run.placed++
	limit := run.settings.Site.LoadFactor*float64(total)/float64(len(run.engines)) + 3
	if float64(run.engines[chosen].inFlight()) > limit {
		run.overfull++
	}
	transferable := 0
	if placement != nil && placement.Source != "" && run.settings.Site.Engine.LinkRate > 0 {
		transferable = run.engines[run.indexOf(placement.Source)].transferablePrefix(request.parts)
	}
	for i, part := range request.parts[:len(request.parts)-1] {
		if _, cached := run.engines[chosen].cached[part.ID]; cached {
			run.report.Cached += part.Tokens
			continue
		}
		if i < transferable {
			run.report.Fetched += part.Tokens
			continue
		}
		run.report.Prefilled += part.Tokens
		if len(run.prefilledOn[part.ID]) > 0 {
			run.report.PrefilledAgain += part.Tokens
		}
		if run.prefilledOn[part.ID] == nil {
			run.prefilledOn[part.ID] = map[int]bool{}
		}
		run.prefilledOn[part.ID][chosen] = true
	}
}

// firstToken records the first event of an answer.
func (run *run) firstToken(request *request, placement *balancer.Placement, now float64) {
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

// scheduleStep schedules the end of the current step, and of all that follow, until the
// engine is idle.
func (run *run) scheduleStep(engine *engine) {
	if !engine.busy {
		return
	}
	run.at(engine.stepEnd, func(now float64) {
		engine.endStep(now)
		run.scheduleStep(engine)
	})
}

func (run *run) finish() Report {
	possible, earned := 0.0, 0.0
	for _, class := range run.settings.Site.Classes {
		tally := run.report.Classes[class.Name]
		possible += class.Worth * float64(tally.Arrived)
		earned += class.Worth * (float64(tally.OnTime) + float64(tally.Late)/2)
	}
	run.report.Worth = earned / math.Max(possible, 1)
	site := run.settings.Site
	prefillCost := site.PrefillPrice * float64(run.report.PrefilledAgain) / tokensPerPrefillPrice
	transferCost := site.MovePrice * float64(run.report.Fetched) * site.Engine.TokenBytes / gigabyte
	run.report.Price = (prefillCost + transferCost) / math.Max(possible, 1)
	run.report.Skew = run.skewSum / math.Max(float64(run.skewSamples), 1)
	run.report.Overfull = ratio(run.overfull, run.placed)
	return run.report
}
