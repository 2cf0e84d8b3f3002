package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// bodyTimeout bounds the time in which a caller sends the body.
	bodyTimeout = 10 * timekeeper.Second
	// defaultBodyLimit bounds a body when the configuration doesn't, in bytes.
	defaultBodyLimit = 4 << 20
	// firstBodyBytes is how much memory a body takes at first, in bytes.
	firstBodyBytes = 8 << 10
	// smallBody is the length, in bytes, up to which a body may take any part of the memory for
	// bodies. Larger ones leave it largeBodyParts - 1 parts of largeBodyParts, so that they can't
	// keep out small ones.
	smallBody      = 256 << 10
	largeBodyParts = 2
	// A large body must arrive at bodyPace bytes a second, from bodyPaceGrace on: its memory is
	// reserved while it does.
	bodyPace      = 256 << 10
	bodyPaceGrace = 2 * timekeeper.Second
	// paceCheckBytes is how much of a large body arrives between two checks of its pace.
	paceCheckBytes = 64 << 10
)

// errBodyMemory is returned when a body finds no room in the memory for bodies.
var errBodyMemory = eris.New("the memory for request bodies is used up")

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
	body := body{
		memory: task.entry.bodies, now: task.entry.settings.Clock.Now,
		setDeadline: func(span timekeeper.Span) { _ = control.SetReadDeadline(timekeeper.In(span)) },
	}
	if err := body.read(http.MaxBytesReader(task.w, task.r.Body, limit), task.r.ContentLength); err != nil {
		body.release()
		return bodyFailure(err), false
	}
	_ = control.SetReadDeadline(time.Time{})
	task.body, task.releaseBody = body.text, body.release
	return classifier.Failure{}, true
}

// body is a request body that is being read. The memory for it is taken before it is read.
type body struct {
	text   []byte
	memory *memory
	// taken is how much of the memory the body takes.
	taken int64
	now   func() timekeeper.Instant
	// setDeadline sets how long reads may take from now on.
	setDeadline func(span timekeeper.Span)
	started     timekeeper.Instant
	// nextCheck is the length at which the deadline is set again.
	nextCheck int
}

// read reads the body; length is its announced length, or negative. A large body whose length is
// announced takes its memory at once, others as they grow.
func (body *body) read(from io.Reader, length int64) error {
	if err := body.grow(firstSize(length)); err != nil {
		return err
	}
	body.started = body.now()
	body.setDeadline(bodyTimeout)
	for int64(len(body.text)) != length {
		if len(body.text) == cap(body.text) {
			if err := body.grow(nextSize(int64(cap(body.text)), length)); err != nil {
				return err
			}
		}
		body.checkPace()
		count, err := from.Read(body.text[len(body.text):cap(body.text)])
		body.text = body.text[:len(body.text)+count]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// firstSize returns how much memory a body of an announced length takes before it is read.
func firstSize(length int64) int64 {
	if length < 0 || length > firstBodyBytes && length <= smallBody {
		return firstBodyBytes
	}
	return length
}

// nextSize returns how much memory a body takes once it has filled a size.
func nextSize(size, length int64) int64 {
	if length < 0 {
		return 2 * size
	}
	return min(2*size, length)
}

// checkPace sets the deadline for the next part of a large body.
func (body *body) checkPace() {
	if cap(body.text) <= smallBody || len(body.text) < body.nextCheck {
		return
	}
	body.nextCheck = len(body.text) + paceCheckBytes
	due := bodyPaceGrace + timekeeper.Span(body.nextCheck)*timekeeper.Second/bodyPace
	body.setDeadline(min(bodyTimeout, due) - body.now().Since(body.started))
}

// grow gives the body room for a length.
func (body *body) grow(length int64) error {
	limit := body.memory.limit
	if length > smallBody {
		limit /= largeBodyParts
	}
	if !body.memory.take(length, limit) {
		return errBodyMemory
	}
	text := make([]byte, len(body.text), length)
	copy(text, body.text)
	body.memory.give(body.taken)
	body.text, body.taken = text, length
	return nil
}

// release returns the memory of the body.
func (body *body) release() {
	body.memory.give(body.taken)
	body.text, body.taken = nil, 0
}

// bodyFailure returns the failure for an error of reading the body.
func bodyFailure(err error) classifier.Failure {
	var large *http.MaxBytesError
	switch {
	case eris.As(err, &large):
		return classifier.New(classifier.BodyTooLarge, "")
	case eris.Is(err, errBodyMemory):
		return classifier.New(classifier.Overloaded, err.Error()).WithRetryAfter(timekeeper.Second)
	}
	return classifier.New(classifier.SlowCaller, err.Error())
}
