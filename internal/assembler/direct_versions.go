package assembler

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

// maxStandstill bounds the time between two calls of versions.confirm, which a loop calls once a
// second, of a process that runs.
const maxStandstill = 2 * timekeeper.Second

// versions is what the entry has seen of the software versions of each service. The follower of the
// list of replicas holds its lock while it calls observe, so mu is taken after that lock; that
// of the fleet is taken last.
type versions struct {
	clock timekeeper.Clock
	fleet *balancer.Guarded
	log   logrus.FieldLogger
	// confirmedAt returns when the list was last known to be up to date; zero means never. It is
	// called without mu.
	confirmedAt func() timekeeper.Instant

	// sinceBoot is the time by a clock that counts suspended time.
	sinceBoot func() timekeeper.Instant

	// isPrimary reports whether this entry writes what it has seen into the store.
	isPrimary func() bool
	store     *platform.Store
	era       func() uint64

	mu      sync.Mutex
	history *resumer.History
	// lookedAt is when confirm was last called, by sinceBoot.
	lookedAt timekeeper.Instant
	// written is what the store has of each service in writtenEra, as far as this entry knows.
	written    map[string]resumer.Sighting
	writtenEra uint64
}

func newVersions(direct *Direct, store *platform.Store) *versions {
	return &versions{
		clock: direct.clock, fleet: direct.fleet, store: store, log: direct.log,
		history: resumer.NewHistory(direct.settings.FirstStart), written: map[string]resumer.Sighting{},
		confirmedAt: func() timekeeper.Instant { return direct.replicas.LastConfirmed() }, sinceBoot: timekeeper.SinceBoot().Now,
		isPrimary: func() bool { return direct.peers.isPrimary() },
		era: func() uint64 {
			newest, _ := direct.eras.Known()
			return newest
		},
	}
}

// observe records a new list of replicas.
func (versions *versions) observe(list []balancer.Replica) {
	now := versions.clock.Now()
	versions.mu.Lock()
	defer versions.mu.Unlock()
	versions.history.Observe(list, now)
}

// confirm records when the list was last known to be up to date, and whether this process has stood
// still since the last call: what it knows is then older than it seems. It is called more often than a
// history bears a gap.
func (versions *versions) confirm() {
	now, at, looked := versions.clock.Now(), versions.confirmedAt(), versions.sinceBoot()
	versions.mu.Lock()
	defer versions.mu.Unlock()
	stood := looked.Since(cmp.Or(versions.lookedAt, looked))
	versions.lookedAt = looked
	if stood > maxStandstill {
		versions.log.WithField("span-ms", int64(stood)).Warn("this process stood still: streams go on once the list of replicas is confirmed")
		versions.history.Interrupt(now)
	}
	versions.fleet.With(func(fleet *balancer.Fleet) {
		if stood > maxStandstill {
			fleet.ExpireList(now)
		}
		fleet.ConfirmList(at)
	})
	versions.history.Confirm(at)
}

// findOrigin finds out where a stream began, for a request that may have waited while this process
// stood still.
func (direct *Direct) findOrigin(ctx context.Context, question resumer.Question) resumer.Finding {
	direct.versions.confirm()
	return direct.peers.streams.Find(ctx, question)
}

// of returns what the entry has seen of a service.
func (versions *versions) of(service string) resumer.Versions {
	versions.confirm()
	now := versions.clock.Now()
	versions.mu.Lock()
	defer versions.mu.Unlock()
	return versions.history.VersionsOf(service, now)
}

// recall adds what earlier entries wrote into the store.
func (versions *versions) recall(registry platform.Registry) {
	now := versions.clock.Now()
	versions.mu.Lock()
	defer versions.mu.Unlock()
	versions.enterEra(registry.Era)
	for _, row := range registry.Versions {
		since := now.Add(-row.For)
		versions.written[row.Service] = resumer.Sighting{Service: row.Service, Several: row.Several, Only: row.Only, Since: since}
		if !row.Several {
			versions.history.Recall(row.Service, row.Only, since)
		}
	}
}

const (
	// writeInterval is the time between two looks at what the store lacks.
	writeInterval = timekeeper.Second
	// sinceTolerance is the difference of two instants that count as the same, as clocks are read at
	// different moments.
	sinceTolerance = 2 * timekeeper.Second
)

// run keeps what this entry has seen in the store while it is a primary, for entries that start
// when all others have been killed.
func (versions *versions) run(ctx context.Context) {
	versions.clock.Every(ctx, func() timekeeper.Span { return writeInterval }, func(ctx context.Context) {
		if !versions.isPrimary() {
			return
		}
		for _, seen := range versions.unwritten() {
			versions.write(ctx, seen)
		}
	})
}

// enterEra forgets what was written in another era of the store, which may have lost it. The caller
// holds the lock.
func (versions *versions) enterEra(era uint64) {
	if era != versions.writtenEra {
		clear(versions.written)
		versions.writtenEra = era
	}
}

// unwritten returns what the store lacks.
func (versions *versions) unwritten() []resumer.Sighting {
	era, now := versions.era(), versions.clock.Now()
	versions.mu.Lock()
	defer versions.mu.Unlock()
	versions.enterEra(era)
	return slices.DeleteFunc(versions.history.Sightings(now), func(seen resumer.Sighting) bool {
		written, found := versions.written[seen.Service]
		return found && sameSighting(written, seen)
	})
}

// sameSighting reports whether two sightings of a service say the same.
func sameSighting(one, other resumer.Sighting) bool {
	if one.Several || other.Several || one.Only != other.Only {
		return one.Several == other.Several && one.Only == other.Only
	}
	earlier, later := min(one.Since, other.Since), max(one.Since, other.Since)
	return later.Since(earlier) <= sinceTolerance
}

func (versions *versions) write(ctx context.Context, seen resumer.Sighting) {
	row := platform.ServiceVersions{Service: seen.Service, Several: seen.Several, Only: seen.Only, For: versions.clock.Now().Since(seen.Since)}
	if err := platform.WriteVersions(ctx, versions.store, row, versions.era()); err != nil {
		versions.log.WithFields(logrus.Fields{labelService: seen.Service, labelCause: err.Error()}).Warn("software versions not written")
		return
	}
	versions.log.WithFields(logrus.Fields{labelService: seen.Service, "several": seen.Several, "only": seen.Only}).Info("software versions written")
	versions.mu.Lock()
	defer versions.mu.Unlock()
	versions.written[seen.Service] = seen
}
