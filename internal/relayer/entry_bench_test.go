package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/measurer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// plainDialect returns a dialect with header names of its own, for tests of this package.
func plainDialect() Dialect {
	return Dialect{
		ReadCall: func(r *http.Request) (Call, error) { return Call{ID: r.Header.Get("Id"), Deadline: 60000}, nil },
		Dispatch: func(r *http.Request, _ Dispatch) http.Header { return http.Header{"Id": r.Header["Id"]} },
		ReadHead: func(_ int, header http.Header) Head { return Head{ID: header.Get("Id"), Signed: true} },
		CopyAnswer: func(to, from http.Header) {
			to["Content-Type"], to["Id"] = from["Content-Type"], from["Id"]
		},
		Refuse: classifier.Write,
	}
}

// newTestEntry returns an entry with one replica.
func newTestEntry(t testing.TB, replica string) *Entry {
	t.Helper()
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(io.Discard)
	clock := timekeeper.Steady()
	fleet := balancer.New(balancer.Settings{})
	fleet.SetEngine("planner", balancer.Engine{Memory: 300000})
	fleet.SetReplicas([]balancer.Replica{{ID: "i-1", Service: "planner", Address: replica}}, sequencer.Version{Number: 1})
	pool, release := connector.NewPool(connector.Settings{Clock: clock})
	t.Cleanup(release)
	config := router.New(router.Content{Version: 1, Routes: []router.Route{{
		Host: "kitchen.example", Prefix: "/", Kind: router.Stream, MaxReplicas: 1,
		Destinations: []router.Destination{{Service: "planner", Weight: 1}},
	}}})
	return New(Settings{
		Clock: clock, Log: log, Scope: testScope(t), Fleet: balancer.Guard(fleet), Pool: pool, Dialect: plainDialect(),
		Config: func() *router.Configuration { return config }, ConnectionShares: func() int { return 8 }, RetryParts: func() int { return 8 }, BodyMemory: 1 << 30, AnswerMemory: 1 << 30,
	})
}

// streaming answers with a stream of as many events as the path states.
func streaming(w http.ResponseWriter, r *http.Request) {
	count, _ := strconv.Atoi(r.URL.Path[1:])
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Id", r.Header.Get("Id"))
	control := http.NewResponseController(w)
	event := []byte("id: 1\ndata: fifty-five bytes of an answer, more or less\n\n")
	for range count {
		_, _ = w.Write(event)
		_ = control.Flush()
	}
}

// readStream reads a stream of events and returns its length in bytes.
func readStream(client *http.Client, address string, events int) (int64, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, fmt.Sprintf("%s/%d", address, events), http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Host = "kitchen.example"
	request.Header.Set("Id", "r")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.Copy(io.Discard, response.Body)
}

// allocationsPerEvent returns how many allocations each further event of a stream makes.
func allocationsPerEvent(b *testing.B, address string) float64 {
	const few, many, rounds = 100, 1100, 20
	client := &http.Client{}
	measure := func(events int) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range rounds {
			if _, err := readStream(client, address, events); err != nil {
				b.Fatal(err)
			}
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / rounds
	}
	measure(few)
	return (measure(many) - measure(few)) / (many - few)
}

// BenchmarkStreamedEvent bounds the allocations that the entry adds to an event of a
// stream. The time depends on the machine and is only reported.
func BenchmarkStreamedEvent(b *testing.B) {
	replica := httptest.NewServer(http.HandlerFunc(streaming))
	defer replica.Close()
	front := httptest.NewServer(newTestEntry(b, replica.Listener.Addr().String()))
	defer front.Close()
	direct, relayed := allocationsPerEvent(b, replica.URL), allocationsPerEvent(b, front.URL)
	b.ReportMetric(relayed-direct, "added-allocs/event")
	if relayed > 1.5*direct+0.5 {
		b.Fatalf("%.2f allocations per event through the entry, %.2f directly", relayed, direct)
	}
	for _, side := range []struct{ name, address string }{{"direct", replica.URL}, {"entry", front.URL}} {
		b.Run(side.name, func(b *testing.B) {
			const events = 1000
			client := &http.Client{}
			for b.Loop() {
				if _, err := readStream(client, side.address, events); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

// testScope returns a metrics scope that is set up like that of a process.
func testScope(t testing.TB) tally.Scope {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	scope, _, release := measurer.New("entry-1", log)
	t.Cleanup(release)
	return scope
}
