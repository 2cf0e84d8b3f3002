package reporter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// MinListInterval is the shortest time between two readings of the instance list.
	MinListInterval = 2 * timekeeper.Second
	// listRate is what reading the list may cost in bytes a second. A list of
	// 3,100 instances is some 500 KB; read every 2 seconds by each process it
	// would be most of what the platform and the budget can bear.
	listRate = 640
	// listEnvelope is what an instance takes in the list beside its texts.
	listEnvelope = 64
)

// Settings set up a view. All fields without a stated default must be set.
type Settings struct {
	Directory storekeeper.Directory
	Clock     timekeeper.Clock
	Log       logrus.FieldLogger
	Budget    *budgeter.Budget
	Rules     Rules
	// Service limits the view to one service; empty means all.
	Service string
	// Seed seeds the choice of peers and the jitter.
	Seed uint64
}

// View is what a process believes about the replicas of all services. Its
// methods may be called from several goroutines; one lock guards all tables.
type View struct {
	settings Settings

	mu      sync.Mutex
	tables  map[string]*Table
	rosters map[string]placer.Roster
	// replicas are what each roster was made of.
	replicas map[string][]placer.Replica
	// holders are the rosters of those that hold an adapter, by service.
	holders map[string]holders
	random  *rand.Rand
	// listed is the size of the newest list in bytes, instances its length.
	listed    int64
	instances int
}

// NewView returns a view that knows of no replica.
func NewView(settings Settings) *View {
	return &View{
		settings: settings,
		tables:   map[string]*Table{},
		rosters:  map[string]placer.Roster{},
		replicas: map[string][]placer.Replica{},
		holders:  map[string]holders{},
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
}

// ReadList reads the instance list once.
func (view *View) ReadList(ctx context.Context) error {
	listed, err := view.settings.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := view.settings.Clock.Now()
	var bytes int64
	byService := map[string][]storekeeper.Instance{}
	for _, instance := range listed {
		bytes += int64(listEnvelope + len(instance.Name) + len(instance.Service) + len(instance.Address) +
			len(instance.Site) + len(instance.Region))
		if view.settings.Service == "" || view.settings.Service == instance.Service {
			byService[instance.Service] = append(byService[instance.Service], instance)
		}
	}
	view.settings.Budget.Spend(now, budgeter.List, bytes)
	view.mu.Lock()
	defer view.mu.Unlock()
	view.listed, view.instances = bytes, len(listed)
	for service := range byService {
		view.table(service)
	}
	for service, table := range view.tables {
		table.MergeList(now, byService[service])
		view.rebuild(service)
	}
	return nil
}

// listPause returns the time to the next reading of the list: by its size, so
// that it costs the same at any size of fleet, and spread, so that processes
// that started together don't read together.
func (view *View) listPause() timekeeper.Span {
	view.mu.Lock()
	defer view.mu.Unlock()
	pause := max(MinListInterval, timekeeper.Span(view.listed)*timekeeper.Second/listRate)
	if view.settings.Budget.Level(view.settings.Clock.Now()) >= budgeter.Short {
		pause *= 2
	}
	return pause*3/4 + timekeeper.Span(view.random.Int64N(int64(pause/2)))
}

// Run reads the list again and again until ctx ends.
func (view *View) Run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, view.listPause, func(ctx context.Context) {
		if err := view.ReadList(ctx); err != nil {
			view.settings.Log.WithError(err).Warn("instance list not read")
		}
	})
}

// RecordDigest takes in what an agent said about itself.
func (view *View) RecordDigest(digest *encoder.Digest) {
	view.mu.Lock()
	defer view.mu.Unlock()
	table := view.table(digest.GetService())
	table.RecordAnswer(digest.GetInstance())
	if table.Merge(view.settings.Clock.Now(), digest) {
		view.rebuild(digest.GetService())
	}
}

// RecordDialFailure takes in that a call could not reach a replica. The replica is judged at
// once, so that the next call doesn't meet it again.
func (view *View) RecordDialFailure(service, instance string) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.table(service).RecordFailure(view.settings.Clock.Now(), instance)
	view.rebuild(service)
}

// CountListed returns how many instances the newest list named.
func (view *View) CountListed() int {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.instances
}

// Evaluate decides anew who is held dead and what weight each replica has.
func (view *View) Evaluate() {
	view.mu.Lock()
	defer view.mu.Unlock()
	for service := range view.tables {
		view.rebuild(service)
	}
}

// Roster returns the replicas of a service that may get new work.
func (view *View) Roster(service string) placer.Roster {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.rosters[service]
}

// Services returns the services that the view has heard of.
func (view *View) Services() []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	names := make([]string, 0, len(view.tables))
	for name := range view.tables {
		names = append(names, name)
	}
	return names
}

// with runs work on a service's table under the lock, and judges it anew if
// there was news.
func (view *View) with(service string, work func(table *Table, now timekeeper.Instant)) {
	view.mu.Lock()
	defer view.mu.Unlock()
	table := view.table(service)
	before := table.newsVersion
	work(table, view.settings.Clock.Now())
	if table.newsVersion != before {
		view.rebuild(service)
	}
}

// table returns a service's table; the lock must be held.
func (view *View) table(service string) *Table {
	if view.tables[service] == nil {
		view.tables[service] = NewTable(service, view.settings.Rules)
	}
	return view.tables[service]
}

// rebuild judges a service's replicas and makes its roster anew; the lock must
// be held. Each replica that is newly held dead, or live again, is logged.
func (view *View) rebuild(service string) {
	now := view.settings.Clock.Now()
	table := view.tables[service]
	table.Evaluate(now)
	for _, change := range table.Changes() {
		view.settings.Log.WithFields(logrus.Fields{
			"service": service, "upstream": change.Name, "state": StateOf(change),
			"incarnation": change.Incarnation, "silent": now.Since(change.ReportedAt).String(),
		}).Info("membership")
	}
	live := table.Live()
	replicas := make([]placer.Replica, len(live))
	for i, row := range live {
		share := max(1, int(row.Weight(now)*placer.WholeShare))
		replicas[i] = placer.Replica{Name: row.Name, Address: row.DialAddress(), Site: row.Site, Share: share}
	}
	if !slices.Equal(replicas, view.replicas[service]) {
		// Making a ring costs a sort of all its points, so it is made only anew.
		view.replicas[service] = replicas
		view.rosters[service] = placer.NewRoster(replicas)
	}
	view.holders[service] = view.holders[service].anew(live, replicas)
}
