package simulator

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
)

// EngineSettings are the capacity and speed of a model engine.
type EngineSettings struct {
	// Slots is how many requests run concurrently.
	Slots int
	// Memory is how many tokens running requests and cached parts can hold together.
	Memory int
	// Step is the duration of an empty step in milliseconds, StepPerRequest what each
	// running request adds.
	Step, StepPerRequest float64
	// PrefillRate is how many prompt tokens are prefilled in a millisecond, Chunk the
	// maximum in one step.
	PrefillRate float64
	Chunk       int
	// TokenBytes is the cache memory of one token, LinkRate how many bytes an engine's
	// link transfers in a millisecond; zero disables transfers between engines.
	TokenBytes, LinkRate float64
}

// job is one request at an engine.
type job struct {
	parts    []balancer.Part
	output   int
	priority int
	number   int
	// pending is the number of prompt tokens that are not prefilled yet.
	pending   int
	generated int
	// firstToken and done are called at the first token and at the end.
	firstToken, done func(now float64)
	abandoned        bool
}

// engine is one model engine in virtual time.
type engine struct {
	id       string
	settings EngineSettings
	waiting  []*job
	running  []*job
	cached   map[uint64]*cachedPart
	// used is the number of tokens in memory.
	used int
	// stepEnd is when the current step ends; it has no meaning while the engine is idle.
	stepEnd float64
	busy    bool
	// prefilled counts the shared tokens that were prefilled, fetched those that were
	// transferred from another engine.
	prefilled, fetched int
	// linkFreeAt is when the link has finished all transfers requested so far.
	linkFreeAt float64
	// transfersFail means that other engines can't fetch from this one.
	transfersFail bool
}

type cachedPart struct {
	tokens   int
	lastUsed float64
}

func newEngine(id string, settings EngineSettings) *engine {
	return &engine{id: id, settings: settings, cached: map[uint64]*cachedPart{}}
}

// inFlight returns the number of waiting and running requests.
func (engine *engine) inFlight() int { return len(engine.waiting) + len(engine.running) }

// enqueue inserts a job by priority, then by number, and starts a step if the engine is idle.
func (engine *engine) enqueue(added *job, now float64) {
	at, _ := slices.BinarySearchFunc(engine.waiting, added, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
	})
	engine.waiting = slices.Insert(engine.waiting, at, added)
	if !engine.busy {
		engine.startStep(now)
	}
}

// startStep admits waiting requests to the batch and prefills one chunk.
func (engine *engine) startStep(now float64) {
	engine.removeAbandoned()
	for len(engine.running) < engine.settings.Slots && len(engine.waiting) > 0 {
		job := engine.waiting[0]
		if !engine.reserve(job, now) && len(engine.running) > 0 {
			break
		}
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, job)
	}
	if len(engine.running) == 0 {
		engine.busy = false
		return
	}
	budget := engine.settings.Chunk
	for _, job := range engine.running {
		chunk := min(budget, job.pending)
		job.pending -= chunk
		budget -= chunk
	}
	duration := engine.settings.Step + engine.settings.StepPerRequest*float64(len(engine.running))
	duration += float64(engine.settings.Chunk-budget) / engine.settings.PrefillRate
	engine.busy, engine.stepEnd = true, now+duration
}

// reserve reserves memory for a request, evicts the least recently used parts, and computes
// the request's pending tokens. It returns false if the memory still does not suffice; the
// reservation stays.
func (engine *engine) reserve(job *job, now float64) bool {
	pending, prefixCached := 0, true
	last := len(job.parts) - 1
	for i, part := range job.parts {
		hit, found := engine.cached[part.ID]
		if !found {
			prefixCached = false
		}
		if !prefixCached {
			pending += part.Tokens
			if i < last {
				engine.prefilled += part.Tokens
			}
		}
		if found {
			hit.lastUsed = now
			continue
		}
		engine.cached[part.ID] = &cachedPart{tokens: part.Tokens, lastUsed: now}
		engine.used += part.Tokens
	}
	job.pending = pending
	engine.used += job.output
	for engine.used > engine.settings.Memory && engine.evict(now) {
		continue
	}
	return engine.used <= engine.settings.Memory
}

// evict removes the least recently used part. It returns false if there is none but those
// in use now, by the request being admitted or by a transfer.
func (engine *engine) evict(now float64) bool {
	var oldest uint64
	var part *cachedPart
	for id, candidate := range engine.cached {
		if candidate.lastUsed < now && (part == nil || candidate.lastUsed < part.lastUsed) {
			oldest, part = id, candidate
		}
	}
	if part == nil {
		return false
	}
	engine.used -= part.tokens
	delete(engine.cached, oldest)
	return true
}

// removeAbandoned removes requests whose callers have left.
func (engine *engine) removeAbandoned() {
	engine.waiting = slices.DeleteFunc(engine.waiting, func(job *job) bool { return job.abandoned })
	engine.running = slices.DeleteFunc(engine.running, func(job *job) bool {
		if job.abandoned {
			engine.used -= job.output
		}
		return job.abandoned
	})
}

// endStep generates a token for each request whose prompt is prefilled, and starts the
// next step.
func (engine *engine) endStep(now float64) {
	var ended []*job
	for _, job := range engine.running {
		if job.pending > 0 || job.abandoned {
			continue
		}
		job.generated++
		if job.generated == 1 {
			job.firstToken(now)
		}
		if job.generated >= job.output {
			ended = append(ended, job)
		}
	}
	engine.running = slices.DeleteFunc(engine.running, func(job *job) bool { return job.generated >= job.output })
	for _, job := range ended {
		engine.used -= job.output
		job.done(now)
	}
	engine.startStep(now)
}
