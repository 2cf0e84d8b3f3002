package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// modelTick is the time between two steps of a model.
	modelTick = 10 * timekeeper.Millisecond
	// answerTime is how long an answer takes, and crashTime how long after it arrived a request
	// crashes its engine.
	answerTime = 150 * timekeeper.Millisecond
	crashTime  = 60 * timekeeper.Millisecond
	// downTime is how long an engine stays away.
	downTime = 2500 * timekeeper.Millisecond
	// messageTime is how long a message takes to reach a peer, and conclusionTime how long after a crash a
	// trial is concluded.
	messageTime    = 60 * timekeeper.Millisecond
	conclusionTime = 150 * timekeeper.Millisecond
	// modelSpan is how long a model runs, and troubleAt when its trouble begins.
	modelSpan = 20 * timekeeper.Second
	troubleAt = 2 * timekeeper.Second
	// allowedLate is how many requests may reach engines later than contactSpan after the fifth crash.
	allowedLate = 3
	fifth       = 5
	// countedCrashes is the number of crashes of one request after which only allowedLate more may follow.
	countedCrashes = 3
	contactSpan    = 3 * timekeeper.Second
)

// modelRequest is a request at an engine.
type modelRequest struct {
	entry, engine int
	features      []Feature
	trial         []Feature
	bad, repeated bool
	arrivedAt     timekeeper.Instant
}

// model is a fleet of entries before engines, in virtual time.
type model struct {
	random  *rand.Rand
	now     timekeeper.Instant
	entries []*Table
	// loss is the share of the messages between entries that are lost; each is sent twice.
	loss float64
	// upAt is when each engine is back, and incarnations how often it has been started.
	upAt         []timekeeper.Instant
	incarnations []int
	inFlight     []*modelRequest
	later        []modelEvent
	requests     uint64

	badArrivals, badCrashes []timekeeper.Instant
	soundSent, soundRefused int
	crashes                 int
	partsQuarantined        []Feature
}

type modelEvent struct {
	at timekeeper.Instant
	do func()
}

func newModel(entries, engines int, seed uint64) *model {
	model := &model{random: rand.New(rand.NewPCG(seed, 3)), now: 1000, upAt: make([]timekeeper.Instant, engines), incarnations: make([]int, engines)}
	for range entries {
		model.entries = append(model.entries, New())
	}
	return model
}

func (model *model) after(span timekeeper.Span, do func()) {
	model.later = append(model.later, modelEvent{at: model.now.Add(span), do: do})
}

// tell sends a message to all entries but one.
func (model *model) tell(from int, apply func(table *Table)) {
	for to, table := range model.entries {
		if to == from || model.random.Float64() < model.loss*model.loss {
			continue
		}
		model.after(messageTime, func() { apply(table) })
	}
}

func (model *model) rank(entry int) func(Feature) int {
	return func(part Feature) int { return (entry + int(part.ID)) % len(model.entries) }
}

// arrive brings a request to an entry.
func (model *model) arrive(parts []uint64, bad bool) {
	model.requests++
	features := append(make([]Feature, 0, 1+len(parts)), Feature{Kind: Request, ID: 1_000_000 + model.requests})
	for _, part := range parts {
		features = append(features, Feature{Kind: Part, ID: part})
	}
	if !bad {
		model.soundSent++
	}
	model.send(&modelRequest{entry: model.random.IntN(len(model.entries)), features: features, bad: bad})
}

// send sends a request to an engine that is up, unless its entry holds it back.
func (model *model) send(request *modelRequest) {
	var up []int
	for engine, at := range model.upAt {
		if at <= model.now && (!request.repeated || engine != request.engine) {
			up = append(up, engine)
		}
	}
	table := model.entries[request.entry]
	if len(up) == 0 {
		return
	}
	decision := table.Admit(request.features, model.rank(request.entry), model.now)
	if !decision.Allowed() {
		if !request.bad {
			model.soundRefused++
		}
		return
	}
	request.engine, request.trial, request.arrivedAt = up[model.random.IntN(len(up))], decision.Trial, model.now
	if len(request.trial) > 0 {
		model.tell(request.entry, func(peer *Table) { peer.BeginTrial(request.trial, model.now) })
	}
	if request.bad {
		model.badArrivals = append(model.badArrivals, model.now)
	}
	model.inFlight = append(model.inFlight, request)
}

