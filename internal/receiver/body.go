package receiver

import (
	"io"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// FirstBytes is how much memory a body takes at first, in bytes.
	FirstBytes = 8 << 10
	// MaxShort is the length, in bytes, up to which a body is short.
	MaxShort = 256 << 10
	// longParts is the number of parts of the memory of which long bodies leave all but one to short
	// ones.
	longParts = 2
	// A long body must arrive at pace bytes a second, from paceGrace on.
	pace      = 256 << 10
	paceGrace = 2 * timekeeper.Second
	// maxGrowth bounds how much more memory a body without an announced length takes at a time.
	maxGrowth = 1 << 20
	// paceCheckBytes is how much of a long body arrives between two checks of its pace.
	paceCheckBytes = 64 << 10
)

// ErrMemory is returned when a body finds no room in the memory for bodies.
var ErrMemory = eris.New("the memory for request bodies is used up")

// Settings say how a body is read. All fields must be set.
type Settings struct {
	Memory *Memory
	// Timeout bounds the time in which the body arrives.
	Timeout timekeeper.Span
	Now     func() timekeeper.Instant
	// SetDeadline sets how long reads may take from now on.
	SetDeadline func(span timekeeper.Span)
}

// Body is the body of a request.
type Body struct {
	settings Settings
	text     []byte
	// taken is how much of the memory the body takes.
	taken   int64
	started timekeeper.Instant
	// nextCheck is the length at which the deadline is set again.
	nextCheck int
}

// Read reads a body; length is its announced length, or negative. A long body whose length is
// announced takes its memory at once, others as they grow. Errors are ErrMemory and those of from;
// after an error the body takes no memory.
func Read(from io.Reader, length int64, settings Settings) (*Body, error) {
	body := &Body{settings: settings}
	if err := body.read(from, length); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// Text returns the bytes of the body. They may not be used after Release.
func (body *Body) Text() []byte { return body.text }

// Release returns the memory of the body. It may be called more than once, but not concurrently.
func (body *Body) Release() {
	body.settings.Memory.Give(body.taken)
	body.text, body.taken = nil, 0
}

func (body *Body) read(from io.Reader, length int64) error {
	if err := body.grow(firstSize(length)); err != nil {
		return err
	}
	body.started = body.settings.Now()
	body.settings.SetDeadline(body.settings.Timeout)
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
	if length < 0 || length > FirstBytes && length <= MaxShort {
		return FirstBytes
	}
	return length
}

// nextSize returns how much memory a body takes once it has filled a size.
func nextSize(size, length int64) int64 {
	if length < 0 {
		return size + min(size, maxGrowth)
	}
	return min(2*size, length)
}

// checkPace sets the deadline for the next part of a long body.
func (body *Body) checkPace() {
	if cap(body.text) <= MaxShort || len(body.text) < body.nextCheck {
		return
	}
	body.nextCheck = len(body.text) + paceCheckBytes
	due := paceGrace + timekeeper.Span(body.nextCheck)*timekeeper.Second/pace
	body.settings.SetDeadline(min(body.settings.Timeout, due) - body.settings.Now().Since(body.started))
}

// grow gives the body room for a length.
func (body *Body) grow(length int64) error {
	limit := body.settings.Memory.limit
	if length > MaxShort {
		limit /= longParts
	}
	if !body.settings.Memory.takeWithin(length, limit) {
		return ErrMemory
	}
	text := make([]byte, len(body.text), length)
	copy(text, body.text)
	body.settings.Memory.Give(body.taken)
	body.text, body.taken = text, length
	return nil
}
