package assembler

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// processorTime returns the processor time that this process has used, in microseconds.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return (usage.Utime.Nano() + usage.Stime.Nano()) / 1000
}

// pacedUpstream streams events at an interval, as an engine does, so that each event is
// relayed in a frame of its own.
func pacedUpstream(events int, interval timekeeper.Span) http.Handler {
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("w", 4) + "\"}}]}\n\n"
	clock := timekeeper.Wall()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range events {
			_ = clock.Sleep(r.Context(), interval)
			_, _ = io.WriteString(w, event)
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// streamCost makes concurrent calls and returns their processor time in microseconds and
// their allocations.
func streamCost(b *testing.B, client *http.Client, address string, calls int) (processor, allocs int64) {
	b.Helper()
	const prompt = `{"model":"planner","stream":true,"messages":[]}`
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, started := stats.Mallocs, processorTime(b)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { timeCall(b, client, http.MethodPost, address+"/v1/chat/completions", prompt) })
	}
	group.Wait()
	processor = processorTime(b) - started
	runtime.ReadMemStats(&stats)
	return processor, int64(stats.Mallocs - before)
}

// BenchmarkTokenCost measures what entry and agent add to the cost of a streamed token,
// compared with a direct call to the upstream: processor time, which depends on the
// machine, and allocations, which don't and are bounded.
func BenchmarkTokenCost(b *testing.B) {
	const calls, events, maxAllocs = 64, 100, 60
	for _, interval := range []timekeeper.Span{0, 10 * timekeeper.Millisecond} {
		b.Run("pace-"+interval.String(), func(b *testing.B) {
			entry, direct := startPath(b, pacedUpstream(events, interval))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: calls}}
			for b.Loop() {
				streamCost(b, client, entry, calls)
				streamCost(b, client, direct, calls)
				through, allocs := streamCost(b, client, entry, calls)
				plain, plainAllocs := streamCost(b, client, direct, calls)
				added := float64(allocs-plainAllocs) / calls / events
				b.ReportMetric(float64(through-plain)/calls/events, "added-us/token")
				b.ReportMetric(float64(through)/float64(plain), "processor-of-direct")
				b.ReportMetric(added, "added-allocs/token")
				if added > maxAllocs {
					b.Fatalf("entry and agent add %.0f allocations a token; the limit is %d", added, maxAllocs)
				}
			}
		})
	}
}

// openResources returns the numbers of goroutines and open descriptors of this process.
func openResources(b *testing.B) (goroutines, descriptors int) {
	b.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Skip("this system doesn't list open descriptors")
	}
	return runtime.NumGoroutine(), len(open)
}

// resourcesOfCalls returns how many goroutines and descriptors a number of calls take
// while all of them are at the upstream.
func resourcesOfCalls(b *testing.B, address string, calls int, inside *atomic.Int64, release chan struct{}) (goroutines, descriptors int) {
	b.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport}
	started, open := openResources(b)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { timeCall(b, client, http.MethodGet, address+"/orders", "") })
	}
	clock := timekeeper.Wall()
	for inside.Load() < int64(calls) {
		_ = clock.Sleep(b.Context(), timekeeper.Millisecond)
	}
	goroutines, descriptors = openResources(b)
	for range calls {
		release <- struct{}{}
	}
	group.Wait()
	inside.Store(0)
	return goroutines - started, descriptors - open
}

// BenchmarkResourcesPerCall measures the goroutines and descriptors that a call in flight
// takes in entry and agent together, in addition to those of a direct call to the
// upstream. It fails if they exceed what the capacity page assumes.
func BenchmarkResourcesPerCall(b *testing.B) {
	const maxGoroutines, maxDescriptors = 14, 3
	for _, calls := range []int{32, 128, 384} {
		b.Run(fmt.Sprintf("calls-%d", calls), func(b *testing.B) {
			var inside atomic.Int64
			release := make(chan struct{})
			entry, direct := startPath(b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				inside.Add(1)
				<-release
			}))
			for b.Loop() {
				plainRoutines, plainOpen := resourcesOfCalls(b, direct, calls, &inside, release)
				routines, open := resourcesOfCalls(b, entry, calls, &inside, release)
				perCall := float64(routines-plainRoutines) / float64(calls)
				sockets := float64(open-plainOpen) / float64(calls)
				b.ReportMetric(perCall, "added-goroutines/call")
				b.ReportMetric(sockets, "added-descriptors/call")
				if perCall > maxGoroutines || sockets > maxDescriptors {
					b.Fatalf("a call takes %.1f goroutines and %.1f descriptors", perCall, sockets)
				}
			}
		})
	}
}
