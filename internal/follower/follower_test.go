package follower

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// table is a table of the store as a source, with faults.
type table struct {
	rows    map[string]int
	log     []Change[int]
	version Version
	// kept is the version from which on changes are known.
	kept Version
	fail error
	// stale is how many versions the answers are behind.
	stale Version
}

func newTable() *table { return &table{rows: map[string]int{}, version: 1, kept: 1} }

func (table *table) put(key string, value int) {
	table.version++
	table.rows[key] = value
	table.log = append(table.log, Change[int]{Key: key, Value: value})
}

func (table *table) remove(key string) {
	table.version++
	delete(table.rows, key)
	table.log = append(table.log, Change[int]{Key: key, Removed: true})
}

func (table *table) compact() {
	table.kept, table.log = table.version, nil
}

func (table *table) source() Source[int] {
	return Source[int]{
		Snapshot: func(context.Context) ([]Change[int], Version, error) {
			rows := make([]Change[int], 0, len(table.rows))
			for key, value := range table.rows {
				rows = append(rows, Change[int]{Key: key, Value: value})
			}
			return rows, table.version - table.stale, table.fail
		},
		Changes: func(_ context.Context, after Version, _ timekeeper.Span) ([]Change[int], Version, error) {
			if table.fail != nil {
				return nil, 0, table.fail
			}
			if after < table.kept {
				return nil, 0, ErrHistoryLost
			}
			return table.log[after-table.kept:], table.version, nil
		},
	}
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// follow returns a follower of the table, and the copies that it applied last.
func follow(table *table, clock *timekeeper.Manual, lapse timekeeper.Span) (*Follower[int], func() map[string]int) {
	var last map[string]int
	follower := New(Settings[int]{
		Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: lapse,
		Apply: func(rows map[string]int, _ Version) { last = rows },
	})
	return follower, func() map[string]int { return last }
}

func newClock() *timekeeper.Manual {
	return timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
}

func TestACopyFollowsItsTable(t *testing.T) {
	// The table changes in any way, its history is lost, calls fail, answers are
	// old. Whenever a read succeeds the copy is what the table was at that version,
	// and it never goes back.
	rapid.Check(t, func(t *rapid.T) {
		table, clock := newTable(), newClock()
		follower, copied := follow(table, clock, 0)
		last := Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				table.put(key, rapid.Int().Draw(t, "value"))
			case 2:
				if _, found := table.rows[key]; found {
					table.remove(key)
				}
			case 3:
				table.compact()
			case 4:
				table.fail = eris.New("away")
			default:
				table.fail = nil
			}
			table.stale = Version(rapid.IntRange(0, 1).Draw(t, "stale"))
			follower.Step(context.Background())
			clock.Advance(100)
			if follower.version < last {
				t.Fatalf("went back from %d to %d", last, follower.version)
			}
			last = follower.version
			if table.fail == nil && table.stale == 0 && !maps.Equal(copied(), table.rows) && len(copied())+len(table.rows) > 0 {
				t.Fatalf("copy %v of %v", copied(), table.rows)
			}
		}
	})
}

func TestPausesOfAStoreThatFails(t *testing.T) {
	// The pause grows to a bound, with jitter, and is gone after a success.
	table, clock := newTable(), newClock()
	follower, _ := follow(table, clock, 0)
	table.fail = eris.New("away")
	Convey("pauses", t, func() {
		for range 12 {
			So(follower.Step(context.Background()), ShouldBeBetweenOrEqual, firstPause/2, longestPause)
		}
		So(follower.Synced(), ShouldBeFalse)
		table.fail = nil
		So(follower.Step(context.Background()), ShouldEqual, 0)
		So(follower.Synced(), ShouldBeTrue)
		So(follower.LastAnswered(), ShouldEqual, clock.Now())
		table.fail = eris.New("away")
		So(follower.Step(context.Background()), ShouldBeLessThanOrEqualTo, firstPause)
	})
}

