package follower_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// fleetAlone, fleetNear and digestEvery are as entries have them.
	fleetAlone  = 4
	fleetNear   = 1200 * timekeeper.Millisecond
	digestEvery = timekeeper.Second
	storeTakes  = 4 * timekeeper.Millisecond
)

var errAway = eris.New("away")

// sharedTable is a table of the store that many processes follow.
type sharedTable struct {
	mu      sync.Mutex
	rows    map[string]string
	log     []follower.Change[string]
	version follower.Version
	kept    follower.Version
	away    bool
	calls   int
	changed chan struct{}
}

func newSharedTable() *sharedTable {
	return &sharedTable{rows: map[string]string{}, changed: make(chan struct{})}
}

func (table *sharedTable) write(changes ...follower.Change[string]) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, change := range changes {
		table.version++
		table.log = append(table.log, change)
		if change.Removed {
			delete(table.rows, change.Key)
			continue
		}
		table.rows[change.Key] = change.Value
	}
	close(table.changed)
	table.changed = make(chan struct{})
}

// list writes rows of replicas that are ready.
func (table *sharedTable) list(replicas int) {
	for number := range replicas {
		table.write(follower.Change[string]{Key: fmt.Sprintf("r%d", number), Value: "ready"})
	}
}

// now returns the rows, and how many calls there have been.
func (table *sharedTable) now() (rows map[string]string, calls int) {
	table.mu.Lock()
	defer table.mu.Unlock()
	return maps.Clone(table.rows), table.calls
}

// setAway switches the store off or on.
func (table *sharedTable) setAway(away bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.away = away
}

// forget drops the history.
func (table *sharedTable) forget() {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.log, table.kept = nil, table.version
}

// call counts a call and reports whether the store serves it.
func (table *sharedTable) call(ctx context.Context, by *process) error {
	table.mu.Lock()
	table.calls++
	away := table.away || by.turnedAway.Load()
	table.mu.Unlock()
	_ = by.clock.Sleep(ctx, storeTakes)
	if by.hangs.Load() {
		_ = by.clock.Sleep(ctx, 1500*timekeeper.Millisecond)
		return errAway
	}
	if away {
		return errAway
	}
	return ctx.Err()
}

func (table *sharedTable) source(by *process) follower.Source[string] {
	return follower.Source[string]{
		Snapshot: func(ctx context.Context) ([]follower.Change[string], follower.Version, error) {
			if err := table.call(ctx, by); err != nil {
				return nil, 0, err
			}
			table.mu.Lock()
			defer table.mu.Unlock()
			var rows []follower.Change[string]
			for key, value := range table.rows {
				rows = append(rows, follower.Change[string]{Key: key, Value: value})
			}
			return rows, table.version, nil
		},
		Changes: func(
			ctx context.Context, after follower.Version, wait timekeeper.Span,
		) ([]follower.Change[string], follower.Version, error) {
			if err := table.call(ctx, by); err != nil {
				return nil, 0, err
			}
			fired, release := by.clock.After(wait)
			defer release()
			for {
				table.mu.Lock()
				if after < table.kept {
					table.mu.Unlock()
					return nil, 0, follower.ErrHistoryLost
				}
				rows, version, changed := table.log[after-table.kept:], table.version, table.changed
				table.mu.Unlock()
				if len(rows) > 0 {
					return rows, version, nil
				}
				select {
				case <-changed:
				case <-fired:
					return nil, version, nil
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				}
			}
		},
	}
}

// digest is what one process tells the others.
type digest struct {
	member  elector.Member
	listing follower.Listing
	reads   bool
	news    []follower.News[string]
}

// flag is a fault that a test switches on.
type flag struct {
	mu sync.Mutex
	on bool
}

func (flag *flag) Load() bool {
	flag.mu.Lock()
	defer flag.mu.Unlock()
	return flag.on
}

