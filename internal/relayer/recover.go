package relayer

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
)

// recoverPanic is deferred by ServeHTTP. It answers a request whose handling has panicked, which
// net/http would leave without an answer. An abort goes on.
func (entry *Entry) recoverPanic(w http.ResponseWriter, r *http.Request, task *task) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	entry.meters.scope.Counter("panics").Inc(1)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": task.call.ID, "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
	}).Error("request panicked")
	if placement := task.running; placement != nil {
		now := entry.settings.Clock.Now()
		entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.End(placement, balancer.Abandoned, now) })
	}
	if task.headCopied {
		entry.meters.countCut(cutPanic)
		panic(http.ErrAbortHandler)
	}
	entry.refuse(w, r, classifier.New(classifier.Internal, "the entry failed to handle the request"), task.call.ID)
}
