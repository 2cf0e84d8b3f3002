package simulator

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
)

// EngineSettings are the figures of a model engine.
type EngineSettings struct {
	// Slots is how many requests run at once.
	Slots int
	// Memory is how many tokens running requests and cached parts hold together.
	Memory int
	// Step is the time of a step without requests, in milliseconds, and StepPerRequest
	// what each running request adds.
	Step, StepPerRequest float64
	// PrefillRate is how many prompt tokens are read in a millisecond, Chunk how
	// many at most in one step.
	PrefillRate float64
	Chunk    int
	// TokenBytes is the memory of one token, LinkRate how many bytes the link of an
	// engine carries in a millisecond; zero means that engines hand on nothing.
	TokenBytes, LinkRate float64
}

// job is one request at an engine.
type job struct {
	parts    []balancer.Part
	output   int
	priority int
	number   int
	// unread are the prompt tokens that are still to be read.
	unread int
	made   int
	// first and done are called at the first token and at the end.
	first, done func(now float64)
	gone        bool
}

// engine is one model engine in virtual time.
type engine struct {
	id       string
	settings EngineSettings
	waiting  []*job
	running  []*job
	cached   map[uint64]*cachedPart
	used     int
	// next is when the current step ends; idle engines have none.
	next float64
	busy bool
	// read counts the shared tokens that were read, fetched those that came from
	// another engine.
	read, fetched int
	// linkFree is when the link has carried all that was asked of it.
	linkFree float64
	// down engines hand on nothing.
	down bool
}

type cachedPart struct {
	tokens int
	used   float64
}

func newEngine(id string, settings EngineSettings) *engine {
	return &engine{id: id, settings: settings, cached: map[uint64]*cachedPart{}}
}

// held returns how many requests the engine has.
func (engine *engine) held() int { return len(engine.waiting) + len(engine.running) }

// add takes a request at an instant.
func (engine *engine) add(fresh *job, now float64) {
	at, _ := slices.BinarySearchFunc(engine.waiting, fresh, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
	})
	engine.waiting = slices.Insert(engine.waiting, at, fresh)
	if !engine.busy {
		engine.begin(now)
	}
}

// begin starts a step: requests join, one chunk is read.
func (engine *engine) begin(now float64) {
	engine.drop()
	for len(engine.running) < engine.settings.Slots && len(engine.waiting) > 0 {
		job := engine.waiting[0]
		if !engine.fits(job, now) && len(engine.running) > 0 {
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
		part := min(budget, job.unread)
		job.unread -= part
		budget -= part
	}
	span := engine.settings.Step + engine.settings.StepPerRequest*float64(len(engine.running))
	span += float64(engine.settings.Chunk-budget) / engine.settings.PrefillRate
	engine.busy, engine.next = true, now+span
}

// fits makes room for a request and finds out what it has to read.
func (engine *engine) fits(job *job, now float64) bool {
	unread, whole := 0, true
	last := len(job.parts) - 1
	for i, part := range job.parts {
		known, found := engine.cached[part.ID]
		if !found {
			whole = false
		}
		if !whole {
			unread += part.Tokens
			if i < last {
				engine.read += part.Tokens
			}
		}
		if found {
			known.used = now
			continue
		}
		engine.cached[part.ID] = &cachedPart{tokens: part.Tokens, used: now}
		engine.used += part.Tokens
	}
	job.unread = unread
	engine.used += job.output
	for engine.used > engine.settings.Memory && engine.evict(now) {
		continue
	}
	return engine.used <= engine.settings.Memory
}

// evict drops the part that was used longest ago, unless it is in use now.
func (engine *engine) evict(now float64) bool {
	var oldest uint64
	var part *cachedPart
	for id, known := range engine.cached {
		if known.used < now && (part == nil || known.used < part.used) {
			oldest, part = id, known
		}
	}
	if part == nil {
		return false
	}
	engine.used -= part.tokens
	delete(engine.cached, oldest)
	return true
}

// drop takes out requests whose callers have left.
func (engine *engine) drop() {
	engine.waiting = slices.DeleteFunc(engine.waiting, func(job *job) bool { return job.gone })
	engine.running = slices.DeleteFunc(engine.running, func(job *job) bool {
		if job.gone {
			engine.used -= job.output
		}
		return job.gone
	})
}

// end ends the step: each request whose prompt is read makes a token.
func (engine *engine) end(now float64) {
	var ended []*job
	for _, job := range engine.running {
		if job.unread > 0 || job.gone {
			continue
		}
		job.made++
		if job.made == 1 {
			job.first(now)
		}
		if job.made >= job.output {
			ended = append(ended, job)
		}
	}
	engine.running = slices.DeleteFunc(engine.running, func(job *job) bool { return job.made >= job.output })
	for _, job := range ended {
		engine.used -= job.output
		job.done(now)
	}
	engine.begin(now)
}