func (flag *flag) Store(on bool) {
	flag.mu.Lock()
	defer flag.mu.Unlock()
	flag.on = on
}

// process is one of the processes that follow the table and tell each other.
type process struct {
	fleet    *processes
	clock    timekeeper.Clock
	own      elector.Member
	follower *follower.Follower[string]

	turnedAway, hangs, cutOff, gone flag

	mu    sync.Mutex
	heard map[string]elector.Member
	at    map[string]timekeeper.Instant
	news  []follower.News[string]
	known map[string]timekeeper.Instant
	rows  map[string]string
}

// processes is a fleet of them.
type processes struct {
	clock timekeeper.Clock
	table *sharedTable
	all   []*process
	mu    sync.Mutex
	draws *rand.Rand
	loss  float64
}

func (fleet *processes) lost() bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.draws.Float64() < fleet.loss
}

func startProcesses(ctx context.Context, table *sharedTable, count, centres int, loss float64, seed uint64) *processes {
	fleet := &processes{clock: timekeeper.Steady(), table: table, loss: loss, draws: rand.New(rand.NewPCG(seed, 5))}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for number := range count {
		one := &process{
			fleet: fleet, clock: fleet.clock, heard: map[string]elector.Member{}, at: map[string]timekeeper.Instant{},
			known: map[string]timekeeper.Instant{},
			own:   elector.Member{Address: fmt.Sprintf("10.0.0.%d:7", number), DataCentre: uint32(number % centres)},
		}
		one.follower = follower.New(follower.Settings[string]{
			Name: "test", Clock: fleet.clock, Log: log, Source: table.source(one), Seed: seed + uint64(number),
			Apply: one.apply, Lapse: 2200, Sum: func(key, value string) uint64 { return xxhash.Sum64String(key + "=" + value) },
			Pace: follower.Pacing{Least: 450, Most: 4000, Alone: 1}, Wait: follower.Every(1500),
			Readers: one.takingTurns, Sharers: func() int { return len(one.members()) }, Reads: one.reads, Doubted: one.doubted,
			Tell: one.tell, Copy: one.copy,
		})
		fleet.all = append(fleet.all, one)
	}
	for _, one := range fleet.all {
		go one.follower.Run(ctx)
		go one.digests(ctx)
	}
	return fleet
}

func (one *process) apply(rows map[string]string, _ follower.Version) {
	now := one.clock.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	for key, value := range rows {
		if one.rows[key] != value {
			one.known[key+"="+value] = now
		}
	}
	for key := range one.rows {
		if _, found := rows[key]; !found {
			one.known[key+" gone"] = now
		}
	}
	one.rows = rows
}

// members returns the processes that are near, this one among them.
func (one *process) members() []elector.Member {
	now := one.clock.Now()
	own := one.own
	own.Failing = one.follower.Failing()
	one.mu.Lock()
	defer one.mu.Unlock()
	members := []elector.Member{own}
	for address, at := range one.at {
		if now.Since(at) <= fleetNear {
			members = append(members, one.heard[address])
		}
	}
	return members
}

func (one *process) reads() bool {
	return elector.Has(elector.Readers(one.members(), fleetAlone), one.own.Address)
}

func (one *process) takingTurns() int {
	members := one.members()
	if len(members) <= fleetAlone {
		return 1
	}
	return max(1, len(elector.Readers(members, fleetAlone)))
}

func (one *process) doubted() bool {
	for _, member := range one.members()[1:] {
		if member.Failing {
			return true
		}
	}
	return false
}

func (one *process) tell(news follower.News[string]) {
	one.mu.Lock()
	one.news = append(one.news, news)
	one.mu.Unlock()
	// A lock of the follower is held; the digest goes out on its own.
	go one.send()
}

func (one *process) copy(context.Context) ([]follower.Change[string], follower.Version, error) {
	for _, other := range one.fleet.all {
		if other != one && !other.unheard() && !one.unheard() {
			if rows, version, known := other.follower.Rows(); known {
				return rows, version, nil
			}
		}
	}
	return nil, 0, errAway
}

