package reporter

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ListEvery is the time between two readings of the instance list.
const ListEvery = 2 * timekeeper.Second

// View is what a process believes about the replicas.
type View struct {
	directory storekeeper.Directory
	log       logrus.FieldLogger

	mu       sync.Mutex
	listed   []storekeeper.Instance
	draining map[string]uint64
	rosters  map[string]placer.Roster
}

// NewView returns a view that knows of no replica.
func NewView(directory storekeeper.Directory, log logrus.FieldLogger) *View {
	return &View{
		directory: directory,
		log:       log,
		draining:  map[string]uint64{},
		rosters:   map[string]placer.Roster{},
	}
}

// Look reads the instance list once.
func (view *View) Look(ctx context.Context) error {
	listed, err := view.directory.List(ctx)
	if err != nil {
		return err
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	view.listed = listed
	view.rebuild()
	return nil
}

// Run looks again and again until ctx ends.
func (view *View) Run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, func() timekeeper.Span { return ListEvery }, func(ctx context.Context) {
		if err := view.Look(ctx); err != nil {
			view.log.WithError(err).Warn("instance list not read")
		}
	})
}

// Learn takes in what an agent said about itself.
func (view *View) Learn(digest *encoder.Digest) {
	view.mu.Lock()
	defer view.mu.Unlock()
	name := digest.GetInstance()
	if digest.GetState() == encoder.ReplicaState_REPLICA_STATE_DRAINING {
		view.draining[name] = digest.GetIncarnation()
		view.rebuild()
		return
	}
	if incarnation, ok := view.draining[name]; ok && incarnation != digest.GetIncarnation() {
		delete(view.draining, name)
		view.rebuild()
	}
}

// Roster returns the replicas of a service that may get new work.
func (view *View) Roster(service string) placer.Roster {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.rosters[service]
}

// rebuild makes the rosters anew; the lock must be held.
func (view *View) rebuild() {
	live := map[string][]placer.Replica{}
	for _, instance := range view.listed {
		if _, draining := view.draining[instance.Name]; draining || instance.Leaving {
			continue
		}
		replica := placer.Replica{Name: instance.Name, Address: instance.Address, Site: instance.Site}
		live[instance.Service] = append(live[instance.Service], replica)
	}
	view.rosters = map[string]placer.Roster{}
	for service, replicas := range live {
		view.rosters[service] = placer.NewRoster(replicas)
	}
}
