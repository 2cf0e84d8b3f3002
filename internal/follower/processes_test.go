package follower_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

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

// jitter returns by how much a digest comes early.
func (fleet *processes) jitter() timekeeper.Span {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return timekeeper.Span(fleet.draws.Int64N(50))
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
		_ = one.clock.Sleep(ctx, digestEvery-one.fleet.jitter())
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
