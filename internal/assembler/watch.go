package assembler

import (
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// newWatcher returns the configuration watcher of a process. Its peers are those in the
// settings and those that known returns.
func newWatcher(
	env Environment, process loader.Process, incarnation uint64, pool *dialer.Pool, known func() []string,
	record func(event recorder.Event),
) *publisher.Watcher {
	return publisher.NewWatcher(publisher.Settings{
		Platform: env.Platform,
		Clock:    env.Clock,
		Log:      env.Log,
		Site:     process.Site,
		Seed:     incarnation,
		Record:   record,
		Ask:      publisher.Asker(pool, process.Name),
		Peers: func() []string {
			peers := slices.Concat(process.Peers, known())
			slices.Sort(peers)
			return slices.Compact(peers)
		},
	})
}

// newMeter returns the meter that counts and limits a process's calls to its platform.
// Its rates follow the configuration, once there is one.
func newMeter(env Environment, scope tally.Scope, watcher func() *publisher.Watcher) *storekeeper.Meter {
	return storekeeper.NewMeter(storekeeper.MeterSettings{
		Clock: env.Clock,
		Seed:  newIncarnation(),
		Count: func(cause storekeeper.Cause, outcome storekeeper.Outcome) {
			scope.Tagged(map[string]string{labelCause: string(cause), "use": string(outcome)}).Counter("store-calls").Inc(1)
		},
		Rates: func() storekeeper.Rates {
			var limits resolver.Limits
			if known := watcher(); known != nil {
				limits = known.Current().Limits
			}
			limits = limits.WithDefaults()
			return storekeeper.Rates{Reads: limits.StoreReads, Writes: limits.StoreWrites}
		},
	})
}

// applyDigest applies a digest from an agent: its state to the view, its revision to the
// watcher.
func (entry *Entry) applyDigest(digest *encoder.Digest) {
	entry.control.countDigest(digest)
	entry.watcher.ReceiveRevision(digest.GetRevision())
	entry.view.RecordDigest(digest)
}
