package assembler

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// newRecorder starts the record of a process, and returns a function that ends
// it once nothing more can happen.
func newRecorder(
	ctx context.Context, env Environment, process loader.Process, origin recorder.Origin,
) (*recorder.Recorder, func()) {
	// The size of the fleet only stretches the time between flushes; without
	// the list the record is flushed as a small fleet's.
	instances, err := env.Platform.Directory.List(ctx)
	if err != nil {
		env.Log.WithError(err).Warn("instance list not read")
	}
	started := recorder.Event{
		Instance:    origin.Name,
		Incarnation: origin.Incarnation,
		Detail:      process.Site,
	}
	if origin.Group != recorder.EntryGroup {
		started.Service = origin.Group
	}
	return recorder.New(recorder.Settings{
		Origin:     origin,
		Objects:    env.Platform.Objects,
		Clock:      env.Clock,
		Log:        env.Log,
		FlushEvery: recorder.FlushEvery(len(instances)),
	}, started)
}

// alive returns the event by which an entry's record tells that it lived.
func (entry *Entry) alive() recorder.Event {
	return recorder.Event{Kind: recorder.Alive, Revision: entry.watcher.Current().Revision}
}
