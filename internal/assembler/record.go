package assembler

import (
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// newRecorder starts the record of a process, and returns a function that ends
// it once nothing more can happen.
//
// The size of the fleet, by the list that the process reads anyway, only
// stretches the time between flushes; until a list was read the record is
// flushed as a small fleet's.
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

// alive returns the event by which an entry's record tells that it lived.
func (entry *Entry) alive() recorder.Event {
	return recorder.Event{Kind: recorder.Alive, Revision: entry.watcher.Current().Revision}
}
