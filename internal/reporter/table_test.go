package reporter

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	live     = encoder.ReplicaState_REPLICA_STATE_LIVE
	draining = encoder.ReplicaState_REPLICA_STATE_DRAINING
	gone     = encoder.ReplicaState_REPLICA_STATE_GONE
	start    = timekeeper.Instant(1000000)
)

func digestOf(name string, incarnation, sequence uint64, state encoder.ReplicaState) *encoder.Digest {
	return &encoder.Digest{
		Instance: name, Incarnation: incarnation, Sequence: sequence, State: state, Load: 100, Address: name,
	}
}

// tableOf returns a table of live replicas r0, r1, ... that all reported at start.
func tableOf(count int, rules Rules) *Table {
	table := NewTable("planner", rules)
	for i := range count {
		table.Merge(start, digestOf("r"+strconv.Itoa(i), 10, 5, live))
	}
	table.Evaluate(start)
	return table
}

func stateOf(table *Table, name string) string {
	if row := table.rows[name]; row != nil {
		return StateOf(*row)
	}
	return ""
}

func TestNewestDigestWins(t *testing.T) {
	tests := []struct {
		name   string
		digest *encoder.Digest
		state  string
		seq    uint64
		reason string
	}{
		{"a later digest", digestOf("r0", 10, 6, draining), "leaving", 6, "the agent is the authority"},
		{"an earlier digest", digestOf("r0", 10, 4, draining), "live", 5, "it arrived late"},
		{"a later incarnation", digestOf("r0", 11, 1, live), "live", 1, "its sequence starts again"},
		{"an old incarnation that resumes", digestOf("r0", 9, 900, draining), "live", 5, "its replacement has taken the name"},
	}
	for _, test := range tests {
		Convey(test.name+": "+test.reason, t, func() {
			table := tableOf(4, Rules{})
			table.Merge(start, test.digest)
			So(stateOf(table, "r0"), ShouldEqual, test.state)
			So(table.rows["r0"].Sequence, ShouldEqual, test.seq)
		})
	}
	Convey("a draining incarnation never serves again", t, func() {
		table := tableOf(4, Rules{})
		table.Merge(start, digestOf("r0", 10, 6, draining))
		table.Merge(start, digestOf("r0", 10, 7, live))
		So(stateOf(table, "r0"), ShouldEqual, "leaving")
		table.Merge(start, digestOf("r0", 11, 1, live))
		So(stateOf(table, "r0"), ShouldEqual, "live")
	})
}

