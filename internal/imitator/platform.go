package imitator

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// PlatformFaults are the faults to inject into the platform. The zero value injects none.
type PlatformFaults struct {
	// Down makes every call fail without taking effect.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow timekeeper.Span `json:"slow"`
	// LoseAnswers is how many of the next writes take effect but get no answer.
	LoseAnswers int `json:"lose-answers"`
	// LoseWrites is how many of the next writes are dropped and get no answer.
	LoseWrites int `json:"lose-writes"`
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means none.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
	// ListDown makes every call of the instance list fail, and no other.
	ListDown bool `json:"list-down"`
	// ListFrozen serves the instance list as it was when the fault began.
	ListFrozen bool `json:"list-frozen"`
}

// PlatformCounts are the counters of the platform since its creation.
type PlatformCounts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Refused   int `json:"refused"`
}

// Platform is an in-memory fake of the platform's services. One lock guards all its state.
type Platform struct {
	clock timekeeper.Clock

	mu              sync.Mutex
	faults          PlatformFaults
	counts          PlatformCounts
	rows            map[string]storekeeper.Row
	objects         map[string][]byte
	version         uint64
	era             uint64
	instances       []storekeeper.Instance
	frozenInstances []storekeeper.Instance
	windowStart     timekeeper.Instant
	windowReads     int
	windowWrites    int
}

// NewPlatform returns an empty, healthy platform.
func NewPlatform(clock timekeeper.Clock) *Platform {
	return &Platform{clock: clock, era: 1, rows: map[string]storekeeper.Row{}, objects: map[string][]byte{}}
}

// InProcess returns a storekeeper.Platform that calls the fake directly, without HTTP.
func (platform *Platform) InProcess() storekeeper.Platform {
	return storekeeper.Platform{
		Table:     storekeeper.Table{Get: platform.getRow, Scan: platform.scan, Commit: platform.commit, Era: platform.readEra},
		Objects:   storekeeper.Objects{Put: platform.put, Get: platform.get, List: platform.list},
		Directory: storekeeper.Directory{List: platform.listInstances},
	}
}

// SetFaults replaces the injected faults.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if faults.ListFrozen && !platform.faults.ListFrozen {
		platform.frozenInstances = slices.Clone(platform.instances)
	}
	platform.faults = faults
}

// Counts returns the counters of the platform.
func (platform *Platform) Counts() PlatformCounts {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.counts
}

// SetInstances replaces the instance list.
func (platform *Platform) SetInstances(instances []storekeeper.Instance) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.instances = slices.Clone(instances)
}

// enter applies the delay, outage and rate limit faults to a call. If it returns nil,
// the lock is held.
func (platform *Platform) enter(ctx context.Context, write bool) error {
	platform.mu.Lock()
	slow := platform.faults.Slow
	if slow > 0 {
		platform.mu.Unlock()
		if err := platform.clock.Sleep(ctx, slow); err != nil {
			return storekeeper.ErrUnknown
		}
		platform.mu.Lock()
	}
	if platform.faults.Down {
		platform.mu.Unlock()
		return storekeeper.ErrUnknown
	}
	if !platform.withinRate(write) {
		platform.counts.Refused++
		platform.mu.Unlock()
		return storekeeper.ErrBusy
	}
	return nil
}

func (platform *Platform) withinRate(write bool) bool {
	now := platform.clock.Now()
	if now.Since(platform.windowStart) >= timekeeper.Second {
		platform.windowStart, platform.windowReads, platform.windowWrites = now, 0, 0
	}
	if write {
		platform.windowWrites++
		platform.counts.Writes++
		return platform.faults.WritesPerSecond == 0 || platform.windowWrites <= platform.faults.WritesPerSecond
	}
	platform.windowReads++
	platform.counts.Reads++
	return platform.faults.ReadsPerSecond == 0 || platform.windowReads <= platform.faults.ReadsPerSecond
}

func rowKey(table, key string) string {
	return table + "\x00" + key
}

