package assembler

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/striker"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// heapInUse returns the bytes of heap in use after two collections: buffers in a
// sync.Pool survive one.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// benchTime is a time at which no item of these benchmarks has expired.
const benchTime = timekeeper.Instant(1)

// spreadHash returns the i-th of a sequence of well-spread hashes.
func spreadHash(i int) uint64 {
	return uint64(i+1) * 0x9e3779b97f4a7c15
}

// teamsFile returns a configuration file with count teams of one key each.
func teamsFile(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "[teams.team-%d]\nkey-hashes = [\"%064x\"]\nweight = 2\n", i, spreadHash(i))
	}
	return text.String()
}

// teams returns what a process keeps of a configuration in force: the text, which it
// serves to peers, and the parsed configuration.
func teams(count int) any {
	text := strings.Clone(teamsFile(count))
	config, faults := resolver.Bundle{Base: text}.Resolve("")
	if len(faults) > 0 || len(config.Teams) != count {
		panic("the configuration with the teams was not parsed")
	}
	return []any{text, config}
}

// pointers returns a home's directory of chats that ran at one of 183 replicas each.
func pointers(count int) any {
	directory := placer.NewDirectory(placer.DirectorySettings{Self: "replica-0"})
	replicas := make([]string, 183)
	for i := range replicas {
		replicas[i] = "replica-" + strconv.Itoa(i)
	}
	for i := range count {
		directory.Record(spreadHash(i), replicas[i%len(replicas)], 2000)
	}
	return directory
}

func claims(count int) any {
	book := claimer.NewBook(claimer.Settings{Name: "orders-1", Incarnation: 1})
	for i := range count {
		ask := claimer.Claim{
			Key: claimer.RowKey("team", "orders", strconv.Itoa(i)), Request: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i),
			Expires: benchTime.Add(timekeeper.Hour), Minted: true,
		}
		book.Claim(ask, benchTime)
		book.Start(ask.Request, benchTime)
		book.End(ask.Request, true, spreadHash(i))
	}
	return book
}

func struck(count int) any {
	ledger := striker.NewLedger("planner-1", 0)
	for i := range count {
		none := striker.Strike{Fingerprint: spreadHash(i), Service: "planner", Team: "team"}
		ledger.Put(none.WithCrash("planner-1", benchTime.Add(timekeeper.Hour)))
	}
	return ledger
}

// segments returns the backlog of the record after an outage: sealed segments of about
// 256 KiB before compression, with three events per call.
func segments(events int) any {
	const perSegment = 2000
	chain := recorder.NewChain(recorder.Origin{Group: "orders", Name: "orders-1", Incarnation: 1})
	backlog := recorder.NewBacklog(64 << 20)
	kinds := []recorder.Kind{recorder.Granted, recorder.Committed, recorder.Ended}
	for i := range events {
		chain.Add(recorder.Event{
			At: benchTime.Add(timekeeper.Span(i) * 7), Kind: kinds[i%3], Request: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i/3),
			Service: "orders", Team: "team", Instance: "orders-1", Incarnation: 1, Key: spreadHash(i / 3), Digest: spreadHash(i),
		})
		if i%perSegment == perSegment-1 {
			if segment, ok := chain.Seal(); ok {
				backlog.Push(segment)
			}
		}
	}
	return backlog
}

// BenchmarkMemorySlopes measures the heap that each additional team, chat, claim, strike
// and unstored event takes in a process, at several sizes. It fails if one takes more than
// the capacity page assumes.
func BenchmarkMemorySlopes(b *testing.B) {
	tests := []struct {
		name     string
		make     func(count int) any
		sizes    []int
		maxBytes int64
	}{
		{"team", teams, []int{650, 6500, 13000}, 450},
		{"chat-pointer", pointers, []int{1000, 4000, 16000}, 180},
		{"claim", claims, []int{4000, 16000, 64000}, 350},
		{"strike", struck, []int{500, 2000, 4000}, 350},
		{"event-in-backlog", segments, []int{20000, 40000, 80000}, 60},
	}
	for _, test := range tests {
		for _, size := range test.sizes {
			b.Run(fmt.Sprintf("%s/%d", test.name, size), func(b *testing.B) {
				for b.Loop() {
					before := heapInUse()
					items := test.make(size)
					perItem := (heapInUse() - before) / int64(size)
					runtime.KeepAlive(items)
					b.ReportMetric(float64(perItem), "B/item")
					if perItem > test.maxBytes {
						b.Fatalf("a %s takes %d bytes, the limit is %d", test.name, perItem, test.maxBytes)
					}
				}
			})
		}
	}
}

// BenchmarkReadTeams measures the processor time that each additional team takes when a
// process parses a new revision of the configuration.
func BenchmarkReadTeams(b *testing.B) {
	for _, count := range []int{650, 1625, 6500, 13000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			bundle := resolver.Bundle{Base: teamsFile(count)}
			started := processorTime(b)
			for b.Loop() {
				if _, faults := bundle.Resolve(""); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(processorTime(b)-started)/float64(b.N)/float64(count), "us/team")
		})
	}
}
