package follower_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// digest is what one process tells the others.
type digest struct {
	member  elector.Member
	listing follower.Summary
	reads   bool
	served  timekeeper.Instant
	news    []follower.Update[string]
	leaves  []leave
}

// leave is a replica that a process saw leave or go, at a version of the table.
type leave struct {
	replica string
	version follower.Version
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

	// stop ends the process.
	stop context.CancelFunc

	mu     sync.Mutex
	heard  map[string]elector.Member
	at     map[string]timekeeper.Instant
	served []timekeeper.Instant
	news   []follower.Update[string]
	leaves []leave
	known  map[string]timekeeper.Instant
	rows   map[string]string
	// fleet is what the process would choose from, fewest how many replicas could get
	// work at the least since that was reset.
	balancer *balancer.Fleet
	fewest   int
}

// processes is a fleet of them.
type processes struct {
	clock timekeeper.Clock
	table *sharedTable
	all   []*process
	// centres is over how many data centres the processes are spread.
	centres int
	log     logrus.FieldLogger
	mu      sync.Mutex
	draws   *rand.Rand
	loss    float64
}

func (fleet *processes) lost() bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.draws.Float64() < fleet.loss
}

// jitter returns by how much a digest comes early.
func (fleet *processes) jitter() timekeeper.Span {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return timekeeper.Span(fleet.draws.Int64N(50))
}

func startProcesses(ctx context.Context, table *sharedTable, count, centres int, loss float64, seed uint64) *processes {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fleet := &processes{
		clock: timekeeper.Steady(), table: table, centres: centres, loss: loss, log: log, all: make([]*process, count),
		draws: rand.New(rand.NewPCG(seed, 5)),
	}
	for number := range fleet.all {
		fleet.all[number] = fleet.make(number, seed)
	}
	for _, one := range fleet.all {
		one.start(ctx)
	}
	return fleet
}

// make returns a process that has not started.
func (fleet *processes) make(number int, seed uint64) *process {
	one := &process{
		fleet: fleet, clock: fleet.clock, heard: map[string]elector.Member{}, at: map[string]timekeeper.Instant{},
		known: map[string]timekeeper.Instant{}, balancer: balancer.New(balancer.Settings{Seed: seed}),
		own: elector.Member{Address: fmt.Sprintf("10.0.0.%d:7", number), DataCentre: uint32(number % fleet.centres)},
	}
	one.follower = follower.New(follower.Settings[string]{
		Name: "test", Clock: fleet.clock, Log: fleet.log, Source: fleet.table.source(one), Seed: seed + uint64(number),
		Apply: one.apply, Confirm: one.confirm, Lapse: 2200, Sum: func(key, value string) uint64 { return xxhash.Sum64String(key + "=" + value) },
		ReadInterval: follower.Interval{Min: 450, Max: 4000, MaxUnshared: 1}, Wait: follower.Every(1500),
		Readers: one.takingTurns, Processes: func() int { return len(one.members()) }, IsReader: one.reads, FailingElsewhere: one.doubted,
		Publish: one.tell, FetchCopy: one.copy, OthersServed: one.othersServed,
	})
	return one
}

func (one *process) start(ctx context.Context) {
	ctx, one.stop = context.WithCancel(ctx)
	go one.follower.Run(ctx)
	go one.digests(ctx)
}

// restart ends a process without a word; the same one starts with nothing after a while.
func (fleet *processes) restart(ctx context.Context, number int, after timekeeper.Span, seed uint64) {
	fleet.all[number].gone.Store(true)
	fleet.all[number].stop()
	_ = fleet.clock.Sleep(ctx, after)
	one := fleet.make(number, seed)
	fleet.mu.Lock()
	fleet.all[number] = one
	fleet.mu.Unlock()
	one.start(ctx)
}

// running returns the processes as they are now.
func (fleet *processes) running() []*process {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return slices.Clone(fleet.all)
}

func (one *process) apply(rows map[string]string, version follower.Version) {
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
	list := make([]balancer.Replica, 0, len(rows))
	for key, value := range rows {
		list = append(list, balancer.Replica{ID: key, Service: "planner", Leaving: value == "leaving"})
	}
	one.balancer.SetReplicas(list, uint64(version))
	one.fewest = min(one.fewest, one.balancer.Count("planner"))
}

func (one *process) confirm(version follower.Version) {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.balancer.ConfirmVersion(uint64(version))
}

// works returns how many replicas could get work, and how many at the least since the
// last call.
func (one *process) works() (now, fewest int) {
	one.mu.Lock()
	defer one.mu.Unlock()
	now, fewest = one.balancer.Count("planner"), one.fewest
	one.fewest = now
	return now, fewest
}

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
	return elector.Contains(elector.Readers(one.members(), fleetAlone), one.own.Address)
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

// mostTold is how many changes are told one by one, as entries do.
const mostTold = 32

func (one *process) tell(news follower.Update[string]) {
	one.mu.Lock()
	for _, change := range news.Changes {
		if change.Removed || change.Value == "leaving" {
			one.leaves = append(one.leaves, leave{replica: change.Key, version: news.Version})
		}
	}
	if len(news.Changes) <= mostTold {
		one.news = append(one.news, news)
	}
	one.mu.Unlock()
	// A lock of the follower is held; the digest goes out on its own.
	go one.send()
}

func (one *process) copy(context.Context) ([]follower.Change[string], follower.Version, error) {
	for _, other := range one.fleet.running() {
		if other != one && !other.unheard() && !one.unheard() {
			if rows, version, known := other.follower.Rows(); known {
				return rows, version, nil
			}
		}
	}
	return nil, 0, errAway
}

func (one *process) othersServed(from timekeeper.Instant) timekeeper.Instant {
	now := one.clock.Now()
	one.mu.Lock()
	defer one.mu.Unlock()
	slices.Sort(one.served)
	return follower.ServedSince(one.served, from, now)
}

func (one *process) unheard() bool { return one.cutOff.Load() || one.gone.Load() }

// digests sends a digest now and then.
func (one *process) digests(ctx context.Context) {
	for ctx.Err() == nil {
		one.send()
		_ = one.clock.Sleep(ctx, digestEvery-one.fleet.jitter())
	}
}

func (one *process) send() {
	if one.unheard() {
		return
	}
	out := digest{member: one.own}
	out.member.Failing = one.follower.Failing()
	out.listing, out.reads = one.follower.Summary()
	out.served = one.follower.LastAnswered()
	one.mu.Lock()
	out.news, out.leaves = one.news, one.leaves
	one.news, one.leaves = nil, nil
	one.mu.Unlock()
	for _, other := range one.fleet.running() {
		if other != one && !other.unheard() && !one.fleet.lost() {
			other.hear(out)
		}
	}
}

func (one *process) hear(in digest) {
	one.mu.Lock()
	one.heard[in.member.Address], one.at[in.member.Address] = in.member, one.clock.Now()
	one.served = append(one.served, in.served)
	for _, leave := range in.leaves {
		one.balancer.MarkLeaving(leave.replica, uint64(leave.version))
	}
	one.fewest = min(one.fewest, one.balancer.Count("planner"))
	one.mu.Unlock()
	for _, news := range in.news {
		one.follower.ApplyUpdate(news)
	}
	if in.reads {
		one.follower.Compare(in.listing)
	}
}