// crash ends an engine with all that is in flight there.
func (model *model) crash(engine int) {
	if model.upAt[engine] > model.now {
		return
	}
	incarnation := fmt.Sprintf("engine-%d-%d", engine, model.incarnations[engine])
	model.incarnations[engine]++
	model.upAt[engine] = model.now.Add(downTime)
	model.crashes++
	var broken []*modelRequest
	model.inFlight = slices.DeleteFunc(model.inFlight, func(request *modelRequest) bool {
		if request.engine == engine {
			broken = append(broken, request)
		}
		return request.engine == engine
	})
	for _, request := range broken {
		if struck := model.entries[request.entry].Crash(incarnation, request.features, model.now); len(struck) > 0 {
			model.tell(request.entry, func(peer *Table) { peer.Crash(incarnation, struck, model.now) })
		}
	}
	for _, request := range broken {
		model.conclude(request, incarnation)
		if !request.repeated && model.entries[request.entry].MayRepeat(request.features, model.now) {
			again := *request
			again.repeated, again.trial = true, nil
			model.send(&again)
		}
	}
}

// conclude concludes the trial of a request that broke off.
func (model *model) conclude(request *modelRequest, incarnation string) {
	if len(request.trial) == 0 {
		return
	}
	model.after(conclusionTime, func() {
		convicted, ambiguous := model.entries[request.entry].Convict(request.trial, incarnation, model.now)
		model.tell(request.entry, func(peer *Table) { peer.FailTrial(ambiguous, incarnation, model.now) })
		for _, quarantine := range convicted {
			model.partsQuarantined = append(model.partsQuarantined, quarantine.Feature)
			// Digests carry quarantines again and again, so that none is lost.
			for to, table := range model.entries {
				if to != request.entry {
					model.after(messageTime, func() { table.Quarantine(quarantine, model.now) })
				}
			}
		}
	})
}

// step advances the model by a tick.
func (model *model) step() {
	model.now = model.now.Add(modelTick)
	due := model.later
	model.later = nil
	for _, event := range due {
		if event.at > model.now {
			model.later = append(model.later, event)
			continue
		}
		event.do()
	}
	for _, request := range slices.Clone(model.inFlight) {
		if request.bad && model.now.Since(request.arrivedAt) >= crashTime && slices.Contains(model.inFlight, request) {
			model.badCrashes = append(model.badCrashes, model.now)
			model.crash(request.engine)
		}
	}
	model.inFlight = slices.DeleteFunc(model.inFlight, func(request *modelRequest) bool {
		if model.now.Since(request.arrivedAt) < answerTime {
			return false
		}
		if cleared, _ := model.entries[request.entry].Survive(request.features, model.now); len(cleared) > 0 {
			model.tell(request.entry, func(peer *Table) { peer.Survive(cleared, model.now) })
		}
		return true
	})
}

// arrivals returns how many requests arrive in a tick at a rate a second.
func (model *model) arrivals(rate float64) int {
	expected := rate * float64(modelTick) / float64(timekeeper.Second)
	count := int(expected)
	if model.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// lateArrivals returns how many bad requests reached engines later than contactSpan after the fifth
// crash.
func (model *model) lateArrivals() (late int) {
	if len(model.badCrashes) < fifth {
		return 0
	}
	for _, at := range model.badArrivals {
		if at > model.badCrashes[fifth-1].Add(contactSpan) {
			late++
		}
	}
	return late
}

// Parts of the model's prompts: a root that all share, subjects, and parts that crash engines.
const (
	modelRoot    = 1
	firstSubject = 100
	subjects     = 40
	firstBad     = 10_000
)

func (model *model) subject() uint64 { return firstSubject + model.random.Uint64N(subjects) }

// Guards against a part of prompts that crashes one engine after the other, at sizes that real
// processes don't reach.
func TestPartsThatCrashEngines(t *testing.T) {
	tests := []struct {
		name             string
		entries, engines int
		rate, loss       float64
		parts, burst     int
		soundRate        float64
		asRoot           bool
	}{
		{name: "one a second", entries: 4, engines: 9, rate: 1, parts: 1, soundRate: 60},
		{name: "six a second", entries: 4, engines: 9, rate: 6, parts: 1, soundRate: 60},
		{name: "forty a second", entries: 4, engines: 9, rate: 40, parts: 1, soundRate: 60},
		{name: "a burst", entries: 4, engines: 9, rate: 6, parts: 1, burst: 24, soundRate: 60},
		{name: "two engines, few other requests", entries: 4, engines: 2, rate: 6, parts: 1, soundRate: 6},
		{name: "as root", entries: 4, engines: 9, rate: 6, parts: 1, soundRate: 60, asRoot: true},
		{name: "three parts", entries: 4, engines: 12, rate: 6, parts: 3, soundRate: 60},
		{name: "a tenth of the messages lost", entries: 12, engines: 12, rate: 6, parts: 1, soundRate: 60, loss: 0.3},
		{name: "24 entries", entries: 24, engines: 24, rate: 6, parts: 1, soundRate: 120},
		{name: "103 entries, two a second", entries: 103, engines: 180, rate: 2, parts: 1, soundRate: 300},
		{name: "103 entries, forty a second", entries: 103, engines: 180, rate: 40, parts: 1, soundRate: 300},
		{name: "380 entries", entries: 380, engines: 600, rate: 6, parts: 1, soundRate: 400},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			for seed := range uint64(5) {
				model, burst := newModel(test.entries, test.engines, seed), test.burst
				for model.now < 1000+timekeeper.Instant(modelSpan) {
					model.step()
					for range model.arrivals(test.soundRate) {
						model.arrive([]uint64{modelRoot, model.subject()}, false)
					}
					if model.now < 1000+timekeeper.Instant(troubleAt) {
						continue
					}
					for part := range uint64(test.parts) {
						prompt := []uint64{modelRoot, model.subject(), firstBad + part}
						if test.asRoot {
							prompt = []uint64{firstBad + part, model.subject()}
						}
						for range model.arrivals(test.rate) + burst {
							model.arrive(prompt, true)
						}
					}
					burst = 0
				}
				t.Logf("%s, seed %d: %d engines ended, %d bad requests arrived, %d late; %d of %d sound ones refused; quarantined %v",
					test.name, seed, model.crashes, len(model.badArrivals), model.lateArrivals(), model.soundRefused, model.soundSent, model.partsQuarantined)
				So(model.lateArrivals(), ShouldBeLessThanOrEqualTo, allowedLate)
				So(slices.ContainsFunc(model.partsQuarantined, func(part Feature) bool { return part.ID < firstBad }), ShouldBeFalse)
			}
		})
	}
}

