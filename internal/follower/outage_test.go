package follower

import (
	"context"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestRowsThatLapsedInAnOutage(t *testing.T) {
	// The store is away for seconds, and rows of replicas that live have lapsed
	// meanwhile. They stay for a while after it is back; who writes its row again
	// goes on, the other is gone.
	table, clock := newTable(), newClock()
	table.put("lives", 1)
	table.put("died", 1)
	follower, copied := follow(table, clock, 2200)
	step := func() { follower.Step(context.Background()) }
	step()
	table.fail = eris.New("away")
	step()
	clock.Advance(3000)
	table.fail = nil
	table.remove("lives")
	table.remove("died")
	step()
	Convey("both stay at first", t, func() { So(copied(), ShouldResemble, map[string]int{"lives": 1, "died": 1}) })
	clock.Advance(1500)
	table.put("lives", 2)
	step()
	Convey("one is written again", t, func() { So(copied(), ShouldResemble, map[string]int{"lives": 2, "died": 1}) })
	clock.Advance(800)
	step()
	Convey("the other is gone", t, func() { So(copied(), ShouldResemble, map[string]int{"lives": 2}) })
	table.remove("lives")
	step()
	Convey("later removals count at once", t, func() { So(copied(), ShouldBeEmpty) })
}

func TestAShortFailureMakesNothingLapse(t *testing.T) {
	table, clock := newTable(), newClock()
	table.put("a", 1)
	follower, copied := follow(table, clock, 2200)
	follower.Step(context.Background())
	table.fail = eris.New("away")
	follower.Step(context.Background())
	clock.Advance(outage - 1)
	table.fail = nil
	table.remove("a")
	follower.Step(context.Background())
	Convey("a removal counts at once", t, func() { So(copied(), ShouldBeEmpty) })
}

func TestALapsedRowGoesInTimeThoughNothingChanges(t *testing.T) {
	// After an outage a replica's row is missing, and no row changes for seconds: the store
	// holds the read for changes as long as it was asked to. The row is gone when its time
	// is over, not when the next change comes; a caller's request would go to a replica
	// that has left. A store that does not answer then says nothing: the row stays until it
	// does.
	tests := []struct {
		name   string
		silent bool
		want   map[string]int
	}{{"the store answers", false, map[string]int{}}, {"the store is silent", true, map[string]int{"died": 1}}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("died", 1)
			waiting := make(chan struct{}, 1)
			source := table.source()
			waits := false
			copied := map[string]int{}
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Lapse: 2200, Wait: FixedInterval(20 * timekeeper.Second),
				Apply: func(rows map[string]int, _ Version) { copied = rows },
				Source: Source[int]{
					Snapshot: source.Snapshot,
					Changes: func(ctx context.Context, after Version, wait timekeeper.Span) ([]Change[int], Version, error) {
						if !waits {
							return source.Changes(ctx, after, wait)
						}
						fired, release := clock.Clock().After(wait)
						defer release()
						waiting <- struct{}{}
						<-fired
						if test.silent {
							return nil, 0, eris.New("no answer")
						}
						return nil, table.version, nil
					},
				},
			})
			ctx := t.Context()
			follower.Step(ctx)
			table.fail = eris.New("away")
			follower.Step(ctx)
			clock.Advance(3000)
			table.fail = nil
			table.remove("died")
			follower.Step(ctx)
			So(copied, ShouldResemble, map[string]int{"died": 1})
			waits = true
			done := make(chan timekeeper.Span)
			go func() { done <- follower.Step(ctx) }()
			<-waiting
			clock.Advance(2200)
			<-done
			So(copied, ShouldResemble, test.want)
			So(follower.Failing(), ShouldEqual, test.silent)
		})
	}
}

