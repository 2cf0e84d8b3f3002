package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// stopPollInterval is how often a stopping entry checks whether its last call ended.
	stopPollInterval = 30 * timekeeper.Millisecond
	// maxFirstRequestWait is how long a stopping entry that accepts no more connections waits for the first
	// request on one.
	maxFirstRequestWait = timekeeper.Second
)

// callerServer is a server for callers. Its connections must be those of a callerListener and be tracked, and
// its answers must close them once the entry is stopping.
type callerServer struct {
	*http.Server
	// listener is the listener without what wraps it.
	listener net.Listener
	tracker  *connTracker
	clock    timekeeper.Clock
	// served is closed once Serve has returned. All accepted connections are tracked by then.
	served chan struct{}
}

// Serve serves connections until the listener is closed, and then returns http.ErrServerClosed. It must be
// called once.
func (server callerServer) Serve(listener net.Listener) error {
	defer close(server.served)
	err := server.Server.Serve(listener)
	if eris.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// closeConnections closes the listener and each connection on which no request is served or arriving, until
// all are closed or ctx ends. It reports whether all are. The server isn't told: http.Server.Shutdown would
// close a connection without an answer whose request is read after its call.
func (server callerServer) closeConnections(ctx context.Context) (whole bool) {
	_ = server.listener.Close()
	select {
	case <-server.served:
	case <-ctx.Done():
	}
	unusedUntil := server.clock.Now().Add(maxFirstRequestWait)
	for {
		server.tracker.closeIdle(server.clock.Now() >= unusedUntil)
		if server.tracker.count() == 0 {
			return true
		}
		if server.clock.Sleep(ctx, stopPollInterval) != nil {
			return false
		}
	}
}
