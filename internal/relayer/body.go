package relayer

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// bodyTimeout bounds the time in which a caller sends the body.
	bodyTimeout = 10 * timekeeper.Second
	// defaultBodyLimit bounds a body when the configuration doesn't, in bytes.
	defaultBodyLimit = 4 << 20
)

// readBody reads the whole body before the request is placed, so that a slow caller
// occupies a connection of the entry and no replica.
func (task *task) readBody() (classifier.Failure, bool) {
	limit := task.config.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if task.r.ContentLength > limit {
		return classifier.New(classifier.BodyTooLarge, ""), false
	}
	if task.r.ContentLength == 0 {
		return classifier.Failure{}, true
	}
	control := http.NewResponseController(task.w)
	body, err := receiver.Read(http.MaxBytesReader(task.w, task.r.Body, limit), task.r.ContentLength, receiver.Settings{
		Memory: task.entry.bodies, Timeout: bodyTimeout, Now: task.entry.settings.Clock.Now,
		SetDeadline: func(span timekeeper.Span) { _ = control.SetReadDeadline(timekeeper.In(span)) },
	})
	if err != nil {
		return bodyFailure(err), false
	}
	_ = control.SetReadDeadline(time.Time{})
	task.body, task.releaseBody = body.Text(), body.Release
	return classifier.Failure{}, true
}

// bodyFailure returns the failure for an error of reading the body.
func bodyFailure(err error) classifier.Failure {
	var large *http.MaxBytesError
	switch {
	case eris.As(err, &large):
		return classifier.New(classifier.BodyTooLarge, "")
	case eris.Is(err, receiver.ErrMemory):
		return classifier.New(classifier.Overloaded, err.Error()).WithRetryAfter(timekeeper.Second)
	}
	return classifier.New(classifier.SlowCaller, err.Error())
}
