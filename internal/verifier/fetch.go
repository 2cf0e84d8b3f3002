package verifier

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// pageSize is how many names one List call returns.
	pageSize = 1000
	// maxAttempts bounds the attempts of one read.
	maxAttempts = 5
	// retryDelay is the wait before the first retry of a read; it grows linearly.
	retryDelay = 300 * timekeeper.Millisecond
)

// Fetch reads all segments from the store.
func Fetch(ctx context.Context, objects storekeeper.Objects, clock timekeeper.Clock) ([]Object, error) {
	var all []Object
	after := ""
	for {
		names, err := retry(ctx, clock, func() ([]string, error) { return objects.List(ctx, recorder.ObjectPrefix, after, pageSize) })
		if err != nil {
			return nil, eris.Wrap(err, "list the record")
		}
		if len(names) == 0 {
			return all, nil
		}
		for _, name := range names {
			body, err := retry(ctx, clock, func() ([]byte, error) { return objects.Get(ctx, name) })
			if err != nil {
				return nil, eris.Wrap(err, name)
			}
			all = append(all, Object{Name: name, Body: body})
		}
		after = names[len(names)-1]
	}
}

func retry[Out any](ctx context.Context, clock timekeeper.Clock, read func() (Out, error)) (Out, error) {
	for i := 1; ; i++ {
		out, err := read()
		if err == nil || i == maxAttempts || eris.Is(err, storekeeper.ErrAbsent) {
			return out, err
		}
		if err := clock.Sleep(ctx, timekeeper.Span(i)*retryDelay); err != nil {
			return out, err
		}
	}
}