func TestACopyThatKeepsMissingRows(t *testing.T) {
	// The store is back after an outage for one process, which keeps rows that lapsed
	// meanwhile, and turns another away, which takes that copy. One replica writes its row
	// again, the other died. Who took the copy had the dead one for good, gave it work, and
	// told others that the table has it.
	table, clock := newTable(), newClock()
	table.put("lives", 1)
	table.put("died", 1)
	sum := func(key string, value int) uint64 { return uint64(len(key) + 100*value) }
	lender := New(Settings[int]{
		Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200, Sum: sum,
		Apply: func(map[string]int, Version) {},
	})
	lender.Step(t.Context())
	table.fail = eris.New("away")
	lender.Step(t.Context())
	clock.Advance(3000)
	table.fail = nil
	table.remove("lives")
	table.remove("died")
	lender.Step(t.Context())
	copied, turnedAway := map[string]int{}, true
	source := table.source()
	borrower := New(Settings[int]{
		Name: "test", Clock: clock.Clock(), Log: quiet(), Lapse: 2200, Sum: sum,
		Apply: func(rows map[string]int, _ Version) { copied = rows },
		FetchCopy: func(context.Context) ([]Change[int], Version, error) {
			rows, version, _ := lender.Rows()
			return rows, version, nil
		},
		Source: Source[int]{
			Snapshot: func(context.Context) ([]Change[int], Version, error) { return nil, 0, eris.New("turned away") },
			Changes: func(ctx context.Context, after Version, wait timekeeper.Span) ([]Change[int], Version, error) {
				if turnedAway {
					return nil, 0, eris.New("turned away")
				}
				return source.Changes(ctx, after, wait)
			},
		},
	})
	borrower.Step(t.Context())
	Convey("it serves with all rows and tells nobody of them", t, func() {
		So(copied, ShouldResemble, map[string]int{"lives": 1, "died": 1})
		borrower.answered = clock.Now()
		_, tells := borrower.Summary()
		So(tells, ShouldBeFalse)
	})
	clock.Advance(900)
	table.put("lives", 2)
	turnedAway = false
	borrower.Step(t.Context())
	clock.Advance(1300)
	borrower.Step(t.Context())
	Convey("the dead one goes when its time is over", t, func() {
		So(copied, ShouldResemble, map[string]int{"lives": 2})
	})
}

func TestNothingIsToldOfRowsThatAreMissing(t *testing.T) {
	// A replica begins to leave, and in the outage that follows its row lapses; a reader
	// gets both in one answer. It told others of the row as it was last, they took that for
	// the table's, and had the replica for good.
	table, clock := newTable(), newClock()
	table.put("stays", 1)
	table.put("leaves", 1)
	var told []Update[int]
	follower := New(Settings[int]{
		Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200,
		Sum:   func(key string, value int) uint64 { return uint64(len(key) + 100*value) },
		Apply: func(map[string]int, Version) {}, Publish: func(news Update[int]) { told = append(told, news) },
	})
	step := func() { follower.Step(t.Context()) }
	step()
	table.fail = eris.New("away")
	step()
	clock.Advance(3000)
	table.fail = nil
	table.put("stays", 2)
	table.put("leaves", 2)
	table.remove("leaves")
	step()
	Convey("until it is gone", t, func() {
		So(told, ShouldResemble, []Update[int]{{Version: table.version, Changes: []Change[int]{{Key: "stays", Value: 2}}}})
		clock.Advance(2200)
		step()
		So(told[1:], ShouldResemble, []Update[int]{{Version: table.version, Changes: []Change[int]{{Key: "leaves", Removed: true}}}})
	})
}

func TestWhatOthersWereServedBeforeAnOutage(t *testing.T) {
	// A process leaves the reading to others, the store goes away, and all rows lapse. The
	// others were served a moment before that, after its own copy was last confirmed. That
	// counted as the store's return: as soon as it was back, all replicas were gone.
	tests := []struct {
		name string
		// fails reports whether the process itself asks the store in the outage, notices
		// whether it hears that others find it failing before it reads.
		fails, notices bool
	}{{"it fails too", true, true}, {"it only hears of it", false, true}, {"it hears of it as it reads", false, false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("lives", 1)
			copied, doubted := map[string]int{}, false
			served := clock.Now().Add(1000)
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200,
				Apply:    func(rows map[string]int, _ Version) { copied = rows },
				IsReader: func() bool { return false }, FailingElsewhere: func() bool { return doubted },
				ServingOthersSince: func(from timekeeper.Instant) timekeeper.Instant {
					if served > from && clock.Now().Since(served) <= sharedOutage {
						return served
					}
					return 0
				},
			})
			follower.Step(t.Context())
			clock.Advance(2000)
			doubted = true
			if test.notices {
				So(follower.duty(), ShouldEqual, idle)
			}
			if test.fails {
				table.fail = eris.New("away")
				follower.Step(t.Context())
				table.fail = nil
			}
			clock.Advance(3000)
			table.remove("lives")
			follower.Step(t.Context())
			So(copied, ShouldResemble, map[string]int{"lives": 1})
		})
	}
}

