package follower

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestCopiesOfOneVersionThatDiffer(t *testing.T) {
	// A copy lacks a row that the table has, at the table's version, so no later change
	// brings it: five entries went on with 26 to 31 of 48 replicas, until the version moved
	// a second or twenty later. Others tell that theirs is different. Who reads reads
	// everything after three seconds of it, others after six; nobody does for a difference
	// of a moment, or while rows come and go.
	const second = timekeeper.Second
	tests := []struct {
		name  string
		reads bool
		// wrong reports whether this copy is the wrong one, for how long others tell of
		// theirs, and every how much.
		wrong bool
		lasts timekeeper.Span
		every timekeeper.Span
		told  bool
		// whole is how often the table is read whole, and right whether the copy is the
		// table at the end.
		whole int
		right bool
	}{
		{"a reader whose copy is wrong", true, true, 4 * second, second, false, 1, true},
		{"a reader whose copy is right", true, false, 4 * second, second, false, 1, true},
		{"builds that count rows differently", true, false, 50 * second, second, false, 2, true},
		{"a difference of a moment", true, true, 2 * second, second, false, 0, false},
		{"signs that are far apart", true, true, 20 * second, 4 * second, false, 0, false},
		{"one that leaves the reading to others, at first", false, true, 5 * second, second, false, 0, false},
		{"one that leaves the reading to others, later", false, true, 7 * second, second, false, 1, true},
		{"a change that was told is on its way", true, true, 9 * second, second, true, 0, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			table, clock := newTable(), newClock()
			table.put("a", 1)
			table.put("b", 1)
			wholes := 0
			source := table.source()
			snapshot := source.Snapshot
			source.Snapshot = func(ctx context.Context) ([]Change[int], Version, error) {
				wholes++
				return snapshot(ctx)
			}
			copied := map[string]int{}
			sum := func(key string, value int) uint64 { return uint64(key[0])<<32 + uint64(value) }
			follower := New(Settings[int]{
				Name: "test", Clock: clock.Clock(), Log: quiet(), Source: source, Sum: sum,
				Apply:    func(rows map[string]int, _ Version) { copied = rows },
				IsReader: func() bool { return test.reads }, FailingElsewhere: func() bool { return true },
			})
			follower.Step(t.Context())
			wholes = 0
			other := Summary{Version: table.version, Sum: follower.sum ^ 1}
			if test.wrong {
				other.Sum = follower.sum
				follower.drop("b")
				follower.apply()
			}
			if test.told {
				follower.ApplyUpdate(Update[int]{Version: table.version + 1, Changes: []Change[int]{{Key: "c", Value: 1}}})
			}
			for passed := timekeeper.Span(0); passed <= test.lasts; passed += test.every {
				follower.Compare(other)
				if follower.duty() == readTable {
					follower.Step(t.Context())
				}
				clock.Advance(test.every)
			}
			So(wholes, ShouldEqual, test.whole)
			if test.right {
				So(copied, ShouldResemble, map[string]int{"a": 1, "b": 1})
			}
		})
	}
}
