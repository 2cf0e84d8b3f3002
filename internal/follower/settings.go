package follower

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up a follower. Clock, Log, Source and Apply must be set.
type Settings[T any] struct {
	// Name is the table's name in logs.
	Name   string
	Clock  timekeeper.Clock
	Log    logrus.FieldLogger
	Source Source[T]
	// Apply receives each new copy and its version of the store. It must not keep the map.
	Apply func(rows map[string]T, version Version)
	// Confirm receives a newer version at which the last copy is unchanged. Nil means that
	// versions alone are not needed.
	Confirm func(version Version)
	// ReadInterval is the minimum time between two reads; zero means none. Without it a
	// table whose rows are rewritten all the time costs a call for each write.
	ReadInterval Interval
	// Wait is how long the store may hold a read until there is a change. An unresponsive
	// connection is noticed some time after it.
	Wait Interval
	// Readers returns how many processes read the table and publish updates to each other,
	// this one included. Nil means that it is the only one.
	Readers func() int
	// Processes returns the number of all processes, including those that do not read.
	// While the store fails they share the calls that probe for its return. Nil means that
	// this is the only one.
	Processes func() int
	// IsReader reports whether this process currently reads the table; otherwise it
	// receives updates from readers. Nil means that it always reads. A process without a
	// copy reads in any case.
	IsReader func() bool
	// IsPrimary reports whether this process reads each change as soon as the store has it,
	// on average once in ReadInterval.Min at most. Nil means that it never does.
	IsPrimary func() bool
	// Sum returns the checksum of a row, by which copies are compared. It must be set for
	// updates and summaries of other processes to have an effect.
	Sum func(key string, value T) uint64
	// Publish sends the changes that a read of this process found to other processes. It
	// must not call the follower. Nil means that nothing is published.
	Publish func(update Update[T])
	// FailingElsewhere reports whether another process finds the store failing. Then a lack
	// of summaries is no reason to read, and rows that are missing afterwards may have
	// lapsed. Nil means that nothing is known of other processes.
	FailingElsewhere func() bool
	// Lapse is how long a row that is missing after an outage is kept; zero means not at
	// all.
	Lapse timekeeper.Span
	// ServingOthersSince returns since when the store has served other processes without a
	// gap, after an instant and up to now; zero means that it does not serve them. Rows
	// that are still missing a Lapse later are removed, however long the store has been
	// unavailable for this process. Nil means that nothing is known of other processes.
	ServingOthersSince func(from timekeeper.Instant) timekeeper.Instant
	// FetchCopy returns another process's copy of the table, without its rows if it has the
	// checksum of the summary. It is called while the store fails, other processes have a newer
	// copy, or this one is older than Bound allows. Nil means that copies cannot be fetched.
	FetchCopy func(ctx context.Context, have Summary) (Copy[T], error)
	// Bound is the time within which changes must be known here.
	Bound Bound
	Seed  uint64
	// Go runs a goroutine; nil means a go statement. The name says what it does.
	Go func(name string, work func())
}

// New returns a follower without a copy.
func New[T any](settings Settings[T]) *Follower[T] {
	if settings.ServingOthersSince == nil {
		settings.ServingOthersSince = func(timekeeper.Instant) timekeeper.Instant { return 0 }
	}
	if settings.Confirm == nil {
		settings.Confirm = func(Version) {}
	}
	if settings.Readers == nil {
		settings.Readers = func() int { return 1 }
	}
	if settings.Processes == nil {
		settings.Processes = func() int { return 1 }
	}
	if settings.IsReader == nil {
		settings.IsReader = func() bool { return true }
	}
	if settings.IsPrimary == nil {
		settings.IsPrimary = func() bool { return false }
	}
	if settings.Sum == nil {
		settings.Sum = func(string, T) uint64 { return 0 }
	}
	if settings.Publish == nil {
		settings.Publish = func(Update[T]) {}
	}
	if settings.FailingElsewhere == nil {
		settings.FailingElsewhere = func() bool { return false }
	}
	if settings.Go == nil {
		settings.Go = func(_ string, work func()) { go work() }
	}
	return &Follower[T]{
		settings:       settings,
		random:         rand.New(rand.NewPCG(settings.Seed, 23)),
		ageJitter:      rand.New(rand.NewPCG(settings.Seed, 29)).Float64(),
		storeRandom:    rand.New(rand.NewPCG(settings.Seed, 31)),
		rows:           map[string]T{},
		becameStale:    make(chan struct{}, 1),
		lapsing:        map[string]timekeeper.Instant{},
		updateVersions: map[string]Version{},
	}
}