func (platform *Platform) getRow(ctx context.Context, table, key string) (storekeeper.Row, error) {
	if err := platform.enter(ctx, false); err != nil {
		return storekeeper.Row{}, err
	}
	defer platform.mu.Unlock()
	row, ok := platform.rows[rowKey(table, key)]
	if !ok {
		return storekeeper.Row{}, storekeeper.ErrAbsent
	}
	return row, nil
}

func (platform *Platform) scan(ctx context.Context, table, prefix, after string, limit int) ([]storekeeper.Row, error) {
	if err := platform.enter(ctx, false); err != nil {
		return nil, err
	}
	defer platform.mu.Unlock()
	rows := []storekeeper.Row{}
	for _, row := range platform.rows {
		if row.Table == table && strings.HasPrefix(row.Key, prefix) && row.Key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (platform *Platform) commit(ctx context.Context, writes []storekeeper.Write) error {
	if err := platform.enter(ctx, true); err != nil {
		return err
	}
	defer platform.mu.Unlock()
	if platform.injectLoss(&platform.faults.LoseWrites) {
		return storekeeper.ErrUnknown
	}
	for _, write := range writes {
		if write.Era != 0 && write.Era != platform.era {
			return storekeeper.ErrEra
		}
	}
	for _, write := range writes {
		if platform.rows[rowKey(write.Table, write.Key)].Version != write.Expect {
			platform.counts.Conflicts++
			return storekeeper.ErrConflict
		}
	}
	platform.version++
	for _, write := range writes {
		platform.apply(write)
	}
	if platform.injectLoss(&platform.faults.LoseAnswers) {
		return storekeeper.ErrUnknown
	}
	return nil
}

func (platform *Platform) readEra(ctx context.Context) (uint64, error) {
	if err := platform.enter(ctx, false); err != nil {
		return 0, err
	}
	defer platform.mu.Unlock()
	return platform.era, nil
}

func (platform *Platform) apply(write storekeeper.Write) {
	key := rowKey(write.Table, write.Key)
	if write.Delete {
		delete(platform.rows, key)
		return
	}
	platform.rows[key] = storekeeper.Row{
		Table:   write.Table,
		Key:     write.Key,
		Value:   slices.Clone(write.Value),
		Version: platform.version,
	}
}

func (platform *Platform) injectLoss(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (platform *Platform) put(ctx context.Context, name string, body []byte) error {
	if err := platform.enter(ctx, true); err != nil {
		return err
	}
	defer platform.mu.Unlock()
	if platform.injectLoss(&platform.faults.LoseWrites) {
		return storekeeper.ErrUnknown
	}
	if _, ok := platform.objects[name]; ok {
		platform.counts.Conflicts++
		return storekeeper.ErrConflict
	}
	platform.objects[name] = slices.Clone(body)
	if platform.injectLoss(&platform.faults.LoseAnswers) {
		return storekeeper.ErrUnknown
	}
	return nil
}

func (platform *Platform) get(ctx context.Context, name string) ([]byte, error) {
	if err := platform.enter(ctx, false); err != nil {
		return nil, err
	}
	defer platform.mu.Unlock()
	body, ok := platform.objects[name]
	if !ok {
		return nil, storekeeper.ErrAbsent
	}
	return slices.Clone(body), nil
}

func (platform *Platform) list(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := platform.enter(ctx, false); err != nil {
		return nil, err
	}
	defer platform.mu.Unlock()
	names := []string{}
	for name := range platform.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(limit, len(names))], nil
}

func (platform *Platform) listInstances(ctx context.Context) ([]storekeeper.Instance, error) {
	if err := platform.enter(ctx, false); err != nil {
		return nil, err
	}
	defer platform.mu.Unlock()
	if platform.faults.ListDown {
		return nil, storekeeper.ErrUnknown
	}
	if platform.faults.ListFrozen {
		return slices.Clone(platform.frozenInstances), nil
	}
	return slices.Clone(platform.instances), nil
}
