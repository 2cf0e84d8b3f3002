package runner

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
)

// inUse returns the bytes of heap in use after two collections: pools of
// buffers live through one.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// endRuns lets so many runs end with answers of a size, in tokens of 40 bytes.
func (bench *bench) endRuns(count, size int) {
	token := []byte(strings.Repeat("w", 40))
	for i := range count {
		ended := &run{id: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i), team: "team-1", serial: uint64(i + 1), answer: replayer.New(replayer.Settings{})}
		ended.answer.SetHead(&encoder.Head{RequestId: ended.id, Status: 200})
		for range size / len(token) {
			_ = ended.answer.Add(bench.t.Context(), token)
		}
		ended.answer.MarkRead(uint64(size))
		ended.answer.Close(ended.id, true, classifier.Failure{})
		bench.agent.mu.Lock()
		bench.agent.runs[ended.id] = ended
		bench.agent.bySerial[ended.serial] = ended
		bench.agent.keep(ended, bench.agent.settings.Clock.Now())
		bench.agent.mu.Unlock()
	}
}

// BenchmarkMemoryOfEndedRuns measures what an ended run that is still known
// takes at its agent beside the bytes of its answer, which have a bound of
// their own, and breaks when that is more than the capacity page reckons with.
func BenchmarkMemoryOfEndedRuns(b *testing.B) {
	const mostBeside = 1200
	for _, test := range []struct{ runs, size int }{{500, 0}, {2000, 0}, {8000, 0}, {500, 4000}, {2000, 4000}, {8000, 4000}} {
		b.Run(fmt.Sprintf("runs-%d/answer-%d", test.runs, test.size), func(b *testing.B) {
			for b.Loop() {
				made := newBench(b)
				before := inUse()
				made.endRuns(test.runs, test.size)
				whole := inUse() - before
				b.ReportMetric(float64(whole)/float64(test.runs), "B/run")
				if beside := whole/int64(test.runs) - int64(5*test.size/4); beside > mostBeside {
					b.Fatalf("a run takes %d bytes beside its answer and a quarter", beside)
				}
				if whole > 2*mostKept+mostBeside*int64(test.runs) {
					b.Fatalf("%d bytes are kept, whatever the bound says", whole)
				}
				runtime.KeepAlive(made)
			}
		})
	}
}

// BenchmarkHeldBySession measures what an idle session takes at both its ends
// together, and breaks when it is more than the capacity page reckons with.
func BenchmarkHeldBySession(b *testing.B) {
	const mostGoroutines, mostBytes = 16, 96 << 10
	for _, sessions := range []int{32, 128, 384} {
		b.Run(fmt.Sprintf("sessions-%d", sessions), func(b *testing.B) {
			made := newBench(b)
			listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test's listener has no deadline.
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = listener.Close() })
			go func() { _ = made.agent.Serve(b.Context(), listener) }()
			for b.Loop() {
				routines, memory := runtime.NumGoroutine(), stacksAndHeap()
				open, _ := os.ReadDir("/proc/self/fd")
				for range sessions {
					pool, release := dialer.NewPool(dialer.Settings{})
					b.Cleanup(release)
					conn, err := pool.Open(b.Context(), listener.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					_ = conn.Close()
				}
				opened, _ := os.ReadDir("/proc/self/fd")
				each := float64(runtime.NumGoroutine()-routines) / float64(sessions)
				bytes := (stacksAndHeap() - memory) / int64(sessions)
				b.ReportMetric(each, "goroutines/session")
				b.ReportMetric(float64(len(opened)-len(open))/float64(sessions), "descriptors/session")
				b.ReportMetric(float64(bytes), "B/session")
				if each > mostGoroutines || bytes > mostBytes {
					b.Fatalf("a session takes %.1f goroutines and %d bytes", each, bytes)
				}
			}
		})
	}
}

// stacksAndHeap returns what heap and stacks hold.
func stacksAndHeap() int64 {
	heap := inUse()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + int64(stats.StackInuse)
}
