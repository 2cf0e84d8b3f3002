package assembler

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// errPanic is the error of a process that stops because one of its goroutines panicked.
var errPanic = eris.New("a goroutine panicked")

// guard runs goroutines of a process. If one of them panics, the process stops in the same order as when
// it is told to, so that callers get their answers; the others go on until then. Use newGuard.
type guard struct {
	log    logrus.FieldLogger
	scope  tally.Scope
	failed chan error
}

func newGuard(log logrus.FieldLogger, scope tally.Scope) *guard {
	return &guard{log: log, scope: scope, failed: make(chan error, 1)}
}

// addTo adds an actor to a group that ends with an error after the first panic.
func (guard *guard) addTo(group *run.Group) {
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case err := <-guard.failed:
			return err
		case <-stop:
			return nil
		}
	}, func(error) { close(stop) })
}

// addLoop adds an actor that runs a loop until its context ends, also after a panic of the loop.
func (guard *guard) addLoop(group *run.Group, name string, loop func(ctx context.Context)) {
	addLoop(group, func(ctx context.Context) {
		if guard.run(name, func() { loop(ctx) }) {
			<-ctx.Done()
		}
	})
}

// start runs work in a goroutine.
func (guard *guard) start(name string, work func()) { go guard.run(name, work) }

// run calls work and reports whether it panicked.
func (guard *guard) run(name string, work func()) (panicked bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		panicked = true
		guard.scope.Tagged(map[string]string{"goroutine": name}).Counter("panics").Inc(1)
		guard.log.WithFields(logrus.Fields{
			"goroutine": name, labelCause: fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("goroutine panicked, the process stops")
		select {
		case guard.failed <- eris.Wrapf(errPanic, "%s: %v", name, cause):
		default:
		}
	}()
	work()
	return false
}
