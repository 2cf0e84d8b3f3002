package balancer

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestReplicaThatAPeerSawLeaveGetsNoWork(t *testing.T) {
	// The store turns this entry away while a replica leaves; a peer tells of it.
	// Then rows that lapsed are due to go, and the entry's own list is taken in once
	// more: it is older than what the peer saw and still has the replica. If it
	// counted, the replica would get work until the store answers again.
	tests := []struct {
		name           string
		left, listed   uint64
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
			fleet := plannerFleet(2)
			list := replicasOf("planner", 2, 64)
			fleet.SetReplicas(list, 8)
			fleet.MarkLeaving("planner-0", test.left)
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
		fleet := plannerFleet(1)
		fleet.MarkLeaving("planner-1", 12)
		fleet.SetReplicas(replicasOf("planner", 2, 64), 9)
		So(fleet.CountAvailable("planner"), ShouldEqual, 1)
	})
}

func TestLeaveIsRevokedByTheList(t *testing.T) {
	// A peer tells that a replica leaves, and it doesn't, or is back. The list that has it
	// ready is as new, and no row of it changes: only its version is told. The replica got
	// no work from this entry for the rest of the day.
	tests := []struct {
		name            string
		left, confirmed uint64
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
			fleet := plannerFleet(2)
			list := replicasOf("planner", 2, 64)
			fleet.SetReplicas(list, 8)
			So(fleet.MarkLeaving("planner-0", test.left), ShouldBeTrue)
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
		fleet := plannerFleet(1)
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
type leaveModel struct {
	fleet *Fleet
	// history is the list at each version, from one on.
	history [][]Replica
	// left is the version at which a replica was seen to leave first; known are those
	// of which the entry could know it.
	left  map[string]uint64
	known map[string]bool
	read  uint64
}

func newLeaveModel(count int) *leaveModel {
	model := &leaveModel{
		fleet: New(Settings{Seed: 1}), history: [][]Replica{replicasOf("planner", count, 64)},
		left: map[string]uint64{}, known: map[string]bool{},
	}
	model.readList(1)
	return model
}

// leave lets a replica of the list begin to leave, or go.
func (model *leaveModel) beginLeave(which int, silently bool) {
	next := slices.Clone(model.history[len(model.history)-1])
	if which >= len(next) {
		return
	}
	id := next[which].ID
	if next[which].Leaving || silently {
		next = slices.Delete(next, which, which+1)
	} else {
		next[which].Leaving = true
	}
	model.history = append(model.history, next)
	if model.left[id] == 0 {
		model.left[id] = uint64(len(model.history))
	}
}

// take lets the entry read the list of a version.
func (model *leaveModel) readList(version uint64) {
	model.read = version
	model.fleet.SetReplicas(slices.Clone(model.history[version-1]), version)
	for id, at := range model.left {
		model.known[id] = model.known[id] || at <= version
	}
}

// confirm moves the entry to the newest version whose list is the one that it has.
func (model *leaveModel) confirm() {
	own := model.history[model.read-1]
	for version := uint64(len(model.history)); version > model.read; version-- {
		if slices.Equal(model.history[version-1], own) {
			model.read = version
			model.fleet.ConfirmVersion(version)
			return
		}
	}
}

// tell lets a peer tell of a replica that has left.
func (model *leaveModel) receiveLeave(id string) {
	if at := model.left[id]; at != 0 {
		model.fleet.MarkLeaving(id, at)
		model.known[id] = true
	}
}

// TestNoWorkForAReplicaThatLeft plays an entry that reads the list late and hears
// from peers in any order. From the moment at which it could know by either that a
// replica leaves, it gives it nothing.
func TestNoWorkForAReplicaThatLeft(t *testing.T) {
	const count = 5
	rapid.Check(t, func(t *rapid.T) {
		model := newLeaveModel(count)
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			which := rapid.IntRange(0, count-1).Draw(t, "which")
			switch rapid.SampledFrom([]string{"leave", "read", "again", "confirm", "tell", "ask"}).Draw(t, "what") {
			case "leave":
				model.beginLeave(which, rapid.Bool().Draw(t, "silently"))
			case "read":
				model.readList(rapid.Uint64Range(model.read, uint64(len(model.history))).Draw(t, "version"))
			case "again":
				model.readList(model.read)
			case "confirm":
				model.confirm()
			case "tell":
				model.receiveLeave(replicasOf("planner", count, 64)[which].ID)
			case "ask":
				placement, _ := model.fleet.Choose(promptRequest(uint64(step), uint64(step)), start.Add(timekeeper.Span(step)))
				if placement != nil && model.known[placement.Replica.ID] {
					t.Fatalf("work for %s, which left", placement.Replica.ID)
				}
			}
		}
	})
}
