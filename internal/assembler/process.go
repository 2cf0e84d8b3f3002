package assembler

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Environment holds the external dependencies of a process.
type Environment struct {
	Clock    timekeeper.Clock
	Log      logrus.FieldLogger
	Platform storekeeper.Platform
}

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle between two requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
	// startTimeout bounds the wait for the first configuration.
	startTimeout = 30 * time.Second
)

// newIncarnation returns a number that is unique to a start of a process. Its high bits
// are the start time in milliseconds, so that a restart under the same name gets a higher
// number; the low bits are random.
func newIncarnation() uint64 {
	const randomBits = 22
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return uint64(timekeeper.Wall().Now())<<randomBits | binary.BigEndian.Uint64(bytes[:])>>(64-randomBits)
}

func listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, eris.Wrap(err, "listen")
}

// addLoop adds an actor that runs until its context ends.
func addLoop(group *run.Group, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		loop(ctx)
		return nil
	}, func(error) { cancel() })
}

// addServer adds an HTTP server. When it stops, it waits for calls in flight, at most
// for drainTimeout.
func addServer(group *run.Group, listener net.Listener, handler http.Handler, drainTimeout time.Duration) {
	server := newServer(handler)
	stopped := make(chan error, 1)
	group.Add(func() error {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return <-stopped
	}, func(error) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			stopped <- server.Shutdown(ctx)
		}()
	})
}

// newServer returns a server with the limits that all servers here share.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           resetAborted(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
	}
}
