package forwarder

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// BenchmarkKeyTable measures what an entry's table of keys takes for one more
// team beside the configuration itself, and breaks when that is more than the
// capacity page reckons with.
func BenchmarkKeyTable(b *testing.B) {
	const most = 128
	for _, teams := range []int{650, 6500, 26000} {
		b.Run(strconv.Itoa(teams), func(b *testing.B) {
			config := resolver.Config{Revision: 1, Teams: map[string]resolver.Team{}}
			for i := range teams {
				config.Teams["team-"+strconv.Itoa(i)] = resolver.Team{KeyHashes: []string{fmt.Sprintf("%064x", i)}}
			}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := &keyTable{}
				table.teamOf(config, "Bearer key")
				runtime.GC()
				runtime.ReadMemStats(&after)
				each := float64(after.HeapAlloc-before.HeapAlloc) / float64(teams)
				runtime.KeepAlive(table)
				b.ReportMetric(each, "B/team")
				if each > most {
					b.Fatalf("a team takes %.0f bytes, the bound is %d", each, most)
				}
			}
		})
	}
}
