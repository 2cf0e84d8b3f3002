package assembler

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
)

// newWatcher returns the watcher of a process. Its peers are those of the
// settings and those that the process knows.
func newWatcher(
	env Environment, process loader.Process, incarnation uint64, pool *dialer.Pool, known func() []string,
) *publisher.Watcher {
	return publisher.NewWatcher(publisher.Settings{
		Platform: env.Platform,
		Clock:    env.Clock,
		Log:      env.Log,
		Site:     process.Site,
		Seed:     incarnation,
		Ask:      publisher.Asker(pool, process.Name),
		Peers: func() []string {
			peers := slices.Concat(process.Peers, known())
			slices.Sort(peers)
			return slices.Compact(peers)
		},
	})
}

// learn takes in what an agent said about itself: its state for the view, and
// the revision that it carries for the watcher.
func (entry *Entry) learn(digest *encoder.Digest) {
	entry.watcher.Hear(digest.GetRevision())
	entry.view.Learn(digest)
}