func TestSilenceCountsAsDeathOnlyWhileOthersReport(t *testing.T) {
	at := start.Add(9 * timekeeper.Second)
	// withDigests merges a digest of each replica from r<from> to before r<to> every
	// second for 10 seconds, each delayed by age, and returns the table.
	withDigests := func(table *Table, from, to int, age timekeeper.Span) *Table {
		for second := range uint64(10) {
			now := start.Add(timekeeper.Span(second) * timekeeper.Second)
			for i := from; i < to; i++ {
				digest := digestOf("r"+strconv.Itoa(i), 10, 6+second, live)
				digest.Age = int64(age)
				table.Merge(now, digest)
			}
			table.Evaluate(now)
		}
		table.Evaluate(at)
		return table
	}
	Convey("one replica that is silent while the others report is dead", t, func() {
		table := withDigests(tableOf(9, Rules{}), 1, 9, 0)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		So(len(table.Live()), ShouldEqual, 8)
		So(table.Mean(at).Replicas, ShouldEqual, 8)
	})
	Convey("slow is not dead: where all digests are old, an older one is no outlier", t, func() {
		So(len(withDigests(tableOf(9, Rules{}), 1, 9, 4*timekeeper.Second).Live()), ShouldEqual, 9)
	})
	Convey("half of a service that falls silent at once is dead, at any size", t, func() {
		for _, replicas := range []int{2, 3, 4, 8, 9, 50} {
			silent := replicas / 2
			So(len(withDigests(tableOf(replicas, Rules{}), silent, replicas, 0).Live()), ShouldEqual, replicas-silent)
		}
	})
	Convey("a partition that silences most replicas leaves at least half live", t, func() {
		table := withDigests(tableOf(9, Rules{}), 7, 9, 0)
		for range 3 {
			table.Evaluate(at.Add(timekeeper.Minute))
		}
		So(len(table.Live()), ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("an entry that can't reach a replica counts it as dead for RetryAfter, whatever relayed digests report", t, func() {
		table := tableOf(9, Rules{Indirect: true})
		table.RecordFailure(at, "r0")
		table.RecordFailure(at, "r0")
		table.Merge(at, digestOf("r0", 10, 8, live))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		table.Evaluate(at.Add(defaultRetryAfter + 1))
		So(stateOf(table, "r0"), ShouldEqual, "live")
	})
	Convey("an entry whose agents report most replicas dead, one after the other, keeps half", t, func() {
		table := tableOf(9, Rules{Indirect: true})
		for i := range 7 {
			table.Merge(at, digestOf("r"+strconv.Itoa(i), 10, 5, gone))
			table.Evaluate(at)
		}
		So(len(table.Live()), ShouldEqual, 5)
	})
	Convey("replicas that fall silent one after the other leave at least half live", t, func() {
		table := tableOf(9, Rules{})
		now := start
		for silent := range 9 {
			for range 20 {
				now = now.Add(timekeeper.Second)
				for i := silent; i < 9; i++ {
					table.Merge(now, digestOf("r"+strconv.Itoa(i), 10, uint64(now), live))
				}
				table.Evaluate(now)
			}
		}
		So(len(table.Live()), ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("a process that was itself paused counts no replica as dead when it resumes", t, func() {
		table := tableOf(9, Rules{})
		resumed := start.Add(timekeeper.Minute)
		for i := range 5 {
			table.Merge(resumed, digestOf("r"+strconv.Itoa(i), 10, 90, live))
		}
		table.Evaluate(resumed)
		So(len(table.Live()), ShouldEqual, 9)
	})
	Convey("an entry accepts the agents' report of a death, and a later digest over it", t, func() {
		table := tableOf(9, Rules{Indirect: true})
		table.Merge(at, digestOf("r0", 10, 5, gone))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		table.Merge(at, digestOf("r0", 10, 8, live))
		table.Merge(at, digestOf("r0", 10, 5, gone))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "live")
		late := at.Add(defaultSilenceTimeout)
		table.Merge(late, digestOf("r0", 10, 5, gone))
		table.Evaluate(late)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
	})
}

func TestFlappingReplicaStartsSlowly(t *testing.T) {
	Convey("each return starts at the minimum weight and ramps up more slowly", t, func() {
		table := tableOf(4, Rules{})
		So(table.rows["r0"].Weight(start), ShouldEqual, 1)
		for restart := range uint64(3) {
			table.Merge(start, digestOf("r0", 11+restart, 1, live))
		}
		row := *table.rows["r0"]
		So(row.Weight(start), ShouldEqual, minWeight)
		So(row.Weight(start.Add(firstRamp)), ShouldAlmostEqual, 0.25)
		So(row.Weight(start.Add(4*firstRamp)), ShouldEqual, 1)
	})
	Convey("after a stable time a return counts as the first", t, func() {
		table := tableOf(4, Rules{})
		table.Merge(start, digestOf("r0", 11, 1, live))
		later := start.Add(stableAfter + 1)
		table.Merge(later, digestOf("r0", 12, 1, live))
		So(table.rows["r0"].returns, ShouldEqual, 1)
	})
}

func TestDigestsOverrideTheList(t *testing.T) {
	Convey("a list that names a dead replica and omits a live one changes neither", t, func() {
		table := tableOf(4, Rules{Indirect: true})
		table.Merge(start, digestOf("r0", 10, 5, gone))
		table.MergeList(start, []storekeeper.Instance{{Name: "r0", Address: "a"}, {Name: "r1", Address: "b"}})
		table.Evaluate(start)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		So(stateOf(table, "r3"), ShouldEqual, "live")
		So(table.rows["r1"].DialAddress(), ShouldEqual, "b")
	})
	Convey("a replica that the list marks as leaving gets no new work", t, func() {
		table := tableOf(4, Rules{})
		table.MergeList(start, []storekeeper.Instance{{Name: "r0", Address: "a", Leaving: true}})
		So(stateOf(table, "r0"), ShouldEqual, "leaving")
	})
}

func TestPackPrioritisesUpdates(t *testing.T) {
	table := tableOf(40, Rules{})
	table.Merge(start.Add(1), digestOf("r7", 10, 6, draining))
	later := start.Add(updateLifetime + timekeeper.Second)
	for i := range 40 {
		table.Merge(later, digestOf("r"+strconv.Itoa(i), 10, 50, live))
	}
	Convey("the notice of leaving is always sent, load rows only as they fit", t, func() {
		table.rows["r7"].updatedAt = later
		table.rows["r7"].updateSends = 0
		message := table.Pack(later, Query{Limit: 10 + 5*loadRowSize, Recent: true})
		So(len(message.GetDigests()), ShouldEqual, 1)
		So(message.GetDigests()[0].GetState(), ShouldEqual, draining)
		So(len(message.GetLoads().GetIds()), ShouldBeLessThan, 6)
		So(len(table.Pack(later, Query{Recent: true, WithoutLoads: true}).GetLoads().GetIds()), ShouldEqual, 0)
	})
	Convey("one full message brings another table up to date", t, func() {
		other := NewTable("planner", Rules{})
		So(other.Unpack(later, table.Pack(later, Query{IncludeDead: true})), ShouldBeEmpty)
		So(len(other.Rows()), ShouldEqual, 40)
		So(stateOf(other, "r7"), ShouldEqual, "leaving")
	})
	Convey("load rows of unknown replicas are requested", t, func() {
		table.Merge(later, digestOf("r0", 10, 60, live))
		message := table.Pack(later, Query{Recent: true, Limit: 2000})
		unknown := NewTable("planner", Rules{}).MergeLoads(later, message.GetLoads())
		So(len(unknown), ShouldEqual, len(message.GetLoads().GetIds()))
		So(len(table.Pack(later, Query{Recent: true, WithoutLoads: true, UnknownIDs: unknown[:1]}).GetDigests()), ShouldBeGreaterThanOrEqualTo, 1)
	})
}