func TestACopyNeverGoesBack(t *testing.T) {
	// A row was taken away: a replica that left, a key that was revoked. The next
	// answer comes from a machine of the store that is behind and still has it. If it
	// counted, work would go to the replica again, and the key would be let in.
	tests := []struct {
		name    string
		changes func(context.Context, Version, timekeeper.Span) ([]Change[int], Version, error)
	}{
		{"old changes", func(context.Context, Version, timekeeper.Span) ([]Change[int], Version, error) {
			return []Change[int]{{Key: "left", Value: 1}}, 3, nil
		}},
		{"an old table after the history is lost", func(context.Context, Version, timekeeper.Span) ([]Change[int], Version, error) {
			return nil, 0, ErrHistoryLost
		}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			version, rows := Version(5), []Change[int]{{Key: "stays", Value: 1}}
			var copied map[string]int
			clock := newClock()
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Apply: func(rows map[string]int, _ Version) { copied = rows },
				Source: Source[int]{
					Snapshot: func(context.Context) ([]Change[int], Version, error) { return rows, version, nil },
					Changes:  test.changes,
				},
			})
			follower.Step(context.Background())
			So(follower.version, ShouldEqual, 5)
			version, rows = 3, []Change[int]{{Key: "stays", Value: 1}, {Key: "left", Value: 1}}
			clock.Advance(timekeeper.Minute)
			follower.Step(context.Background())
			So(follower.version, ShouldEqual, 5)
			So(copied, ShouldResemble, map[string]int{"stays": 1})
		})
	}
}

func TestReadersShareTheCalls(t *testing.T) {
	// Dozens of processes read one table. Together they read as often as a few
	// would, and each still for itself within a bound.
	pacing := Interval{Min: 450, Max: 1300, MaxUnshared: 4}
	tests := []struct {
		readers int
		want    timekeeper.Span
	}{{0, 450}, {1, 450}, {4, 450}, {6, 675}, {8, 900}, {12, 1300}, {400, 1300}}
	for _, test := range tests {
		Convey(test.want.String(), t, func() {
			So(pacing.For(test.readers), ShouldEqual, test.want)
			So(FixedInterval(25).For(test.readers), ShouldEqual, 25)
		})
	}
	Convey("a follower goes by its readers", t, func() {
		table, readers := newTable(), 1
		source := table.source()
		waited := timekeeper.Span(0)
		changes := source.Changes
		source.Changes = func(ctx context.Context, after Version, wait timekeeper.Span) ([]Change[int], Version, error) {
			waited = wait
			return changes(ctx, after, wait)
		}
		follower := New(Settings[int]{
			Name: "test", Clock: timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour)).Clock(), Log: quiet(), Source: source,
			Apply: func(map[string]int, Version) {}, ReadInterval: pacing, Wait: Interval{Min: 1500, Max: 3000, MaxUnshared: 4},
			Readers: func() int { return readers },
		})
		So(follower.Step(t.Context()), ShouldEqual, 450)
		readers = 8
		So(follower.Step(t.Context()), ShouldEqual, 900)
		So(waited, ShouldBeBetweenOrEqual, 1500, 4500)
	})
}

func TestReadersDoNotReadInStep(t *testing.T) {
	// Thirty processes share the reading, and one change wakes all of them. If all
	// waited for the same span, they would read together for good, seconds apart, and a
	// replica that leaves in between would get work all that time. Each span is drawn, so
	// that after a few reads some process reads every few hundred milliseconds.
	const readers, fleetGap = 30, 450
	pacing := Interval{Min: fleetGap, Max: 4000, MaxUnshared: 4}
	draws := rand.New(rand.NewPCG(1, 2))
	var reads []timekeeper.Span
	for range readers {
		at := timekeeper.Span(0)
		for at < timekeeper.Minute {
			at += pacing.spread(pacing.For(readers), draws.Float64())
			reads = append(reads, at)
		}
	}
	slices.Sort(reads)
	Convey("the longest time that nobody reads is short", t, func() {
		longest := timekeeper.Span(0)
		for i := 1; i < len(reads) && reads[i] < timekeeper.Minute; i++ {
			if reads[i-1] > 10*timekeeper.Second {
				longest = max(longest, reads[i]-reads[i-1])
			}
		}
		So(longest, ShouldBeLessThan, 1200)
	})
}

