package recorder_test

import (
	"io"
	"runtime"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/verifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var origin = recorder.Origin{Group: "orders", Name: "orders-1", Incarnation: 77}

func settings(platform *imitator.Platform) recorder.Settings {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return recorder.Settings{
		Origin: origin, Objects: platform.InProcess().Objects, Clock: timekeeper.Wall(), Log: log,
		FlushInterval: 5 * timekeeper.Millisecond,
	}
}

func verify(tb testing.TB, platform *imitator.Platform) verifier.Trail {
	tb.Helper()
	objects, err := verifier.Fetch(tb.Context(), platform.InProcess().Objects, timekeeper.Wall())
	if err != nil {
		tb.Fatal(err)
	}
	return verifier.Verify(objects)
}

// countRecords counts the records of a kind and those that gaps declare lost.
func countRecords(trail verifier.Trail, kind recorder.Kind) (kept, lost int64) {
	for _, incarnation := range trail.Incarnations {
		for _, record := range incarnation.Records {
			switch record.Kind {
			case kind:
				kept++
			case recorder.Gap:
				lost += record.Count
			}
		}
	}
	return kept, lost
}

func TestStoreFaultsLoseNothingUndeclared(t *testing.T) {
	// The store loses responses after the write, loses writes, or is down while
	// events arrive. The recorder reads back, retries, or drops the oldest
	// segments past its memory limit. The record must be whole, or the same chain
	// must declare the gap.
	const events = 2000
	tests := []struct {
		name    string
		faults  imitator.PlatformFaults
		backlog int
		whole   bool
		// late says that the store recovers only after the stop has begun.
		late bool
	}{
		{"responses lost after the write", imitator.PlatformFaults{LoseAnswers: 2}, 0, true, false},
		{"writes lost", imitator.PlatformFaults{LoseWrites: 2}, 0, true, false},
		{"down, within the memory limit", imitator.PlatformFaults{Down: true}, 0, true, false},
		{"down, past the memory limit", imitator.PlatformFaults{Down: true}, 8 << 10, false, false},
		{"down until the stop, with memory for one segment", imitator.PlatformFaults{Down: true}, 1, false, true},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			platform := imitator.NewPlatform(timekeeper.Wall())
			platform.SetFaults(test.faults)
			config := settings(platform)
			config.BacklogBytes = test.backlog
			config.SegmentBytes = 4 << 10
			record, stop := recorder.New(config, recorder.Event{})
			for i := range events {
				record.Record(recorder.Event{Kind: recorder.Committed, Request: "entry-1-" + strconv.Itoa(i*i), Digest: uint64(i) * 0x9e3779b97f4a7c15})
				runtime.Gosched()
			}
			restoreStore := func() {
				if test.faults.Down {
					_ = timekeeper.Wall().Sleep(t.Context(), 100*timekeeper.Millisecond)
					platform.SetFaults(imitator.PlatformFaults{})
				}
			}
			if test.late {
				go restoreStore()
			} else {
				restoreStore()
			}
			stop()
			trail := verify(t, platform)
			So(trail.Findings, ShouldBeEmpty)
			So(trail.Incarnations[0].Stopped, ShouldBeTrue)
			kept, lost := countRecords(trail, recorder.Committed)
			So(lost == 0, ShouldEqual, test.whole)
			So(len(trail.Gaps()) == 0, ShouldEqual, test.whole)
			if test.whole {
				So(kept, ShouldEqual, events)
			}
		})
	}
}

func TestAFullQueueIsDeclared(t *testing.T) {
	// Events arrive faster than they can be chained. The recorder must not block
	// calls: it drops events that don't fit the queue and declares their number.
	const events = 20000
	Convey("every event is kept or counted", t, func() {
		platform := imitator.NewPlatform(timekeeper.Wall())
		config := settings(platform)
		config.QueueLength = 1
		record, stop := recorder.New(config, recorder.Event{})
		for range events {
			record.Record(recorder.Event{Kind: recorder.Granted})
		}
		stop()
		kept, lost := countRecords(verify(t, platform), recorder.Granted)
		So(kept+lost, ShouldEqual, events)
		So(lost, ShouldBeGreaterThan, 0)
	})
}

