package forwarder

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// BenchmarkKeyTable measures the memory of an entry's key table for one more team,
// without the configuration itself. It fails above the figure that the capacity
// page assumes.
func BenchmarkKeyTable(b *testing.B) {
	const maxBytesPerTeam = 128
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
				perTeam := float64(after.HeapAlloc-before.HeapAlloc) / float64(teams)
				runtime.KeepAlive(table)
				b.ReportMetric(perTeam, "B/team")
				if perTeam > maxBytesPerTeam {
					b.Fatalf("a team takes %.0f bytes, the bound is %d", perTeam, maxBytesPerTeam)
				}
			}
		})
	}
}
