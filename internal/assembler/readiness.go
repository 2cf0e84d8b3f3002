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

// readiness tells the platform's balancer whether to send callers here.
type readiness struct {
	leaving atomic.Bool
}

// ServeHTTP answers 200 while callers are welcome and 503 once a stop was asked for.
func (ready *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if ready.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// addFront adds the server that callers reach. Its stop goes in three steps:
// not ready, then after the delay no new connections, then the end of all calls.
//
// The failure: a balancer looks every few seconds, and an entry that stops
// closes its door at once. The symptom: callers in between are turned away by a
// planned stop. With a delay longer than the balancer's round it has sent them
// elsewhere before the door closes.
func (ready *readiness) addFront(
	group *run.Group, listener net.Listener, handler http.Handler, clock timekeeper.Clock, delay, longest timekeeper.Span,
) {
	server := newServer(handler)
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		ready.leaving.Store(true)
		go func() {
			_ = clock.Sleep(context.Background(), delay)
			ctx, cancel := context.WithTimeout(context.Background(), longest.Duration())
			defer cancel()
			stopped <- server.Shutdown(ctx)
		}()
	})
}