func (one *process) unheard() bool { return one.cutOff.Load() || one.gone.Load() }

// digests sends a digest now and then.
func (one *process) digests(ctx context.Context) {
	for ctx.Err() == nil {
		one.send()
		_ = one.clock.Sleep(ctx, digestEvery-timekeeper.Span(rand.Int64N(50)))
	}
}

func (one *process) send() {
	if one.unheard() {
		return
	}
	out := digest{member: one.own}
	out.member.Failing = one.follower.Failing()
	out.listing, out.reads = one.follower.Listing()
	one.mu.Lock()
	out.news = one.news
	one.news = nil
	one.mu.Unlock()
	for _, other := range one.fleet.all {
		if other != one && !other.unheard() && !one.fleet.lost() {
			other.hear(out)
		}
	}
}

func (one *process) hear(in digest) {
	one.mu.Lock()
	one.heard[in.member.Address], one.at[in.member.Address] = in.member, one.clock.Now()
	one.mu.Unlock()
	for _, news := range in.news {
		one.follower.Told(news)
	}
	if in.reads {
		one.follower.Compare(in.listing)
	}
}

// heartbeats writes all rows of replicas again and again, as replicas do.
func heartbeats(ctx context.Context, clock timekeeper.Clock, table *sharedTable, replicas int) {
	number := 0
	for ctx.Err() == nil {
		table.mu.Lock()
		key := fmt.Sprintf("r%d", number%replicas)
		value, found := table.rows[key]
		away := table.away
		table.mu.Unlock()
		if found && !away {
			table.write(follower.Change[string]{Key: key, Value: value})
		}
		number++
		_ = clock.Sleep(ctx, 100)
	}
}

// leaveBound is within what time a replica that leaves must be known everywhere: it
// serves two seconds more.
const leaveBound = 2 * timekeeper.Second

func TestAFewReadForAll(t *testing.T) {
	// Twenty-four processes follow a list whose rows are written ten times a second, and
	// a few of them read it. Whatever happens to those, a caller must never be sent to a
	// replica that left two seconds ago, and a replica that joined gets work at once.
	// Each case breaks something and lets a replica leave and another join in the same
	// moment; those that are cut off for good, or gone, are not asked.
	tests := []struct {
		name string
		loss float64
		// fail breaks something, given the processes and those that read.
		fail func(fleet *processes, readers []*process)
		// calls is how many the store may get in the ten seconds after that.
		calls int
	}{
		{"nothing happens", 0, func(*processes, []*process) {}, 35},
		{"digests are lost", 0.05, func(*processes, []*process) {}, 60},
		{"a reader hangs", 0, func(_ *processes, readers []*process) { readers[0].hangs.Store(true) }, 45},
		{"a reader is turned away alone", 0, func(_ *processes, readers []*process) { readers[0].turnedAway.Store(true) }, 45},
		{"all readers are turned away", 0, func(_ *processes, readers []*process) {
			for _, reader := range readers {
				reader.turnedAway.Store(true)
			}
		}, 60},
		{"a reader is cut off from the others", 0, func(_ *processes, readers []*process) { readers[0].cutOff.Store(true) }, 60},
		{"one that doesn't read is cut off", 0, func(fleet *processes, _ []*process) {
			for _, one := range fleet.all {
				if !one.reads() {
					one.cutOff.Store(true)
					return
				}
			}
		}, 60},
		{"a reader is gone", 0, func(_ *processes, readers []*process) {
			readers[0].gone.Store(true)
			readers[0].hangs.Store(true)
		}, 45},
		{"all readers are gone at once", 0, func(_ *processes, readers []*process) {
			for _, reader := range readers {
				reader.gone.Store(true)
				reader.hangs.Store(true)
			}
		}, 70},
		{"the history is lost", 0, func(fleet *processes, _ []*process) { fleet.table.forget() }, 45},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playFailure(t, test.loss, test.fail, test.calls, seed) })
			})
		}
	}
}

