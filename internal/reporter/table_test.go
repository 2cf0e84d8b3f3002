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

func said(name string, incarnation, sequence uint64, state encoder.ReplicaState) *encoder.Digest {
	return &encoder.Digest{
		Instance: name, Incarnation: incarnation, Sequence: sequence, State: state, Load: 100, Address: name,
	}
}

// full returns a table of replicas r0, r1, ... that have all spoken at start.
func full(count int, rules Rules) *Table {
	table := NewTable("planner", rules)
	for i := range count {
		table.Merge(start, said("r"+strconv.Itoa(i), 10, 5, live))
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

func TestTheNewestWordWins(t *testing.T) {
	tests := []struct {
		name   string
		said   *encoder.Digest
		state  string
		seq    uint64
		reason string
	}{
		{"a later word", said("r0", 10, 6, draining), "leaving", 6, "the agent is the authority"},
		{"an earlier word", said("r0", 10, 4, draining), "live", 5, "it came late"},
		{"a later life", said("r0", 11, 1, live), "live", 1, "its sequence starts anew"},
		{"an old life that wakes", said("r0", 9, 900, draining), "live", 5, "its replacement has the name"},
	}
	for _, test := range tests {
		Convey(test.name+": "+test.reason, t, func() {
			table := full(4, Rules{})
			table.Merge(start, test.said)
			So(stateOf(table, "r0"), ShouldEqual, test.state)
			So(table.rows["r0"].Sequence, ShouldEqual, test.seq)
		})
	}
	Convey("an incarnation that drains never serves again", t, func() {
		table := full(4, Rules{})
		table.Merge(start, said("r0", 10, 6, draining))
		table.Merge(start, said("r0", 10, 7, live))
		So(stateOf(table, "r0"), ShouldEqual, "leaving")
		table.Merge(start, said("r0", 11, 1, live))
		So(stateOf(table, "r0"), ShouldEqual, "live")
	})
}

func TestSilenceIsDeathOnlyWhenOthersSpeak(t *testing.T) {
	at := start.Add(9 * timekeeper.Second)
	// heard returns a table in which the replicas named have spoken on, each
	// second, with digests that took age to come.
	heard := func(table *Table, from, to int, age timekeeper.Span) *Table {
		for second := range uint64(10) {
			now := start.Add(timekeeper.Span(second) * timekeeper.Second)
			for i := from; i < to; i++ {
				digest := said("r"+strconv.Itoa(i), 10, 6+second, live)
				digest.Age = int64(age)
				table.Merge(now, digest)
			}
			table.Evaluate(now)
		}
		table.Evaluate(at)
		return table
	}
	Convey("one that is silent among others that speak is dead", t, func() {
		table := heard(full(9, Rules{}), 1, 9, 0)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		So(len(table.Live()), ShouldEqual, 8)
		So(table.Mean(at).Replicas, ShouldEqual, 8)
	})
	Convey("slow is not dead: where all words are old, one older is not out of line", t, func() {
		So(len(heard(full(9, Rules{}), 1, 9, 4*timekeeper.Second).Live()), ShouldEqual, 9)
	})
	Convey("half of a service that falls silent at once is held dead, at any size", t, func() {
		for _, replicas := range []int{2, 3, 4, 8, 9, 50} {
			silent := replicas / 2
			So(len(heard(full(replicas, Rules{}), silent, replicas, 0).Live()), ShouldEqual, replicas-silent)
		}
	})
	Convey("a cut that silences most leaves at least half", t, func() {
		table := heard(full(9, Rules{}), 7, 9, 0)
		for range 3 {
			table.Evaluate(at.Add(timekeeper.Minute))
		}
		So(len(table.Live()), ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("an entry that can't reach a replica goes by that, not by hearsay, for a while", t, func() {
		table := full(9, Rules{Indirect: true})
		table.RecordFailure(at, "r0")
		table.RecordFailure(at, "r0")
		table.Merge(at, said("r0", 10, 8, live))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		table.Evaluate(at.Add(defaultCool + 1))
		So(stateOf(table, "r0"), ShouldEqual, "live")
	})
	Convey("an entry whose agents call most dead keeps half, however that came about", t, func() {
		table := full(9, Rules{Indirect: true})
		for i := range 7 {
			table.Merge(at, said("r"+strconv.Itoa(i), 10, 5, gone))
			table.Evaluate(at)
		}
		So(len(table.Live()), ShouldEqual, 5)
	})
	Convey("replicas that fall silent one after the other leave at least half", t, func() {
		table := full(9, Rules{})
		now := start
		for silent := range 9 {
			for range 20 {
				now = now.Add(timekeeper.Second)
				for i := silent; i < 9; i++ {
					table.Merge(now, said("r"+strconv.Itoa(i), 10, uint64(now), live))
				}
				table.Evaluate(now)
			}
		}
		So(len(table.Live()), ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("a process that was itself away holds nobody dead when it wakes", t, func() {
		table := full(9, Rules{})
		wake := start.Add(timekeeper.Minute)
		for i := range 5 {
			table.Merge(wake, said("r"+strconv.Itoa(i), 10, 90, live))
		}
		table.Evaluate(wake)
		So(len(table.Live()), ShouldEqual, 9)
	})
	Convey("an entry takes the agents' verdict, and a later word over it", t, func() {
		table := full(9, Rules{Indirect: true})
		table.Merge(at, said("r0", 10, 5, gone))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		table.Merge(at, said("r0", 10, 8, live))
		table.Merge(at, said("r0", 10, 5, gone))
		table.Evaluate(at)
		So(stateOf(table, "r0"), ShouldEqual, "live")
		late := at.Add(defaultSilence)
		table.Merge(late, said("r0", 10, 5, gone))
		table.Evaluate(late)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
	})
}

func TestAFlappingReplicaEarnsItsShareBack(t *testing.T) {
	Convey("each return starts low and takes longer", t, func() {
		table := full(4, Rules{})
		So(table.rows["r0"].Weight(start), ShouldEqual, 1)
		for life := range uint64(3) {
			table.Merge(start, said("r0", 11+life, 1, live))
		}
		row := *table.rows["r0"]
		So(row.Weight(start), ShouldEqual, leastWeight)
		So(row.Weight(start.Add(firstRamp)), ShouldAlmostEqual, 0.25)
		So(row.Weight(start.Add(4*firstRamp)), ShouldEqual, 1)
	})
	Convey("after a calm time a return counts as the first", t, func() {
		table := full(4, Rules{})
		table.Merge(start, said("r0", 11, 1, live))
		later := start.Add(calm + 1)
		table.Merge(later, said("r0", 12, 1, live))
		So(table.rows["r0"].returns, ShouldEqual, 1)
	})
}

func TestTheListIsAHint(t *testing.T) {
	Convey("a list that names the dead and omits the live changes neither", t, func() {
		table := full(4, Rules{Indirect: true})
		table.Merge(start, said("r0", 10, 5, gone))
		table.MergeList(start, []storekeeper.Instance{{Name: "r0", Address: "a"}, {Name: "r1", Address: "b"}})
		table.Evaluate(start)
		So(stateOf(table, "r0"), ShouldEqual, "dead")
		So(stateOf(table, "r3"), ShouldEqual, "live")
		So(table.rows["r1"].DialAddress(), ShouldEqual, "b")
	})
	Convey("a mark of leaving in the list stops new work", t, func() {
		table := full(4, Rules{})
		table.MergeList(start, []storekeeper.Instance{{Name: "r0", Address: "a", Leaving: true}})
		So(stateOf(table, "r0"), ShouldEqual, "leaving")
	})
}

func TestWhatGivesWayWhenAMessageIsSmall(t *testing.T) {
	table := full(40, Rules{})
	table.Merge(start.Add(1), said("r7", 10, 6, draining))
	later := start.Add(newsFor + timekeeper.Second)
	for i := range 40 {
		table.Merge(later, said("r"+strconv.Itoa(i), 10, 50, live))
	}
	Convey("the notice of leaving always goes, load rows only as they fit", t, func() {
		table.rows["r7"].news = later
		table.rows["r7"].newsSent = 0
		message := table.Pack(later, Query{Limit: 10 + 5*loadRowSize, Recent: true})
		So(len(message.GetDigests()), ShouldEqual, 1)
		So(message.GetDigests()[0].GetState(), ShouldEqual, draining)
		So(len(message.GetLoads().GetIds()), ShouldBeLessThan, 6)
		So(len(table.Pack(later, Query{Recent: true, WithoutLoads: true}).GetLoads().GetIds()), ShouldEqual, 0)
	})
	Convey("another table learns all from one full message", t, func() {
		other := NewTable("planner", Rules{})
		So(other.Unpack(later, table.Pack(later, Query{IncludeDead: true})), ShouldBeEmpty)
		So(len(other.Rows()), ShouldEqual, 40)
		So(stateOf(other, "r7"), ShouldEqual, "leaving")
	})
	Convey("load rows that can't be placed are asked for", t, func() {
		table.Merge(later, said("r0", 10, 60, live))
		message := table.Pack(later, Query{Recent: true, Limit: 2000})
		unknown := NewTable("planner", Rules{}).MergeLoads(later, message.GetLoads())
		So(len(unknown), ShouldEqual, len(message.GetLoads().GetIds()))
		So(len(table.Pack(later, Query{Recent: true, WithoutLoads: true, UnknownIDs: unknown[:1]}).GetDigests()), ShouldBeGreaterThanOrEqualTo, 1)
	})
}