func TestAnOutageThatOnlyOthersNoticed(t *testing.T) {
	// The store is away for seconds, and rows lapse. This process leaves the reading to
	// others and never asked; when it reads, all others have found the store back. It took
	// the rows for gone and told everyone, and callers lost replicas that live.
	tests := []struct {
		name string
		// confirmed reports that a reader told of its copy after the outage.
		confirmed bool
		want      map[string]int
	}{
		{"nobody has told of the table since", false, map[string]int{"lives": 1}},
		{"a reader has told that the copy holds", true, map[string]int{}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("lives", 1)
			copied, doubted := map[string]int{}, false
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200,
				Sum:      func(string, int) uint64 { return 7 },
				Apply:    func(rows map[string]int, _ Version) { copied = rows },
				IsReader: func() bool { return false }, FailingElsewhere: func() bool { return doubted },
			})
			follower.Step(t.Context())
			clock.Advance(1000)
			doubted = true
			So(follower.duty(), ShouldEqual, idle)
			clock.Advance(3000)
			doubted = false
			if test.confirmed {
				follower.Compare(Summary{Version: table.version, Sum: 7, At: clock.Now()})
			}
			table.remove("lives")
			follower.Step(t.Context())
			So(copied, ShouldResemble, test.want)
			clock.Advance(2200)
			follower.Step(t.Context())
			So(copied, ShouldBeEmpty)
		})
	}
}

func TestRowsThatAnotherFoundAgain(t *testing.T) {
	// Rows lapse in an outage, and a process keeps them for a while. They are written
	// again; before the process reads that, another tells of a copy that is the same and
	// newer, so the changes up to then are never read here. The rows were dropped when
	// their time was over, and callers lost replicas that live.
	tests := []struct {
		name string
		// newer is by how many versions the other's copy is newer, other what it has.
		newer Version
		other map[string]int
		want  map[string]int
	}{
		{"the other has them at a newer version", 2, map[string]int{"a": 1, "b": 1}, map[string]int{"a": 1, "b": 1}},
		{"the other has them at the version that lacks them", 0, map[string]int{"a": 1, "b": 1}, map[string]int{}},
		{"the other has one of them", 1, map[string]int{"a": 1}, map[string]int{}},
	}
	sum := func(key string, value int) uint64 { return uint64(key[0])<<32 + uint64(value) }
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("a", 1)
			table.put("b", 1)
			copied := map[string]int{}
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200, Sum: sum,
				Apply: func(rows map[string]int, _ Version) { copied = rows },
			})
			step := func() { follower.Step(context.Background()) }
			step()
			table.fail = eris.New("away")
			step()
			clock.Advance(3000)
			table.fail = nil
			table.remove("a")
			table.remove("b")
			step()
			So(copied, ShouldResemble, map[string]int{"a": 1, "b": 1})
			listing := Summary{Version: table.version + test.newer}
			for key, value := range test.other {
				listing.Sum ^= sum(key, value)
			}
			follower.Compare(listing)
			table.version = listing.Version
			table.kept, table.log = listing.Version, nil
			clock.Advance(2200)
			step()
			So(copied, ShouldResemble, test.want)
		})
	}
}

func TestRowsThatWentWhileOthersWereServed(t *testing.T) {
	// The store turns this process away for seconds and serves others. A row that
	// is missing afterwards has not lapsed: its replica has left, and peers know.
	tests := []struct {
		name string
		// served is how long before the end of the outage others were served first.
		served timekeeper.Span
		want   map[string]int
	}{
		{"others were served all the while", 4500, map[string]int{}},
		{"the store came back for others long enough ago", 2200, map[string]int{}},
		{"the store came back for others a moment ago", 2199, map[string]int{"left": 1}},
		{"nobody was served", 0, map[string]int{"left": 1}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("left", 1)
			var from timekeeper.Instant
			copied := map[string]int{}
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: table.source(), Lapse: 2200,
				Apply: func(rows map[string]int, _ Version) { copied = rows },
				ServingOthersSince: func(begin timekeeper.Instant) timekeeper.Instant {
					from = begin
					if test.served == 0 {
						return 0
					}
					return clock.Now().Add(-test.served)
				},
			})
			follower.Step(context.Background())
			table.fail = eris.New("turned away")
			begin := clock.Now()
			follower.Step(context.Background())
			clock.Advance(5000)
			table.fail = nil
			table.remove("left")
			follower.Step(context.Background())
			So(copied, ShouldResemble, test.want)
			So(from, ShouldEqual, begin)
		})
	}
}