// Guards against a part that is kept from engines although they crash for another reason.
func TestEnginesThatCrashForOtherReasons(t *testing.T) {
	tests := []struct {
		name             string
		entries, engines int
		// crash crashes engines at a tick.
		crash func(model *model, tick int)
		// fresh is the share of the requests on a part that is new when the first engines crash.
		fresh float64
		// refused bounds the share of the requests that are refused.
		refused float64
	}{
		{name: "a rack", entries: 4, engines: 30, crash: crashTogether(5, 200), fresh: 0.35, refused: 0.05},
		{name: "all of a service, twice", entries: 4, engines: 9, crash: crashTogether(9, 400), fresh: 0.35, refused: 0.05},
		{name: "five one after the other", entries: 12, engines: 12, crash: crashInTurn(20), fresh: 0.35, refused: 0.05},
		{name: "one every tenth of a second for a second, 103 entries", entries: 103, engines: 180, crash: crashInTurn(10), fresh: 0.1, refused: 0.05},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			for seed := range uint64(5) {
				model := newModel(test.entries, test.engines, seed)
				for tick := range int(modelSpan / modelTick) {
					model.step()
					for range model.arrivals(100) {
						prompt := []uint64{modelRoot, model.subject()}
						if tick > freshTick && model.random.Float64() < test.fresh {
							prompt = append(prompt, firstBad)
						}
						model.arrive(prompt, false)
					}
					test.crash(model, tick)
				}
				t.Logf("%s, seed %d: %d engines ended; %d of %d sound ones refused; quarantined %v",
					test.name, seed, model.crashes, model.soundRefused, model.soundSent, model.partsQuarantined)
				So(model.partsQuarantined, ShouldBeEmpty)
				So(float64(model.soundRefused), ShouldBeLessThanOrEqualTo, test.refused*float64(model.soundSent))
			}
		})
	}
}

// freshTick is the tick after which requests come on a new part, a few before engines crash.
const (
	freshTick   = 195
	crashesFrom = 200
	crashCount  = 10
)

// crashTogether crashes a number of engines at once, at a tick and its multiples.
func crashTogether(count, every int) func(model *model, tick int) {
	return func(model *model, tick int) {
		if tick > 0 && tick%every == 0 {
			for engine := range count {
				model.crash(engine)
			}
		}
	}
}

// crashInTurn crashes ten engines with a number of ticks between two.
func crashInTurn(gap int) func(model *model, tick int) {
	return func(model *model, tick int) {
		if turn := (tick - crashesFrom) / gap; tick >= crashesFrom && (tick-crashesFrom)%gap == 0 && turn < crashCount {
			model.crash(turn % len(model.upAt))
		}
	}
}
