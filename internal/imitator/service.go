package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Ledger counts the requests executed by the replicas of a plain service. All replicas
// share it, so that a test can detect a request that ran twice on any of them.
type Ledger struct {
	mu    sync.Mutex
	total int
	byKey map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byKey: map[string]int{}}
}

// Runs returns how often requests with the idempotency key ran.
func (ledger *Ledger) Runs(key string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.byKey[key]
}

// Total returns the number of requests that ran.
func (ledger *Ledger) Total() int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.total
}

func (ledger *Ledger) record(key string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.total++
	if key != "" {
		ledger.byKey[key]++
	}
	return ledger.total
}

// ServiceSettings configure one replica of a plain service.
type ServiceSettings struct {
	Name   string
	Ledger *Ledger
	// Work is the duration of a call.
	Work  timekeeper.Span
	Clock timekeeper.Clock
}

// ServiceAnswer is the JSON answer of a plain service.
type ServiceAnswer struct {
	Run     int    `json:"run"`
	Replica string `json:"replica"`
	Method  string `json:"method"`
	Echo    string `json:"echo,omitempty"`
}

// NewService returns one replica of a plain service. It counts a run before the work
// begins, like a service that commits first and answers later.
func NewService(settings ServiceSettings) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, "body cut", http.StatusBadRequest)
			return
		}
		run := settings.Ledger.record(r.Header.Get("Idempotency-Key"))
		if settings.Work > 0 {
			_ = settings.Clock.Sleep(r.Context(), settings.Work)
		}
		answer := ServiceAnswer{Run: run, Replica: settings.Name, Method: r.Method, Echo: string(body)}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}
