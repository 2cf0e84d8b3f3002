package assembler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// pathUpstream answers with size bytes if events is zero, otherwise with a stream of that
// many events without a pause.
func pathUpstream(size, events int) http.Handler {
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("w", 40) + "\"}}]}\n\n"
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if events == 0 {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range events {
			_, _ = io.WriteString(w, event)
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// roomyConfig returns the small site's configuration with slots for all callers of the
// benchmark, so that it measures the path and not the queue.
func roomyConfig() resolver.Bundle {
	bundle := devConfig()
	bundle.Base = strings.ReplaceAll(bundle.Base, "kind = ", "slots = 512\nkind = ")
	return bundle
}

// startPath runs one entry, one agent per service and the upstream, and returns the base
// addresses of the entry and of the upstream.
func startPath(b *testing.B, upstream http.Handler) (entry, direct string) {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.WarnLevel)
	platform := imitator.NewPlatform(timekeeper.Wall())
	env := Environment{Clock: timekeeper.Wall(), Log: log, Platform: platform.InProcess()}
	if _, err := publisher.Accept(b.Context(), env.Platform, roomyConfig(), 0, "bench"); err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(upstream)
	var stopOrder stages
	entries, agents := stopOrder.add(), stopOrder.add()
	services := []string{"planner", "orders"}
	instances := make([]storekeeper.Instance, 0, len(services))
	for _, service := range services {
		settings := loader.Agent{Service: service, Upstream: server.URL}
		settings.Process = loader.Process{Name: service + "-1", Site: "bole", Listen: loopback}
		agent, release, err := NewAgent(b.Context(), settings, env)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(release)
		agent.AddTo(agents)
		instances = append(instances, storekeeper.Instance{Name: settings.Name, Service: service, Address: agent.Address(), Site: "bole"})
	}
	platform.SetInstances(instances)
	entryProcess, release, err := NewEntry(b.Context(), loader.Entry{Process: loader.Process{Name: "entry-1", Site: "bole", Listen: loopback}}, env)
	if err != nil {
		b.Fatal(err)
	}
	entryProcess.AddTo(entries)
	var group run.Group
	stopOrder.addTo(&group)
	stop, done := make(chan struct{}), make(chan error, 1)
	group.Add(func() error { <-stop; return errStop }, func(error) {})
	go func() { done <- group.Run() }()
	b.Cleanup(func() {
		close(stop)
		<-done //nolint:errcheck // The group ends with errStop.
		release()
		server.Close()
	})
	return "http://" + entryProcess.Address(), server.URL
}

// pathCost is the cost of calls of one kind: the median times to the end and to the first
// byte of the answer, and the allocations per call.
type pathCost struct {
	whole, first time.Duration
	allocs       float64
}

// costOf makes calls from a number of concurrent callers and returns their cost.
// Allocations are those of the whole process.
func costOf(b *testing.B, client *http.Client, method, address, body string, callers, calls int) pathCost {
	b.Helper()
	var mu sync.Mutex
	var wholes, firsts []time.Duration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls / callers {
				whole, first := timeCall(b, client, method, address, body)
				mu.Lock()
				wholes, firsts = append(wholes, whole), append(firsts, first)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	slices.Sort(wholes)
	slices.Sort(firsts)
	return pathCost{
		whole:  wholes[len(wholes)/2],
		first:  firsts[len(firsts)/2],
		allocs: float64(after.Mallocs-before.Mallocs) / float64(len(wholes)),
	}
}

func timeCall(b *testing.B, client *http.Client, method, address, body string) (whole, first time.Duration) {
	request, err := http.NewRequestWithContext(context.Background(), method, address, strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return 0, 0
	}
	request.Header.Set("Authorization", "Bearer "+DevKey)
	started := b.Elapsed()
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.ReadFull(response.Body, make([]byte, 1))
	first = b.Elapsed() - started
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Errorf("status %d: %v", response.StatusCode, err)
	}
	return b.Elapsed() - started, first
}

// BenchmarkPath compares a call through entry and agent with the same call to the
// upstream. It reports times as ratios, and bounds only the allocations that the path
// adds, since these don't depend on the machine's speed.
func BenchmarkPath(b *testing.B) {
	const prompt = `{"model":"planner","stream":true,"messages":[]}`
	tests := []struct {
		name                  string
		method, path, body    string
		size, events, callers int
		maxAllocs             float64
	}{
		{"get-1k", http.MethodGet, "/orders", "", 1 << 10, 0, 1, 450},
		{"get-1k", http.MethodGet, "/orders", "", 1 << 10, 0, 16, 450},
		{"get-1k", http.MethodGet, "/orders", "", 1 << 10, 0, 256, 450},
		{"get-1m", http.MethodGet, "/orders", "", 1 << 20, 0, 1, 1500},
		{"post-100k", http.MethodPost, "/orders", strings.Repeat("x", 100<<10), 1 << 10, 0, 1, 600},
		{"stream-100", http.MethodPost, "/v1/chat/completions", prompt, 0, 100, 1, 1200},
		{"stream-100", http.MethodPost, "/v1/chat/completions", prompt, 0, 100, 16, 1200},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("%s/callers-%d", test.name, test.callers), func(b *testing.B) {
			entry, direct := startPath(b, pathUpstream(test.size, test.events))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: test.callers}}
			calls := max(128, test.callers)
			for range b.N {
				costOf(b, client, test.method, entry+test.path, test.body, test.callers, calls)
				through := costOf(b, client, test.method, entry+test.path, test.body, test.callers, calls)
				plain := costOf(b, client, test.method, direct+test.path, test.body, test.callers, calls)
				added := through.allocs - plain.allocs
				b.ReportMetric(float64(through.whole)/float64(plain.whole), "time-of-direct")
				b.ReportMetric(float64(through.first)/float64(plain.first), "first-byte-of-direct")
				b.ReportMetric(float64((through.first - plain.first).Microseconds()), "added-first-byte-us")
				b.ReportMetric(added, "added-allocs/call")
				if added > test.maxAllocs {
					b.Fatalf("entry and agent add %.0f allocations a call; the limit is %.0f", added, test.maxAllocs)
				}
			}
		})
	}
}
