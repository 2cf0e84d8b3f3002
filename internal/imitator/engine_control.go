package imitator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// CacheEvent reports that a block entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
	at       timekeeper.Instant
}

// Order instructs an engine to load or unload Subject, or to take Subject as its new
// role or version.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// OrderState is the state of an engine that results from its orders.
type OrderState struct {
	Fence   uint64   `json:"fence"`
	Loaded  []string `json:"loaded"`
	Role    string   `json:"role"`
	Version string   `json:"version"`
	Orders  []Order  `json:"orders"`
}

// PrefixBlocks are blocks of a prefix cache that one engine exports and another imports.
type PrefixBlocks struct {
	Chat   string   `json:"chat,omitempty"`
	Blocks []uint64 `json:"blocks"`
}

type orderRecord struct {
	fence         uint64
	loaded        []string
	role, version string
	log           []Order
}

// lostPerThousand is how many of each thousand cache events are lost.
const lostPerThousand = 20

// collectEvents turns evictions into events and drops some of them, as real engines do.
func (engine *Engine) collectEvents() {
	for _, block := range engine.batch.cache.evicted {
		engine.lastEventNumber++
		if engine.lastEventNumber%1000 < lostPerThousand {
			continue
		}
		engine.events = append(engine.events, CacheEvent{
			Sequence: engine.lastEventNumber, Block: block, Evicted: true, at: engine.settings.Clock.Now(),
		})
	}
	engine.batch.cache.evicted = nil
}

func (engine *Engine) addControlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { engine.health(w) })
	mux.HandleFunc("GET /load", handler.Show(engine.Load))
	mux.HandleFunc("GET /counts", handler.Show(engine.Counts))
	mux.HandleFunc("GET /cache/events", handler.Show(engine.takeEvents))
	mux.HandleFunc("POST /cache/export", handler.JSON(engine.exportPrefix))
	mux.HandleFunc("POST /cache/import", handler.JSON(engine.importPrefix))
	mux.HandleFunc("POST /orders", handler.JSON(engine.order))
	mux.HandleFunc("GET /orders", handler.Show(engine.Orders))
}

func (engine *Engine) health(w http.ResponseWriter) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.restarting() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

func (engine *Engine) takeEvents() []CacheEvent {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	visible := engine.settings.Clock.Now().Add(-engine.settings.EventLag)
	due := 0
	for due < len(engine.events) && engine.events[due].at <= visible {
		due++
	}
	events := engine.events[:due]
	engine.events = engine.events[due:]
	return events
}

type exportRequest struct {
	chatRequest

	// Chat is the name of a chat; it replaces the messages.
	Chat string `json:"chat"`
	// Release marks the blocks as the next to be evicted.
	Release bool `json:"release"`
}

// exportPrefix returns the cached blocks of a prompt, given by its messages, or of a
// chat, given by its name.
func (engine *Engine) exportPrefix(_ *http.Request, request exportRequest) (PrefixBlocks, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if request.Chat != "" {
		return engine.exportChat(request)
	}
	blocks := blockHashes(tokensOf(request.Messages))
	return PrefixBlocks{Blocks: blocks[:engine.batch.cache.match(blocks)]}, nil
}

func (engine *Engine) importPrefix(_ *http.Request, blocks PrefixBlocks) (PrefixBlocks, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.batch.cache.add(blocks.Blocks)
	engine.batch.cache.setChat(blocks.Chat, blocks.Blocks)
	return PrefixBlocks{}, nil
}

// exportChat returns the cached blocks of a chat; the lock must be held.
func (engine *Engine) exportChat(request exportRequest) (PrefixBlocks, error) {
	cache := engine.batch.cache
	blocks := cache.chats[request.Chat]
	blocks = blocks[:cache.match(blocks)]
	if len(blocks) == 0 {
		return PrefixBlocks{}, classifier.New(classifier.NotFound, "no prefix of the chat is cached")
	}
	if request.Release {
		cache.release(blocks)
	}
	return PrefixBlocks{Chat: request.Chat, Blocks: blocks}, nil
}

func (engine *Engine) order(_ *http.Request, order Order) (OrderState, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.settings.ChecksOrders && order.Fence < engine.orders.fence {
		return OrderState{}, classifier.New(classifier.Fenced, "an order with a higher number came before")
	}
	engine.orders.fence = max(engine.orders.fence, order.Fence)
	engine.orders.log = append(engine.orders.log, order)
	switch order.Action {
	case "load":
		if !slices.Contains(engine.orders.loaded, order.Subject) {
			engine.orders.loaded = append(engine.orders.loaded, order.Subject)
		}
	case "unload":
		engine.orders.loaded = slices.DeleteFunc(engine.orders.loaded, func(name string) bool { return name == order.Subject })
	case "change-role":
		engine.orders.role = order.Subject
	case "version":
		engine.orders.version = order.Subject
	default:
		return OrderState{}, classifier.New(classifier.BadRequest, "unknown action "+strings.ToValidUTF8(order.Action, "?"))
	}
	return engine.orders.state(), nil
}

// Orders returns the engine's state and all orders that weren't refused for their fencing
// number.
func (engine *Engine) Orders() OrderState {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.orders.state()
}

func (record orderRecord) state() OrderState {
	return OrderState{
		Fence: record.fence, Loaded: slices.Clone(record.loaded), Role: record.role, Version: record.version,
		Orders: slices.Clone(record.log),
	}
}
