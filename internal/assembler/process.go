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

// Environment is what a process gets from outside.
type Environment struct {
	Clock    timekeeper.Clock
	Log      logrus.FieldLogger
	Platform storekeeper.Platform
}

const (
	// headerTimeout bounds the arrival of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a caller's connection that is not used.
	idleTimeout = 2 * time.Minute
	// headerLimit bounds the headers of a request in bytes.
	headerLimit = 32 << 10
	// startTimeout bounds the wait for a first configuration.
	startTimeout = 30 * time.Second
)

// newIncarnation returns a number that sets a process apart from all others.
// Its high bits are the start time in milliseconds, so that of two lives of
// one name the later has the higher number; the low bits are random.
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

// addServer adds an HTTP server. Its stop waits for calls in flight up to longest.
func addServer(group *run.Group, listener net.Listener, handler http.Handler, longest time.Duration) {
	// A server whose readiness nobody asks for stops without delay.
	new(readiness).addFront(group, listener, handler, timekeeper.SinceBoot(), 0, timekeeper.Span(longest/time.Millisecond))
}

// newServer returns a server with the limits that all share.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
}
