package assembler

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// minAcceptPause and maxAcceptPause bound the time from a failed accept to the next one. Callers
	// leave when their connection isn't accepted for a second.
	minAcceptPause = 5 * timekeeper.Millisecond
	maxAcceptPause = 100 * timekeeper.Millisecond
)

// retryingListener accepts connections until it is closed. An http.Server ends at most errors of its
// listener, though many are about one connection, or end when the system has memory again (accept(2)).
type retryingListener struct {
	net.Listener
	clock timekeeper.Clock
	// onError is called with each error and the pause that follows it.
	onError func(err error, pause timekeeper.Span)
}

// Accept returns the next connection, or an error if the listener is closed.
func (listener retryingListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := listener.Listener.Accept()
		if err == nil || eris.Is(err, net.ErrClosed) {
			return conn, err
		}
		listener.onError(err, pause)
		_ = listener.clock.Sleep(context.Background(), pause)
	}
}

// retryAccepts returns a listener that accepts connections until it is closed, and counts and logs failed
// accepts. name is what the listener is for.
func retryAccepts(listener net.Listener, name string, clock timekeeper.Clock, log logrus.FieldLogger, scope tally.Scope) net.Listener {
	errors := scope.Tagged(map[string]string{"listener": name}).Counter("accept-errors")
	return retryingListener{Listener: listener, clock: clock, onError: func(err error, pause timekeeper.Span) {
		errors.Inc(1)
		log.WithField(labelCause, err.Error()).WithField("listener", name).WithField("pause-ms", int64(pause)).Error("connection not accepted")
	}}
}

func (direct *Direct) retryAccepts(listener net.Listener, name string) net.Listener {
	return retryAccepts(listener, name, direct.clock, direct.log, direct.scope)
}

func (base *base) retryAccepts(listener net.Listener, name string) net.Listener {
	return retryAccepts(listener, name, base.env.Clock, base.env.Log, base.scope)
}