func TestAStopInAnOutageLeavesAnOpenTail(t *testing.T) {
	// The process is stopped while the store is down. The stop must not wait
	// forever; the record then ends without Stopped, which the verifier reports.
	Convey("the stop returns and the record has an open tail", t, func() {
		platform := imitator.NewPlatform(timekeeper.Wall())
		config := settings(platform)
		config.StopTimeout = 50 * timekeeper.Millisecond
		record, stop := recorder.New(config, recorder.Event{})
		for platform.Counts().Writes == 0 {
			So(timekeeper.Wall().Sleep(t.Context(), timekeeper.Millisecond), ShouldBeNil)
		}
		platform.SetFaults(imitator.PlatformFaults{Down: true})
		record.Record(recorder.Event{Kind: recorder.Committed})
		stop()
		platform.SetFaults(imitator.PlatformFaults{})
		gaps := verify(t, platform).Gaps()
		So(gaps, ShouldHaveLength, 1)
		So(gaps[0].Open, ShouldBeTrue)
	})
}

func TestFlushIntervalBoundsTheWritesOfTheFleet(t *testing.T) {
	tests := []struct{ processes, writes int }{{0, 1}, {15, 3}, {500, 100}, {3480, 100}, {20000, 100}}
	for _, test := range tests {
		Convey(strconv.Itoa(test.processes)+" processes", t, func() {
			each := recorder.FlushInterval(test.processes)
			So(int64(test.processes)*1000/int64(each), ShouldBeLessThanOrEqualTo, test.writes)
		})
	}
}

// callEvents returns the events of one call, at its entry and at its agent.
func callEvents(i int) []recorder.Event {
	id := "entry-1-1y2p0ij32e8e7-" + strconv.FormatInt(int64(i), 36)
	hash := uint64(i+1) * 0x9e3779b97f4a7c15
	at := timekeeper.Instant(1_790_000_000_000 + int64(i)*7)
	base := recorder.Event{At: at, Request: id, Service: "orders", Team: "kitchen", Instance: "orders-1", Incarnation: 0x7edcba9876543211, Key: hash}
	events := make([]recorder.Event, 0, 5)
	for _, kind := range []recorder.Kind{recorder.Offered, recorder.Granted, recorder.Committed, recorder.Ended, recorder.Answered} {
		event := base
		event.Kind = kind
		switch kind {
		case recorder.Granted:
			event.Load, event.Bound, event.Work, event.Factor = int64(i%7), 9, 1, 1.25
		case recorder.Ended, recorder.Answered:
			event.Complete, event.Length, event.Digest = true, uint64(200+i%50), hash*31
		}
		events = append(events, event)
	}
	return events
}

// BenchmarkBytesOfARequest measures how many bytes the record of one call takes in
// the store. The bound keeps 1,200 requests a second under 1 MB a second.
func BenchmarkBytesOfARequest(b *testing.B) {
	const calls, maxBytes = 2000, 400
	var stored int
	for b.Loop() {
		entry := recorder.NewChain(recorder.Origin{Group: recorder.EntryGroup, Name: "entry-1", Incarnation: 5})
		agent := recorder.NewChain(origin)
		for i := range calls {
			for _, event := range callEvents(i) {
				chain := agent
				if event.Kind == recorder.Offered || event.Kind == recorder.Answered {
					chain = entry
				}
				chain.Add(event)
			}
		}
		first, _ := entry.Seal()
		second, _ := agent.Seal()
		stored = len(first.Body) + len(second.Body)
	}
	each := float64(stored) / calls
	b.ReportMetric(each, "stored-B/request")
	if each > maxBytes {
		b.Fatalf("%.0f bytes a request, over the bound of %d", each, maxBytes)
	}
}

// BenchmarkRecord measures the cost of one event on the request path.
func BenchmarkRecord(b *testing.B) {
	record, stop := recorder.New(settings(imitator.NewPlatform(timekeeper.Wall())), recorder.Event{})
	defer stop()
	event := callEvents(1)[1]
	// The chain allocates in the background, so the lowest of several rounds is
	// what the request path itself allocates.
	allocs := testing.AllocsPerRun(100, func() { record.Record(event) })
	for range 10 {
		allocs = min(allocs, testing.AllocsPerRun(100, func() { record.Record(event) }))
	}
	if allocs > 0 {
		b.Fatalf("%.1f allocations for an event on the request path", allocs)
	}
	const batch = 4096
	for b.Loop() {
		// Each batch fits the queue of its own recorder: dropping an event when the
		// queue is full is cheaper and would distort the result.
		b.StopTimer()
		record, stop := recorder.New(settings(imitator.NewPlatform(timekeeper.Wall())), recorder.Event{})
		b.StartTimer()
		for range batch {
			record.Record(event)
		}
		b.StopTimer()
		stop()
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/event")
}

// BenchmarkChain measures the cost of one event in the background.
func BenchmarkChain(b *testing.B) {
	chain := recorder.NewChain(origin)
	event := callEvents(1)[1]
	for b.Loop() {
		if chain.Add(event) > 256<<10 {
			chain.Seal()
		}
	}
}
