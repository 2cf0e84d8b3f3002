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
	// Apply takes each new copy, and the version of the store that it is of. It must
	// not keep the map.
	Apply func(rows map[string]T, version Version)
	// Confirm takes a newer version that the last copy is also of. Nil means that nobody
	// needs to know.
	Confirm func(version Version)
	// ReadInterval is the least time between two reads; zero means none. Reading a table
	// whose rows are all written again and again costs a call for each write
	// otherwise.
	ReadInterval Interval
	// Wait is how long the store may hold a read for a change. A connection that
	// has gone silent is noticed some time after it.
	Wait Interval
	// Readers returns how many processes read the table and tell each other of
	// changes, this one among them. Nil means that it is the only one.
	Readers func() int
	// Processes returns how many processes there are, those among them that leave the
	// reading to others. While the store fails they share the calls that find out when
	// it is back. Nil means that this is the only one.
	Processes func() int
	// IsReader reports whether this process reads the table right now; otherwise others
	// tell it of changes. Nil means that it always does. One that has no copy yet reads
	// in any case.
	IsReader func() bool
	// Sum returns a checksum of a row, by which copies are compared. It must be set for
	// anything that others tell to count.
	Sum func(key string, value T) uint64
	// Publish is called with what a read of this process has changed. It must not call
	// the follower. Nil means that there is nobody to tell.
	Publish func(news Update[T])
	// FailingElsewhere reports whether another process finds the store failing: then it is no use
	// to read only because nobody tells anything, and rows that are missing afterwards
	// may have lapsed. Nil means that nothing is known of others.
	FailingElsewhere func() bool
	// Lapse is how long a row that is missing after an outage stays; zero means
	// not at all.
	Lapse timekeeper.Span
	// ServingOthersSince returns since when the store has served other processes, after an
	// instant and up to now without a gap; zero means that it does not. Rows that are
	// missing a Lapse after that are gone, however long the store has been away for this
	// process. Nil means that nothing is known of others.
	ServingOthersSince func(from timekeeper.Instant) timekeeper.Instant
	// FetchCopy asks another process for its copy of the table and the version that it is
	// of, where the store fails or others have a newer copy. Nil means that nobody can
	// be asked.
	FetchCopy func(ctx context.Context) ([]Change[T], Version, error)
	Seed      uint64
}

// New returns a follower that knows nothing.
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
	if settings.Sum == nil {
		settings.Sum = func(string, T) uint64 { return 0 }
	}
	if settings.Publish == nil {
		settings.Publish = func(Update[T]) {}
	}
	if settings.FailingElsewhere == nil {
		settings.FailingElsewhere = func() bool { return false }
	}
	return &Follower[T]{
		settings: settings,
		draws:    rand.New(rand.NewPCG(settings.Seed, 23)),
		rows:     map[string]T{},
		lapsing:  map[string]timekeeper.Instant{},
		told:     map[string]Version{},
	}
}
