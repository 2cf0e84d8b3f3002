package assembler

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
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

// addFrontend adds the server for callers. It stops in three steps: it reports not
// ready, closes its listener after the delay, then waits for all calls to end.
//
// The delay is there because a load balancer checks readiness only every few seconds: if
// the listener closed at once, callers sent meanwhile would be rejected by a planned stop.
// With a delay longer than the check interval, the load balancer sends them elsewhere first.
func (ready *readiness) addFrontend(
	group *run.Group, listener net.Listener, handler http.Handler, clock timekeeper.Clock, delay, drainTimeout timekeeper.Span,
) {
	server := newServer(handler)
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		ready.stopping.Store(true)
		go func() {
			_ = clock.Sleep(context.Background(), delay)
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
			defer cancel()
			stopped <- server.Shutdown(ctx)
		}()
	})
}
