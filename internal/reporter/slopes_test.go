package reporter

import (
	"runtime"
	"strconv"
	"syscall"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// heap returns the bytes of heap in use after a garbage collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// processorTime returns the processor time that the process has used, in microseconds.
func processorTime() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return (usage.Utime.Nano() + usage.Stime.Nano()) / 1000
}

// BenchmarkSlopes logs the memory and processor time that a replica costs a process,
// at several sizes. It asserts nothing, since the figures depend on the machine.
func BenchmarkSlopes(b *testing.B) {
	for b.Loop() {
		slopes(b)
	}
}

func slopes(t testing.TB) {
	t.Helper()
	for _, replicas := range []int{100, 400, 1600, 3200} {
		before := heap()
		table := tableOf(replicas, Rules{})
		memory := heap() - before
		t.Logf("replicas %d: %d bytes of heap a replica", replicas, memory/int64(replicas))
		runtime.KeepAlive(table)
	}
	for _, replicas := range []int{9, 50, 183, 366} {
		table := tableOf(replicas, Rules{})
		other := tableOf(replicas, Rules{})
		const rounds = 300
		started := processorTime()
		for round := range rounds {
			now := start.Add(timekeeper.Span(round+20) * timekeeper.Second)
			for i := range replicas {
				table.Merge(now, digestOf("r"+strconv.Itoa(i), 10, uint64(round+10), live))
			}
			ask := table.Pack(now, Query{Limit: messageLimit, Recent: true})
			encoded, err := encoder.Append(nil, encoder.Of(ask))
			if err != nil || len(encoded) == 0 {
				t.Fatal(err)
			}
			other.Unpack(now, ask)
			other.Evaluate(now)
		}
		t.Logf("replicas %d: %d microseconds of processor time a round and message", replicas, (processorTime()-started)/rounds)
	}
}
