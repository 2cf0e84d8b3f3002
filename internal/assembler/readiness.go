package assembler

import (
	"net/http"
	"sync/atomic"
)

// readiness serves the health check of the platform's load balancer.
type readiness struct {
	stopping atomic.Bool
}

// ServeHTTP answers 200 while the process takes callers, and 503 once it is stopping.
func (ready *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if ready.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
