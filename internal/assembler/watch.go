package assembler

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// newWatcher returns the watcher of a process. Its peers are those of the
// settings and those that the process knows.
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

// learn takes in what an agent said about itself: its state for the view, and
// the revision that it carries for the watcher.
func (entry *Entry) learn(digest *encoder.Digest) {
	entry.watcher.Hear(digest.GetRevision())
	entry.view.Learn(digest)
}

// neighbourCount is how many other agents an agent keeps as peers.
const neighbourCount = 16

// neighbours are a few agents of the instance list, which an agent asks for the
// configuration while the store is silent. An address that is stale by then
// costs one timeout. The list is read seldom: at the design size its reading
// by every agent is the costly part.
type neighbours struct {
	directory storekeeper.Directory
	draws     *rand.Rand

	mu   sync.Mutex
	some []string
}

func newNeighbours(directory storekeeper.Directory, seed uint64) *neighbours {
	return &neighbours{directory: directory, draws: rand.New(rand.NewPCG(seed, 2))}
}

func (known *neighbours) addresses() []string {
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.some
}

func (known *neighbours) look(ctx context.Context) {
	listed, err := known.directory.List(ctx)
	if err != nil {
		return
	}
	known.draws.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	some := make([]string, 0, neighbourCount)
	for _, instance := range listed {
		if instance.Address != "" && !instance.Leaving && len(some) < neighbourCount {
			some = append(some, instance.Address)
		}
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	known.some = some
}

// run reads the list soon, and then seldom: while too few are known every few
// seconds, since a site that starts has an empty list at first.
func (known *neighbours) run(ctx context.Context, clock timekeeper.Clock) {
	known.look(ctx)
	wait := func() timekeeper.Span {
		if len(known.addresses()) < publisher.Answers {
			return fewNeighbours
		}
		return enoughNeighbours
	}
	clock.Every(ctx, wait, known.look)
}

// The time between two readings of the list.
const (
	fewNeighbours    = 5 * timekeeper.Second
	enoughNeighbours = 10 * timekeeper.Minute
)
