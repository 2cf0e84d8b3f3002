package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// versionedFleet returns a fleet of three planners of v1 and one of v1.1, which is planner-3.
func versionedFleet() *Fleet {
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	list := replicasOf("planner", 4, 8)
	for i := range list {
		list[i].SoftwareVersion = []string{"v1", "v1", "v1", "v1.1"}[i]
	}
	list[3].DataCentre = "kality"
	fleet.SetReplicas(list, numbered(1))
	return fleet
}

func continuation(version string) Request {
	return Request{Service: "planner", SoftwareVersion: version, MaxConnections: 6}
}

func TestAContinuationKeepsItsVersion(t *testing.T) {
	// Guards against a continuation at another software version when no replica of its own may
	// get work, for any reason that closes a replica or limits it.
	tests := []struct {
		name   string
		close  func(fleet *Fleet)
		reason Reason
	}{
		{"its replica serves", func(*Fleet) {}, noReason},
		{"its replica leaves", func(fleet *Fleet) { fleet.MarkLeaving("planner-3", numbered(2)) }, NoneOfVersion},
		{"its replica announced a leave", func(fleet *Fleet) { fleet.MarkLeaveAnnounced("planner-3", start) }, NoneOfVersion},
		{"its replica is gone", func(fleet *Fleet) { fleet.SetReplicas(replicasOf("planner", 3, 8), numbered(2)) }, NoneOfVersion},
		{"its data centre is evacuated", func(fleet *Fleet) {
			fleet.Evacuate(NewEvacuations(numbered(2), []string{"kality"}), start)
		}, AllEvacuated},
		{"its replica is unreachable", func(fleet *Fleet) { fleet.MarkUnreachable("planner-3", start) }, NoneOfVersion},
		{"its replica was unreachable, and its row is no newer", func(fleet *Fleet) {
			fleet.MarkUnreachable("planner-3", start.Add(-maxUnreachablePause))
			fleet.ConfirmList(start.Add(-maxUnreachablePause + restartNotice - 1))
		}, NoneOfVersion},
		{"its replica was unreachable, and its row shows that it has not restarted", func(fleet *Fleet) {
			fleet.MarkUnreachable("planner-3", start.Add(-maxUnreachablePause))
			fleet.ConfirmList(start.Add(-maxUnreachablePause + restartNotice))
		}, noReason},
		{"its connections are used up", func(fleet *Fleet) {
			fillWith(fleet, func(uint64) Request { return continuation("v1.1") }, start)
		}, AllFull},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := versionedFleet()
			test.close(fleet)
			placement, reason := fleet.Choose(continuation("v1.1"), start)
			So(reason, ShouldEqual, test.reason)
			if reason == noReason {
				So(placement.Replica.ID, ShouldEqual, "planner-3")
			}
			other, _ := fleet.Choose(continuation("v1"), start)
			So(other.Replica.SoftwareVersion, ShouldEqual, "v1")
		})
	}
}

func TestContinuationsOfAProcessThatStoodStill(t *testing.T) {
	// Guards against a continuation by rows that have become outdated while the process stood still.
	fleet := versionedFleet()
	fleet.ConfirmList(start.Add(-100))
	fleet.ExpireList(start)
	Convey("none goes on until the list is confirmed, and new streams have no known origin", t, func() {
		_, reason := fleet.Choose(continuation("v1.1"), start)
		So(reason, ShouldEqual, NoneOfVersion)
		placement, _ := fleet.Choose(continuation(""), start)
		So(placement.Replica.Origin().Known(), ShouldBeFalse)
		fleet.ConfirmList(start.Add(1))
		placement, reason = fleet.Choose(continuation("v1.1"), start)
		So(reason, ShouldEqual, noReason)
		So(placement.Replica.ID, ShouldEqual, "planner-3")
	})
}

func TestAStreamBeginsAtAReplicaThatMayHaveRestarted(t *testing.T) {
	// Guards against a stream that is recorded as begun at the version of an outdated row.
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	list := replicasOf("planner", 1, 8)
	list[0].SoftwareVersion = "v1"
	fleet.SetReplicas(list, numbered(1))
	fleet.MarkUnreachable("planner-0", start)
	now := start.Add(maxUnreachablePause)
	Convey("its origin isn't known until the list shows that it has not", t, func() {
		first := mustChoose(t, fleet, Request{Service: "planner"}, now)
		So(first.Replica.Origin().Known(), ShouldBeFalse)
		fleet.End(first, Served, now)
		fleet.ConfirmList(start.Add(restartNotice))
		So(mustChoose(t, fleet, Request{Service: "planner"}, now).Replica.Origin().SoftwareVersion, ShouldEqual, "v1")
	})
}

func TestContinuationsStayWithinTheirReplicasShare(t *testing.T) {
	// Guards against continuations that pile up at the only replica of their version: the bound is
	// over the mean of the service, not of that version.
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	list := replicasOf("planner", 9, 64)
	list[0].SoftwareVersion = "v1.1"
	fleet.SetReplicas(list, numbered(1))
	placed := fillWith(fleet, func(uint64) Request { return Request{Service: "planner", SoftwareVersion: "v1.1"} }, start)
	Convey("it gets few while the others are idle", t, func() {
		So(len(placed), ShouldBeLessThanOrEqualTo, 4)
	})
}

func TestWaitersOfOneVersionDoNotHoldUpOthers(t *testing.T) {
	// Guards against a continuation that waits for its version and keeps all requests behind it
	// from the free replicas of other versions, and against one that is overtaken for its place.
	fleet := versionedFleet()
	fillWith(fleet, func(uint64) Request { return Request{Service: "planner", SoftwareVersion: "v1", MaxConnections: 4} }, start)
	taken := fillWith(fleet, func(uint64) Request { return continuation("v1.1") }, start)
	waiterOf := func(version string) *Waiter {
		return &Waiter{Request: continuation(version), Rank: 10, Due: start.Add(300), Until: start.Add(600)}
	}
	first, second, other := waiterOf("v1.1"), waiterOf("v1.1"), waiterOf("")
	for _, waiter := range []*Waiter{first, second, other} {
		fleet.Enqueue(waiter, start)
	}
	Convey("the request for any version is placed, the continuations wait in order", t, func() {
		So(other.Placement, ShouldNotBeNil)
		So(fleet.Dispatch(start), ShouldBeEmpty)
		So(fleet.Waiting(), ShouldEqual, 2)
		fleet.End(taken[0], Served, start.Add(10))
		So(fleet.Dispatch(start.Add(10)), ShouldResemble, []*Waiter{first})
		So(first.Placement.Replica.ID, ShouldEqual, "planner-3")
		So(fleet.Dispatch(start.Add(700)), ShouldResemble, []*Waiter{second})
		So(second.Reason, ShouldEqual, AllFull)
	})
}