// playFailure breaks something in a fleet, lets a replica leave, one go and one join, and
// checks when that is known and what it costs.
func playFailure(
	t *testing.T, loss float64, fail func(fleet *processes, readers []*process), calls int, seed uint64,
) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	table := newSharedTable()
	table.list(12)
	fleet := startProcesses(ctx, table, 24, 3, loss, seed)
	go heartbeats(ctx, fleet.clock, table, 12)
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	var readers []*process
	for _, one := range fleet.all {
		if one.reads() {
			readers = append(readers, one)
		}
	}
	if len(readers) < 4 || len(readers) > 9 {
		t.Fatalf("%d readers", len(readers))
	}
	_, before := table.now()
	fail(fleet, readers)
	_ = fleet.clock.Sleep(ctx, timekeeper.Span(seed)*200)
	written := fleet.clock.Now()
	table.write(
		follower.Change[string]{Key: "r1", Value: "leaving"}, follower.Change[string]{Key: "r2", Removed: true},
		follower.Change[string]{Key: "new", Value: "ready"},
	)
	_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
	rows, after := table.now()
	if after-before > calls {
		t.Errorf("%d calls", after-before)
	}
	for _, one := range fleet.all {
		if !one.gone.Load() {
			one.check(t, rows, written)
		}
	}
}

// check checks that a process knows the rows, and knew what was written soon after.
func (one *process) check(t *testing.T, rows map[string]string, written timekeeper.Instant) {
	t.Helper()
	one.mu.Lock()
	defer one.mu.Unlock()
	for _, what := range []string{"r1=leaving", "r2 gone", "new=ready"} {
		if at, found := one.known[what]; !found || at.Since(written) > leaveBound {
			t.Errorf("%s: %s known after %d ms", one.own.Address, what, at.Since(written))
		}
	}
	if !maps.Equal(one.rows, rows) {
		t.Errorf("%s: %v of %v", one.own.Address, one.rows, rows)
	}
}

func TestAnOutageCostsFewCalls(t *testing.T) {
	// The store is away for eight seconds, drops its history and has lost rows that
	// lapsed meanwhile, all but one of which are written again. A hundred processes do
	// not ask it twice a second each; within a moment of its return all go on with the
	// rows that they had, and the replica that died is gone two seconds later.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := newSharedTable()
		table.list(12)
		fleet := startProcesses(ctx, table, 100, 6, 0, 1)
		go heartbeats(ctx, fleet.clock, table, 12)
		_ = fleet.clock.Sleep(ctx, 10*timekeeper.Second)
		_, before := table.now()
		table.setAway(true)
		_ = fleet.clock.Sleep(ctx, 8*timekeeper.Second)
		if _, calls := table.now(); calls-before > 200 {
			t.Errorf("%d calls in the outage", calls-before)
		}
		table.write(follower.Change[string]{Key: "r1", Removed: true}, follower.Change[string]{Key: "r2", Removed: true})
		table.forget()
		table.setAway(false)
		_ = fleet.clock.Sleep(ctx, 1000)
		table.write(follower.Change[string]{Key: "r2", Value: "ready"})
		for _, one := range fleet.all {
			one.mu.Lock()
			if len(one.rows) != 12 {
				t.Errorf("%s: %d rows a second after the return", one.own.Address, len(one.rows))
			}
			one.mu.Unlock()
		}
		_ = fleet.clock.Sleep(ctx, 5*timekeeper.Second)
		rows, _ := table.now()
		for _, one := range fleet.all {
			one.mu.Lock()
			if !maps.Equal(one.rows, rows) {
				t.Errorf("%s: %d of %d rows", one.own.Address, len(one.rows), len(rows))
			}
			one.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
