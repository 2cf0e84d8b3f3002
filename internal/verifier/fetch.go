package verifier

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// page is how many names one listing returns.
	page = 1000
	// tries bounds how often one read is tried; a reader waits between.
	tries = 5
	// pause is the wait before a read is tried again.
	pause = 300 * timekeeper.Millisecond
)

// Fetch reads every segment in the store.
func Fetch(ctx context.Context, objects storekeeper.Objects, clock timekeeper.Clock) ([]Object, error) {
	var all []Object
	after := ""
	for {
		names, err := retry(ctx, clock, func() ([]string, error) { return objects.List(ctx, recorder.Prefix, after, page) })
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
		if err == nil || i == tries || eris.Is(err, storekeeper.ErrAbsent) {
			return out, err
		}
		if err := clock.Sleep(ctx, timekeeper.Span(i)*pause); err != nil {
			return out, err
		}
	}
}
