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

// inUse returns the bytes of heap in use after two collections: buffer pools survive the
// first.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// endRuns ends count runs with answers of the given size, in tokens of 40 bytes.
func (harness *harness) endRuns(count, size int) {
	token := []byte(strings.Repeat("w", 40))
	for i := range count {
		ended := &run{id: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i), team: "team-1", serial: uint64(i + 1), answer: replayer.New(replayer.Settings{})}
		ended.answer.SetHead(&encoder.Head{RequestId: ended.id, Status: 200})
		for range size / len(token) {
			_ = ended.answer.Add(harness.t.Context(), token)
		}
		ended.answer.MarkRead(uint64(size))
		ended.answer.Close(ended.id, true, classifier.Failure{})
		harness.agent.mu.Lock()
		harness.agent.runs[ended.id] = ended
		harness.agent.bySerial[ended.serial] = ended
		harness.agent.retain(ended, harness.agent.settings.Clock.Now())
		harness.agent.mu.Unlock()
	}
}

// BenchmarkMemoryOfEndedRuns measures the memory that a retained run takes at its agent
// without the bytes of its answer, which have a bound of their own, and fails when that
// exceeds the figure in the capacity page.
func BenchmarkMemoryOfEndedRuns(b *testing.B) {
	const maxOverhead = 1200
	for _, test := range []struct{ runs, size int }{{500, 0}, {2000, 0}, {8000, 0}, {500, 4000}, {2000, 4000}, {8000, 4000}} {
		b.Run(fmt.Sprintf("runs-%d/answer-%d", test.runs, test.size), func(b *testing.B) {
			for b.Loop() {
				made := newHarness(b)
				before := inUse()
				made.endRuns(test.runs, test.size)
				whole := inUse() - before
				b.ReportMetric(float64(whole)/float64(test.runs), "B/run")
				if overhead := whole/int64(test.runs) - int64(5*test.size/4); overhead > maxOverhead {
					b.Fatalf("a run takes %d bytes beside 5/4 of its answer", overhead)
				}
				if whole > 2*maxRetainedBytes+maxOverhead*int64(test.runs) {
					b.Fatalf("%d bytes are retained, beyond the bound", whole)
				}
				runtime.KeepAlive(made)
			}
		})
	}
}

// BenchmarkHeldBySession measures what an idle session takes at both ends together, and
// fails when that exceeds the figure in the capacity page.
func BenchmarkHeldBySession(b *testing.B) {
	const maxGoroutines, maxBytes = 16, 96 << 10
	for _, sessions := range []int{32, 128, 384} {
		b.Run(fmt.Sprintf("sessions-%d", sessions), func(b *testing.B) {
			made := newHarness(b)
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
				if each > maxGoroutines || bytes > maxBytes {
					b.Fatalf("a session takes %.1f goroutines and %d bytes", each, bytes)
				}
			}
		})
	}
}

// stacksAndHeap returns the bytes in use by heap and stacks.
func stacksAndHeap() int64 {
	heap := inUse()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + int64(stats.StackInuse)
}
