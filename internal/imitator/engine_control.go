package imitator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// CacheEvent says that a block entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
	at       timekeeper.Instant
}

// Order tells an engine to load something or to change its role.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// OrderState is what an engine has been ordered to be.
type OrderState struct {
	Fence   uint64   `json:"fence"`
	Loaded  []string `json:"loaded"`
	Role    string   `json:"role"`
	Version string   `json:"version"`
	Orders  []Order  `json:"orders"`
}

// PrefixBlocks is an exported part of a prefix cache.
type PrefixBlocks struct {
	Chat   string   `json:"chat,omitempty"`
	Blocks []uint64 `json:"blocks"`
}

type orderBook struct {
	fence         uint64
	loaded        []string
	role, version string
	log           []Order
}

// eventGap is how many cache events are lost out of each thousand.
const eventGap = 20

// noteEvents collects evictions as events and loses some, as real engines do.
func (engine *Engine) noteEvents() {
	for _, block := range engine.batch.cache.evicted {
		engine.eventNo++
		if engine.eventNo%1000 < eventGap {
			continue
		}
		engine.events = append(engine.events, CacheEvent{
			Sequence: engine.eventNo, Block: block, Evicted: true, at: engine.settings.Clock.Now(),
		})
	}
	engine.batch.cache.evicted = nil
}

func (engine *Engine) addControl(mux *http.ServeMux) {
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
	if engine.away() {
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

type prefixOrder struct {
	chatRequest

	// Chat names the chat in place of its messages.
	Chat string `json:"chat"`
	// Release makes the blocks the next to be evicted.
	Release bool `json:"release"`
}

// exportPrefix returns the cached blocks of a prompt, given by its messages, or
// of a chat, given by its name.
func (engine *Engine) exportPrefix(_ *http.Request, request prefixOrder) (PrefixBlocks, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if request.Chat != "" {
		return engine.exportChat(request)
	}
	blocks := chain(tokensOf(request.Messages))
	return PrefixBlocks{Blocks: blocks[:engine.batch.cache.match(blocks)]}, nil
}

func (engine *Engine) importPrefix(_ *http.Request, blocks PrefixBlocks) (PrefixBlocks, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.batch.cache.add(blocks.Blocks)
	engine.batch.cache.name(blocks.Chat, blocks.Blocks)
	return PrefixBlocks{}, nil
}

// exportChat returns the cached blocks of a chat; the lock must be held.
func (engine *Engine) exportChat(request prefixOrder) (PrefixBlocks, error) {
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

// Orders returns the orders that the engine carried out since it started.
func (engine *Engine) Orders() OrderState {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.orders.state()
}

func (book orderBook) state() OrderState {
	return OrderState{
		Fence: book.fence, Loaded: slices.Clone(book.loaded), Role: book.role, Version: book.version,
		Orders: slices.Clone(book.log),
	}
}
