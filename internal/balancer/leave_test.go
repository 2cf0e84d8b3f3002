package balancer

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAReplicaThatAPeerSawLeaveStaysOut(t *testing.T) {
	// The store turns this entry away while a replica leaves; a peer tells of it.
	// Then rows that lapsed are due to go, and the entry's own list is taken in once
	// more: it is older than what the peer saw and still has the replica. If it
	// counted, the replica would get work until the store answers again.
	tests := []struct {
		name           string
		told, listed   uint64
		leaving, works bool
	}{
		{"an older list", 12, 9, false, false},
		{"a list as new as what the peer saw, which has it ready", 12, 12, false, true},
		{"a newer list, after a lapse", 12, 15, false, true},
		{"a newer list that says the same", 12, 15, true, false},
		{"told of what the own list has outlived", 3, 9, false, true},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := planners(2)
			list := replicasOf("planner", 2, 64)
			fleet.SetReplicas(list, 8)
			fleet.MarkLeaving("planner-0", test.told)
			list[0].Leaving = test.leaving
			fleet.SetReplicas(list, test.listed)
			want := 1
			if test.works {
				want = 2
			}
			So(fleet.CountAvailable("planner"), ShouldEqual, want)
		})
	}
	Convey("also one that the own list did not have yet", t, func() {
		fleet := planners(1)
		fleet.MarkLeaving("planner-1", 12)
		fleet.SetReplicas(replicasOf("planner", 2, 64), 9)
		So(fleet.CountAvailable("planner"), ShouldEqual, 1)
	})
}

func TestALeaveThatTheListCorrects(t *testing.T) {
	// A peer tells that a replica leaves, and it doesn't, or is back. The list that has it
	// ready is as new, and no row of it changes: only its version is told. The replica got
	// no work from this entry for the rest of the day.
	tests := []struct {
		name            string
		told, confirmed uint64
		// listed is the version of a list that comes after the word; zero means none.
		listed         uint64
		leaving, works bool
	}{
		{"the list is as new", 12, 12, 0, false, true},
		{"it is newer", 12, 20, 0, false, true},
		{"it is older", 12, 11, 0, false, false},
		{"an older list came between", 12, 15, 10, false, true},
		{"an older list came between, and it is older", 12, 11, 10, false, false},
		{"the list itself says that it leaves", 12, 20, 10, true, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := planners(2)
			list := replicasOf("planner", 2, 64)
			fleet.SetReplicas(list, 8)
			So(fleet.MarkLeaving("planner-0", test.told), ShouldBeTrue)
			list[0].Leaving = test.leaving
			if test.listed > 0 {
				fleet.SetReplicas(list, test.listed)
			}
			back, want := fleet.ConfirmVersion(test.confirmed), 1
			if test.works {
				want = 2
				So(back, ShouldResemble, []string{"planner-0"})
			} else {
				So(back, ShouldBeEmpty)
			}
			So(fleet.CountAvailable("planner"), ShouldEqual, want)
			So(fleet.MarkLeaving("planner-0", test.confirmed), ShouldBeFalse)
		})
	}
	Convey("a listing of an earlier life says nothing of the later one", t, func() {
		fleet := planners(1)
		list := replicasOf("planner", 1, 64)
		list[0].StartedAt = 20
		fleet.SetReplicas(list, 8)
		fleet.MarkLeaving("planner-0", 12)
		list[0].StartedAt = 10
		fleet.SetReplicas(list, 10)
		So(fleet.CountAvailable("planner"), ShouldEqual, 0)
		fleet.SetReplicas(list, 13)
		So(fleet.CountAvailable("planner"), ShouldEqual, 1)
	})
}

// leaver is a store on which replicas begin to leave and go, for good, and an
// entry that reads it late.
type leaver struct {
	fleet *Fleet
	// history is the list at each version, from one on.
	history [][]Replica
	// left is the version at which a replica was seen to leave first; known are those
	// of which the entry could know it.
	left  map[string]uint64
	known map[string]bool
	read  uint64
}

func newLeaver(count int) *leaver {
	play := &leaver{
		fleet: New(Settings{Seed: 1}), history: [][]Replica{replicasOf("planner", count, 64)},
		left: map[string]uint64{}, known: map[string]bool{},
	}
	play.take(1)
	return play
}

// leave lets a replica of the list begin to leave, or go.
func (play *leaver) leave(which int, silently bool) {
	next := slices.Clone(play.history[len(play.history)-1])
	if which >= len(next) {
		return
	}
	id := next[which].ID
	if next[which].Leaving || silently {
		next = slices.Delete(next, which, which+1)
	} else {
		next[which].Leaving = true
	}
	play.history = append(play.history, next)
	if play.left[id] == 0 {
		play.left[id] = uint64(len(play.history))
	}
}

// take lets the entry read the list of a version.
func (play *leaver) take(version uint64) {
	play.read = version
	play.fleet.SetReplicas(slices.Clone(play.history[version-1]), version)
	for id, at := range play.left {
		play.known[id] = play.known[id] || at <= version
	}
}

// confirm moves the entry to the newest version whose list is the one that it has.
func (play *leaver) confirm() {
	own := play.history[play.read-1]
	for version := uint64(len(play.history)); version > play.read; version-- {
		if slices.Equal(play.history[version-1], own) {
			play.read = version
			play.fleet.ConfirmVersion(version)
			return
		}
	}
}

// tell lets a peer tell of a replica that has left.
func (play *leaver) tell(id string) {
	if at := play.left[id]; at != 0 {
		play.fleet.MarkLeaving(id, at)
		play.known[id] = true
	}
}

// TestNoWorkForAReplicaThatLeft plays an entry that reads the list late and hears
// from peers in any order. From the moment at which it could know by either that a
// replica leaves, it gives it nothing.
func TestNoWorkForAReplicaThatLeft(t *testing.T) {
	const count = 5
	rapid.Check(t, func(t *rapid.T) {
		play := newLeaver(count)
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			which := rapid.IntRange(0, count-1).Draw(t, "which")
			switch rapid.SampledFrom([]string{"leave", "read", "again", "confirm", "tell", "ask"}).Draw(t, "what") {
			case "leave":
				play.leave(which, rapid.Bool().Draw(t, "silently"))
			case "read":
				play.take(rapid.Uint64Range(play.read, uint64(len(play.history))).Draw(t, "version"))
			case "again":
				play.take(play.read)
			case "confirm":
				play.confirm()
			case "tell":
				play.tell(replicasOf("planner", count, 64)[which].ID)
			case "ask":
				placement, _ := play.fleet.Choose(promptAsk(uint64(step), uint64(step)), start.Add(timekeeper.Span(step)))
				if placement != nil && play.known[placement.Replica.ID] {
					t.Fatalf("work for %s, which left", placement.Replica.ID)
				}
			}
		}
	})
}
