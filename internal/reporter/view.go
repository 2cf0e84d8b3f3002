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
	// MinListInterval is the shortest time between two reads of the instance list.
	MinListInterval = 2 * timekeeper.Second
	// listRate bounds the cost of reading the list, in bytes a second. A list of
	// 3,100 instances is some 500 KB; if each process read it every 2 seconds, that
	// would use most of the platform's capacity and of the budget.
	listRate = 640
	// listRowOverhead is the size in bytes of a list row besides its strings.
	listRowOverhead = 64
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

// View holds the known state of the replicas of all services. Its methods are safe
// for concurrent use; one lock guards all tables.
type View struct {
	settings Settings

	mu      sync.Mutex
	tables  map[string]*Table
	rosters map[string]placer.Roster
	// replicas are those that each service's roster was built from.
	replicas map[string][]placer.Replica
	// adapterRosters are the rosters by adapter, for each service.
	adapterRosters map[string]adapterRosters
	random         *rand.Rand
	// listBytes is the size of the newest list, instances its length.
	listBytes int64
	instances int
}

// NewView returns an empty view.
func NewView(settings Settings) *View {
	return &View{
		settings:       settings,
		tables:         map[string]*Table{},
		rosters:        map[string]placer.Roster{},
		replicas:       map[string][]placer.Replica{},
		adapterRosters: map[string]adapterRosters{},
		random:         rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
}

// ReadList reads the instance list once and merges it.
func (view *View) ReadList(ctx context.Context) error {
	instances, err := view.settings.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := view.settings.Clock.Now()
	var bytes int64
	byService := map[string][]storekeeper.Instance{}
	for _, instance := range instances {
		bytes += int64(listRowOverhead + len(instance.Name) + len(instance.Service) + len(instance.Address) +
			len(instance.Site) + len(instance.Region))
		if view.settings.Service == "" || view.settings.Service == instance.Service {
			byService[instance.Service] = append(byService[instance.Service], instance)
		}
	}
	view.settings.Budget.Spend(now, budgeter.List, bytes)
	view.mu.Lock()
	defer view.mu.Unlock()
	view.listBytes, view.instances = bytes, len(instances)
	for service := range byService {
		view.table(service)
	}
	for service, table := range view.tables {
		table.MergeList(now, byService[service])
		view.rebuild(service)
	}
	return nil
}

// listInterval returns the time to the next read of the list. It grows with the
// size of the list, so that the bytes a second are the same for any size of fleet,
// and has jitter, so that processes that started together don't read together.
func (view *View) listInterval() timekeeper.Span {
	view.mu.Lock()
	defer view.mu.Unlock()
	interval := max(MinListInterval, timekeeper.Span(view.listBytes)*timekeeper.Second/listRate)
	if view.settings.Budget.Level(view.settings.Clock.Now()) >= budgeter.Short {
		interval *= 2
	}
	return interval*3/4 + timekeeper.Span(view.random.Int64N(int64(interval/2)))
}

// Run reads the list periodically until ctx ends.
func (view *View) Run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, view.listInterval, func(ctx context.Context) {
		if err := view.ReadList(ctx); err != nil {
			view.settings.Log.WithError(err).Warn("instance list not read")
		}
	})
}

// RecordDigest merges a digest received from the replica's own agent.
func (view *View) RecordDigest(digest *encoder.Digest) {
	view.mu.Lock()
	defer view.mu.Unlock()
	table := view.table(digest.GetService())
	table.RecordAnswer(digest.GetInstance())
	if table.Merge(view.settings.Clock.Now(), digest) {
		view.rebuild(digest.GetService())
	}
}

// RecordDialFailure records that a call could not reach a replica. The service is
// evaluated at once, so that the next call doesn't try the replica again.
func (view *View) RecordDialFailure(service, instance string) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.table(service).RecordFailure(view.settings.Clock.Now(), instance)
	view.rebuild(service)
}

// ListedCount returns the number of instances in the newest list.
func (view *View) ListedCount() int {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.instances
}

// Evaluate updates which replicas count as dead and the weight of each.
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

// Services returns the services that the view has a table of.
func (view *View) Services() []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	names := make([]string, 0, len(view.tables))
	for name := range view.tables {
		names = append(names, name)
	}
	return names
}

// withTable runs work on a service's table under the lock, and evaluates the
// service again if more than loads changed.
func (view *View) withTable(service string, work func(table *Table, now timekeeper.Instant)) {
	view.mu.Lock()
	defer view.mu.Unlock()
	table := view.table(service)
	before := table.lastUpdateVersion
	work(table, view.settings.Clock.Now())
	if table.lastUpdateVersion != before {
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

// rebuild evaluates a service's replicas and updates its rosters, and logs each
// replica whose state changed. The lock must be held.
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
		// Building a ring sorts all its points, so a roster is rebuilt only on a change.
		view.replicas[service] = replicas
		view.rosters[service] = placer.NewRoster(replicas)
	}
	view.adapterRosters[service] = view.adapterRosters[service].rebuilt(live, replicas)
}
