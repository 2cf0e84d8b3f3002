package assembler

import (
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// newRecorder starts the record of a process, and returns a function that ends it, to be
// called when no more events can occur.
//
// processes returns the size of the fleet, from the list that the process reads anyway.
// It only lengthens the interval between flushes; until a list has been read, the
// interval is that of a small fleet.
func newRecorder(
	env Environment, process loader.Process, origin recorder.Origin, processes func() int,
) (*recorder.Recorder, func()) {
	started := recorder.Event{
		Instance:    origin.Name,
		Incarnation: origin.Incarnation,
		Detail:      process.Site,
	}
	if origin.Group != recorder.EntryGroup {
		started.Service = origin.Group
	}
	return recorder.New(recorder.Settings{
		Origin:    origin,
		Objects:   env.Platform.Objects,
		Clock:     env.Clock,
		Log:       env.Log,
		Processes: processes,
	}, started)
}

// aliveEvent returns the event that an entry records periodically to show that it runs.
func (entry *Entry) aliveEvent() recorder.Event {
	return recorder.Event{Kind: recorder.Alive, Revision: entry.watcher.Current().Revision}
}