func TestAReaderThatIsLeftAloneReadsSoon(t *testing.T) {
	// A process shares the reading with eleven others and rests for more than a second.
	// It is cut off from them: what they would tell doesn't come. It reads by itself
	// within half a second, not when its rest would have been over.
	Convey("the rest ends early", t, func() {
		table, readers := newTable(), atomic.Int64{}
		readers.Store(40)
		clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
		follower := New(Settings[int]{
			Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Apply: func(map[string]int, Version) {},
			ReadInterval: Interval{Min: 450, Max: 4000, MaxUnshared: 4}, Readers: func() int { return int(readers.Load()) },
		})
		follower.Step(t.Context())
		clock.Advance(settling)
		rested := make(chan timekeeper.Span, 1)
		began := clock.Now()
		go func() {
			follower.rest(t.Context())
			rested <- clock.Now().Since(began)
		}()
		for len(rested) == 0 {
			clock.Advance(10)
			if clock.Now().Since(began) > 300 {
				readers.Store(1)
			}
			runtime.Gosched()
		}
		So(<-rested, ShouldBeLessThan, 1000)
	})
}

func TestATableThatMayStillFill(t *testing.T) {
	// All processes have started again after an outage, and rows that lapsed come back
	// within two seconds. A process that went on with the few rows it found first would
	// send all work there for seconds.
	Convey("is read often", t, func() {
		table := newTable()
		clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
		follower := New(Settings[int]{
			Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Apply: func(map[string]int, Version) {},
			ReadInterval: Interval{Min: 450, Max: 4000, MaxUnshared: 4}, Readers: func() int { return 40 }, Lapse: 2200,
		})
		So(follower.Step(t.Context()), ShouldEqual, 900)
		clock.Advance(settling)
		So(follower.Step(t.Context()), ShouldEqual, 4000)
		table.fail = eris.New("away")
		follower.Step(t.Context())
		clock.Advance(2 * outage)
		table.fail = nil
		So(follower.Step(t.Context()), ShouldEqual, 450)
		clock.Advance(2300)
		So(follower.Step(t.Context()), ShouldEqual, 900)
		clock.Advance(2000)
		So(follower.Step(t.Context()), ShouldEqual, 4000)
	})
}

func TestRowsFromAnotherProcess(t *testing.T) {
	// The store turns a process away that has just started. Another process has a copy
	// of the table: with it the process can work. A copy that is older than what it has
	// changes nothing, and a newer one takes rows away that are gone.
	table := newTable()
	table.fail = eris.New("turned away")
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	copied, version, asked := []Change[int]{{Key: "a", Value: 1}, {Key: "b", Value: 2}}, Version(7), 0
	var rows map[string]int
	follower := New(Settings[int]{
		Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(),
		Apply: func(applied map[string]int, _ Version) { rows = applied },
		FetchCopy: func(context.Context) ([]Change[int], Version, error) {
			asked++
			return copied, version, nil
		},
	})
	step := func(span timekeeper.Span) {
		clock.Advance(span)
		follower.Step(t.Context())
	}
	Convey("are taken in", t, func() {
		step(0)
		So(rows, ShouldResemble, map[string]int{"a": 1, "b": 2})
		So(follower.Synced(), ShouldBeTrue)
		So(follower.LastAnswered(), ShouldEqual, 0)
		Convey("not again and again, and not older ones", func() {
			step(100)
			So(asked, ShouldEqual, 1)
			copied, version = []Change[int]{{Key: "c", Value: 3}}, 6
			step(borrowEvery)
			So(asked, ShouldEqual, 2)
			So(rows, ShouldResemble, map[string]int{"a": 1, "b": 2})
			copied, version = []Change[int]{{Key: "b", Value: 5}}, 9
			step(borrowEvery)
			So(rows, ShouldResemble, map[string]int{"b": 5})
		})
	})
}
