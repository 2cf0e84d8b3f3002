package assembler

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/relayer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// exitMargin is how long before the end of the stop grace period, at which the platform
	// kills the process, a stopping entry exits.
	exitMargin = 300 * timekeeper.Millisecond
	// closeMargin is how long before its exit a stopping entry closes its listener, to
	// answer what has arrived: on a machine with an eighth of a core, requests stay unread
	// for half a second.
	closeMargin = timekeeper.Second
	// answerMargin is how long before its exit a stopping entry ends the requests in flight, so that
	// their callers get an answer.
	answerMargin = 300 * timekeeper.Millisecond
)

// beginStop makes the entry not ready, and returns the instant at which it exits at the latest: shortly
// before the process would be killed.
func (direct *Direct) beginStop() (exitAt timekeeper.Instant) {
	exitAt = direct.clock.Now().Add(direct.settings.StopGrace - exitMargin)
	// Answers must close their connections before the entry reports not ready, so this comes first.
	direct.frontend.Stop(exitAt.Add(-answerMargin))
	direct.readiness.stopping.Store(true)
	direct.peers.gossiper.AnnounceStop()
	direct.log.WithField("active", direct.frontend.Active()).Info("entry stops: not ready, callers are asked to leave")
	return exitAt
}

// shutDown ends the server once no request is in flight, at the latest at exitAt.
//
// The platform's load balancer checks readiness once a second and stops sending callers
// after two failed checks; if all entries stop at once, it goes on sending them. So the
// listener stays open after the delay for as long as requests are in flight: requests
// that fit into the remaining time are served, others are refused with Retry-After. Those that must
// run at most once and don't fit are refused during the delay too: they could not be sent again.
//
// The listener and idle connections are closed while there is time to answer all
// requests that have arrived. Otherwise, if a stream lasts until the entry's exit, a
// request that arrives just before it stays unread, and its caller gets neither an
// answer nor a refusal.
func (direct *Direct) shutDown(server callerServer, exitAt timekeeper.Instant) error {
	closeAt := exitAt.Add(-closeMargin)
	ctx, cancel := context.WithTimeout(context.Background(), exitAt.Since(direct.clock.Now()).Duration())
	defer cancel()
	go direct.endRequestsAt(ctx, exitAt.Add(-answerMargin))
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		direct.peers.unregister(ctx)
	}()
	_ = direct.clock.Sleep(ctx, direct.settings.StopDelay)
	direct.frontend.Drain()
	for direct.frontend.Active() > 0 && direct.clock.Now() < closeAt || hasPendingConnections(direct.listeners.frontend) {
		if direct.clock.Sleep(ctx, stopPollInterval) != nil {
			break
		}
	}
	whole := server.closeConnections(ctx)
	select {
	case <-unregistered:
	case <-ctx.Done():
	}
	direct.log.WithField("cut", direct.frontend.Active()).WithField("whole", whole).Info("entry stopped")
	return nil
}

// endRequestsAt ends the requests that are in flight at an instant.
func (direct *Direct) endRequestsAt(ctx context.Context, at timekeeper.Instant) {
	if direct.clock.Sleep(ctx, at.Since(direct.clock.Now())) != nil {
		return
	}
	if active := direct.frontend.Active(); active > 0 {
		direct.log.WithField("active", active).Warn("the grace of the stop ends: requests in flight get their final answers")
	}
	direct.endRequests(relayer.ErrStopping)
}
