package imitator

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// EngineSettings configure a model engine. The zero value of a field means its default.
type EngineSettings struct {
	Name  string
	Clock timekeeper.Clock
	// Step is the duration of one batch step; zero means 4 ms.
	Step timekeeper.Span
	// BatchSize is the maximum number of running sequences; zero means 8.
	BatchSize int
	// PrefillPerStep is how many prompt tokens one step prefills; zero means 512.
	PrefillPerStep int
	// CacheTokens is the capacity of the prefix cache in tokens; zero means 65,536.
	CacheTokens int
	// CancelDelay is how long a sequence keeps running after its client has disconnected.
	CancelDelay timekeeper.Span
	// LoadLag is the age of the reported load; zero means one second.
	LoadLag timekeeper.Span
	// EventLag is the delay of cache events; zero means one second.
	EventLag timekeeper.Span
	// Poison is a text that crashes the engine when a prompt contains it; empty means none.
	Poison string
	// RestartTime is how long the engine is unavailable after a crash; zero means one second.
	RestartTime timekeeper.Span
	// ChecksOrders makes the engine refuse orders with a lower fencing number than the highest
	// it has received.
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

// EngineCounts are the counters of an engine since its creation.
type EngineCounts struct {
	Runs     int `json:"runs"`
	Finished int `json:"finished"`
	Canceled int `json:"canceled"`
	Crashes  int `json:"crashes"`
	Prompt   int `json:"prompt-tokens"`
	Cached   int `json:"cached-tokens"`
}

// Engine is a fake model engine with continuous batching and a prefix cache of limited
// size.
type Engine struct {
	settings EngineSettings

	mu        sync.Mutex
	batch     *batch
	active    map[string]*sequence
	resumable map[string]*sequence
	// resumableIDs has the keys of resumable, oldest first.
	resumableIDs    []string
	counts          EngineCounts
	crashed         chan struct{}
	downUntil       timekeeper.Instant
	reports         []loadReport
	orders          orderRecord
	events          []CacheEvent
	lastEventNumber uint64
	wake            chan struct{}
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
	engine.batch = &batch{maxRunning: engine.settings.BatchSize, prefillPerStep: engine.settings.PrefillPerStep, cache: cache}
	engine.active = map[string]*sequence{}
	engine.resumable, engine.resumableIDs = nil, nil
	engine.crashed = make(chan struct{})
}

// Counts returns the counters of the engine.
func (engine *Engine) Counts() EngineCounts {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.counts
}

// run executes a step every settings.Step while there are sequences.
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
	engine.collectEvents()
	engine.reports = append(engine.reports, loadReport{engine.settings.Clock.Now(), engine.batch.load()})
	const maxReports = 4096
	if len(engine.reports) > maxReports {
		engine.reports = engine.reports[len(engine.reports)-maxReports/2:]
	}
}

// Load returns the load as it was LoadLag ago.
func (engine *Engine) Load() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	visible := engine.settings.Clock.Now().Add(-engine.settings.LoadLag)
	load := 0
	for _, report := range engine.reports {
		if report.at > visible {
			break
		}
		load = report.load
	}
	return load
}

// Crash aborts every sequence and empties the cache.
func (engine *Engine) Crash() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.crash()
}

func (engine *Engine) crash() {
	engine.counts.Crashes++
	engine.downUntil = engine.settings.Clock.Now().Add(engine.settings.RestartTime)
	close(engine.crashed)
	engine.reset()
}

func (engine *Engine) restarting() bool {
	return engine.settings.Clock.Now().Before(engine.downUntil)
}

// start adds a sequence to the batch. It returns false when the engine is restarting
// or the prompt has crashed it.
func (engine *Engine) start(seq *sequence) (crashed <-chan struct{}, ok bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.restarting() {
		return nil, false
	}
	engine.counts.Runs++
	if engine.poisoned(seq) {
		engine.crash()
		return nil, false
	}
	engine.batch.add(seq)
	engine.active[seq.id] = seq
	engine.keepForResume(seq)
	select {
	case engine.wake <- struct{}{}:
	default:
	}
	return engine.crashed, true
}

func (engine *Engine) poisoned(seq *sequence) bool {
	return engine.settings.Poison != "" && strings.Contains(strings.Join(seq.prompt, " "), engine.settings.Poison)
}

func (engine *Engine) finish(seq *sequence, finished bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.active, seq.id)
	if !finished {
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
	engine.addControlRoutes(mux)
	return mux
}
