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

// inUse returns the bytes of heap in use after two collections: pools of
// buffers live through one.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// slopesAt is a time at which nothing that a slope holds has expired.
const slopesAt = timekeeper.Instant(1)

// spreadHash returns the i-th of a row of hashes without a pattern.
func spreadHash(i int) uint64 {
	return uint64(i+1) * 0x9e3779b97f4a7c15
}

// teamsFile returns a configuration file with so many teams of one key each.
func teamsFile(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "[teams.team-%d]\nkey-hashes = [\"%064x\"]\nweight = 2\n", i, spreadHash(i))
	}
	return text.String()
}

// teams returns what a process holds of a configuration in force: the text, to
// give to peers, and what was read from it.
func teams(count int) any {
	text := strings.Clone(teamsFile(count))
	config, faults := resolver.Bundle{Base: text}.Resolve("")
	if len(faults) > 0 || len(config.Teams) != count {
		panic("the teams were not read")
	}
	return []any{text, config}
}

// pointers returns a home's directory of chats that ran at some of 183 replicas.
func pointers(count int) any {
	directory := placer.NewDirectory(placer.DirectorySettings{Self: "replica-0"})
	replicas := make([]string, 183)
	for i := range replicas {
		replicas[i] = "replica-" + strconv.Itoa(i)
	}
	for i := range count {
		directory.Note(spreadHash(i), replicas[i%len(replicas)], 2000)
	}
	return directory
}

func claims(count int) any {
	book := claimer.NewBook(claimer.Settings{Name: "orders-1", Incarnation: 1})
	for i := range count {
		ask := claimer.Claim{
			Key: claimer.RowKey("team", "orders", strconv.Itoa(i)), Request: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i),
			Expires: slopesAt.Add(timekeeper.Hour), Minted: true,
		}
		book.Claim(ask, slopesAt)
		book.Start(ask.Request, slopesAt)
		book.End(ask.Request, true, spreadHash(i))
	}
	return book
}

func struck(count int) any {
	ledger := striker.NewLedger("planner-1", 0)
	for i := range count {
		none := striker.Strike{Fingerprint: spreadHash(i), Service: "planner", Team: "team"}
		ledger.Put(none.WithCrash("planner-1", slopesAt.Add(timekeeper.Hour)))
	}
	return ledger
}

// segments returns the backlog of an outage: sealed segments of 256 KiB or so
// before compression, in which a call has three events at its agent.
func segments(events int) any {
	const perSegment = 2000
	chain := recorder.NewChain(recorder.Origin{Group: "orders", Name: "orders-1", Incarnation: 1})
	backlog := recorder.NewBacklog(64 << 20)
	kinds := []recorder.Kind{recorder.Granted, recorder.Committed, recorder.Ended}
	for i := range events {
		chain.Add(recorder.Event{
			At: slopesAt.Add(timekeeper.Span(i) * 7), Kind: kinds[i%3], Request: "entry-1-1y2p0ij32e8e7-" + strconv.Itoa(i/3),
			Service: "orders", Team: "team", Instance: "orders-1", Incarnation: 1, Key: spreadHash(i / 3), Digest: spreadHash(i),
		})
		if i%perSegment == perSegment-1 {
			if segment, ok := chain.Cut(); ok {
				backlog.Push(segment)
			}
		}
	}
	return backlog
}

// BenchmarkMemorySlopes measures the heap that one more team, chat, claim,
// strike and unstored event takes in a process, at several sizes, and breaks
// when one takes more than the capacity page reckons with.
func BenchmarkMemorySlopes(b *testing.B) {
	tests := []struct {
		name  string
		make  func(count int) any
		sizes []int
		most  int64
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
					before := inUse()
					held := test.make(size)
					each := (inUse() - before) / int64(size)
					runtime.KeepAlive(held)
					b.ReportMetric(float64(each), "B/item")
					if each > test.most {
						b.Fatalf("a %s takes %d bytes, the bound is %d", test.name, each, test.most)
					}
				}
			})
		}
	}
}

// BenchmarkReadTeams measures the processor time that one more team takes when
// a process reads a new revision of the configuration.
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
