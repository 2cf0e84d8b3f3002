package quarantiner_test

import (
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func Example() {
	shared := quarantiner.Feature{Kind: quarantiner.Part, ID: 1}
	bad := quarantiner.Feature{Kind: quarantiner.Part, ID: 2}
	firstRank := func(quarantiner.Feature) int { return 0 }
	table := quarantiner.New()
	now := timekeeper.Instant(10_000)

	// Answers on the shared part survive. Three replicas crash with both in flight.
	table.Survive([]quarantiner.Feature{shared}, now)
	for _, incarnation := range []string{"a", "b", "c"} {
		now = now.Add(100)
		table.Crash(incarnation, []quarantiner.Feature{shared, bad}, now)
	}
	fmt.Println(table.Check([]quarantiner.Feature{shared}, firstRank, now).Allowed())

	// Once an answer without the suspected part survives, the next request with the part is its trial.
	// Others are held back.
	now = now.Add(50)
	table.Survive([]quarantiner.Feature{shared}, now)
	now = now.Add(50)
	fmt.Println(table.Admit([]quarantiner.Feature{shared, bad}, firstRank, now).Trial)
	fmt.Println(table.Check([]quarantiner.Feature{shared, bad}, firstRank, now).Refused)

	// The trial fails.
	now = now.Add(100)
	table.Crash("d", []quarantiner.Feature{shared, bad}, now)
	convicted, _ := table.Convict([]quarantiner.Feature{bad}, "d", now)
	fmt.Println(len(convicted))
	fmt.Println(table.Check([]quarantiner.Feature{shared, bad}, firstRank, now).Final)

	// Output:
	// true
	// [part-2]
	// part-2
	// 1
	// true
}
