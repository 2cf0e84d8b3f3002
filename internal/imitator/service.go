package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Ledger counts what the replicas of a plain service ran. It is shared by all
// replicas, so that a test can see a request that ran twice anywhere.
type Ledger struct {
	mu     sync.Mutex
	serial int
	byKey  map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byKey: map[string]int{}}
}

// Runs returns how often a request with the key ran.
func (ledger *Ledger) Runs(key string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.byKey[key]
}

// Total returns how many requests ran.
func (ledger *Ledger) Total() int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.serial
}

func (ledger *Ledger) enter(key string) int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.serial++
	if key != "" {
		ledger.byKey[key]++
	}
	return ledger.serial
}

// ServiceSettings set up one replica of a plain service.
type ServiceSettings struct {
	Name   string
	Ledger *Ledger
	// Work is how long a call takes.
	Work  timekeeper.Span
	Clock timekeeper.Clock
}

// ServiceAnswer is what a plain service answers.
type ServiceAnswer struct {
	Run     int    `json:"run"`
	Replica string `json:"replica"`
	Method  string `json:"method"`
	Echo    string `json:"echo,omitempty"`
}

// NewService returns one replica of a plain service. It counts a run before it
// does the work, as a service that commits first and answers later does.
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
		run := settings.Ledger.enter(r.Header.Get("Idempotency-Key"))
		if settings.Work > 0 {
			_ = settings.Clock.Sleep(r.Context(), settings.Work)
		}
		answer := ServiceAnswer{Run: run, Replica: settings.Name, Method: r.Method, Echo: string(body)}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}
