package imitator

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// EngineSettings set up a model engine. The zero value of a field means its default.
type EngineSettings struct {
	Name  string
	Clock timekeeper.Clock
	// Step is the length of one batch step; zero means 4 ms.
	Step timekeeper.Span
	// BatchSize is how many sequences run at once; zero means 8.
	BatchSize int
	// PrefillPerStep is how many prompt tokens one step reads; zero means 512.
	PrefillPerStep int
	// CacheTokens is the memory of the prefix cache; zero means 65,536.
	CacheTokens int
	// CancelDelay is how long after the client left the sequence still runs.
	CancelDelay timekeeper.Span
	// LoadLag is how old the reported load is; zero means one second.
	LoadLag timekeeper.Span
	// EventLag is how late a cache event is told; zero means one second.
	EventLag timekeeper.Span
	// Poison is a word that crashes the engine when a prompt holds it.
	Poison string
	// RestartTime is how long the engine is away after a crash; zero means one second.
	RestartTime timekeeper.Span
	// ChecksOrders says that the engine refuses an order with an old fencing number.
	ChecksOrders bool
}

func (settings EngineSettings) withDefaults() EngineSettings {
	setDefault(&settings.Step, 4*timekeeper.Millisecond)
	setDefault(&settings.BatchSize, 8)
	setDefault(&settings.PrefillPerStep, 512)
	setDefault(&settings.CacheTokens, 65536)
	setDefault(&settings.LoadLag, timekeeper.Second)
	setDefault(&settings.EventLag, timekeeper.Second)
	setDefault(&settings.RestartTime, timekeeper.Second)
	return settings
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineCounts is what an engine has done since it was made.
type EngineCounts struct {
	Runs     int `json:"runs"`
	Finished int `json:"finished"`
	Canceled int `json:"canceled"`
	Crashes  int `json:"crashes"`
	Prompt   int `json:"prompt-tokens"`
	Cached   int `json:"cached-tokens"`
}

// Engine imitates a model engine that batches continuously and caches prompt
// prefixes in limited memory.
type Engine struct {
	settings EngineSettings

	mu    sync.Mutex
	batch *batch
	live  map[string]*sequence
	kept  map[string]*sequence
	// keptOrder has the ids of kept, oldest first.
	keptOrder []string
	counts    EngineCounts
	crashed   chan struct{}
	awayTo    timekeeper.Instant
	reports   []loadReport
	orders    orderBook
	events    []CacheEvent
	eventNo   uint64
	wake      chan struct{}
}

type loadReport struct {
	at   timekeeper.Instant
	load int
}

// NewEngine returns a running engine and a function that stops it.
func NewEngine(settings EngineSettings) (*Engine, func()) {
	engine := &Engine{settings: settings.withDefaults(), wake: make(chan struct{}, 1)}
	engine.reset()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		engine.run(ctx)
	}()
	return engine, func() { cancel(); <-done }
}

func (engine *Engine) reset() {
	cache := newPrefixCache(engine.settings.CacheTokens)
	engine.batch = &batch{most: engine.settings.BatchSize, prefill: engine.settings.PrefillPerStep, cache: cache}
	engine.live = map[string]*sequence{}
	engine.kept, engine.keptOrder = nil, nil
	engine.crashed = make(chan struct{})
}

// Counts returns what the engine has done.
func (engine *Engine) Counts() EngineCounts {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.counts
}

// run makes a step after each span of settings.Step while there is work.
func (engine *Engine) run(ctx context.Context) {
	for {
		if engine.idle() {
			select {
			case <-engine.wake:
			case <-ctx.Done():
				return
			}
		}
		if engine.settings.Clock.Sleep(ctx, engine.settings.Step) != nil {
			return
		}
		engine.step()
	}
}

func (engine *Engine) idle() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.batch.waiting)+len(engine.batch.running) == 0
}

func (engine *Engine) step() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.batch.step()
	engine.noteEvents()
	engine.reports = append(engine.reports, loadReport{engine.settings.Clock.Now(), engine.batch.load()})
	const keep = 4096
	if len(engine.reports) > keep {
		engine.reports = engine.reports[len(engine.reports)-keep/2:]
	}
}

// Load returns the load as it was one lag ago.
func (engine *Engine) Load() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	seen := engine.settings.Clock.Now().Add(-engine.settings.LoadLag)
	load := 0
	for _, report := range engine.reports {
		if report.at > seen {
			break
		}
		load = report.load
	}
	return load
}

// Crash ends every sequence without an answer and empties the cache.
func (engine *Engine) Crash() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.crash()
}

func (engine *Engine) crash() {
	engine.counts.Crashes++
	engine.awayTo = engine.settings.Clock.Now().Add(engine.settings.RestartTime)
	close(engine.crashed)
	engine.reset()
}

func (engine *Engine) away() bool {
	return engine.settings.Clock.Now().Before(engine.awayTo)
}

// start puts a sequence into the batch. It returns false when the engine is
// away or the prompt has crashed it.
func (engine *Engine) start(seq *sequence) (crashed <-chan struct{}, ok bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.away() {
		return nil, false
	}
	engine.counts.Runs++
	if engine.poisoned(seq) {
		engine.crash()
		return nil, false
	}
	engine.batch.add(seq)
	engine.live[seq.id] = seq
	engine.keep(seq)
	select {
	case engine.wake <- struct{}{}:
	default:
	}
	return engine.crashed, true
}

func (engine *Engine) poisoned(seq *sequence) bool {
	return engine.settings.Poison != "" && strings.Contains(strings.Join(seq.prompt, " "), engine.settings.Poison)
}

func (engine *Engine) finish(seq *sequence, whole bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.live, seq.id)
	if !whole {
		seq.canceled = true
		engine.counts.Canceled++
		return
	}
	engine.counts.Finished++
	engine.counts.Prompt += len(seq.prompt)
	engine.counts.Cached += seq.cached
}

// Handler serves the engine over HTTP.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", engine.complete)
	mux.HandleFunc("GET /v1/streams/{id}", engine.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", engine.cancel)
	engine.addControl(mux)
	return mux
}
