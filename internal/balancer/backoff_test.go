package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// refusing returns a fleet of planners that started at 1000, and asks for backoffs of the
// first ones of them.
func newBackoffFleet(count, asking int, span timekeeper.Span) (*Fleet, []Replica) {
	fleet := New(Settings{Seed: 1, DataCentre: "bole"})
	list := plannersStartedAt(count, 1000)
	fleet.SetReplicas(list, 5)
	for _, replica := range list[:asking] {
		fleet.StartBackoff(replica.Incarnation(), span, start)
	}
	return fleet, list
}

// latest is when a backoff asked for at the start has ended at the latest.
func latestEnd(span timekeeper.Span) timekeeper.Instant {
	return start.Add(span + min(timekeeper.Span(backoffSpread*float64(span)), maxBackoffSpread))
}

// chosenAt returns how many of some requests go to the first planner at an instant.
func countForFirst(fleet *Fleet, now timekeeper.Instant) (count int) {
	for number := range 50 {
		placement, _ := fleet.Choose(promptRequest(uint64(number), uint64(number)), now)
		if placement == nil {
			continue
		}
		if placement.Replica.ID == "planner-0" {
			count++
		}
		defer fleet.End(placement, Abandoned, now)
	}
	return count
}

func TestRequestsDuringABackoff(t *testing.T) {
	// Guards against requests to a replica before the end of the time that it asked for.
	const span = 3 * timekeeper.Second
	tests := []struct {
		name  string
		apply func(fleet *Fleet, list []Replica)
		// until is for how long after the start it holds.
		until timekeeper.Span
	}{
		{"one", func(*Fleet, []Replica) {}, span},
		{"a shorter one follows", func(fleet *Fleet, list []Replica) {
			fleet.StartBackoff(list[0].Incarnation(), 100, start.Add(10))
		}, span},
		{"a longer one follows", func(fleet *Fleet, list []Replica) {
			fleet.StartBackoff(list[0].Incarnation(), 2*span, start.Add(10))
		}, 2*span + 10},
		{"one of nothing follows", func(fleet *Fleet, list []Replica) {
			fleet.StartBackoff(list[0].Incarnation(), 0, start.Add(10))
		}, span},
		{"the row lapses and comes back", func(fleet *Fleet, list []Replica) {
			fleet.SetReplicas(list[1:], 6)
			fleet.SetReplicas(list, 7)
		}, span},
		{"it is asked for while the row has lapsed", func(fleet *Fleet, list []Replica) {
			fleet.SetReplicas(list[1:], 6)
			fleet.StartBackoff(list[0].Incarnation(), 2*span, start.Add(10))
			fleet.SetReplicas(list, 7)
		}, 2*span + 10},
		{"a newer list has it ready", func(fleet *Fleet, list []Replica) { fleet.SetReplicas(list, 8) }, span},
		{"an earlier life asked for more", func(fleet *Fleet, list []Replica) {
			earlier := list[0]
			earlier.StartedAt = 500
			fleet.StartBackoff(earlier.Incarnation(), timekeeper.Hour, start)
		}, span},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet, list := newBackoffFleet(3, 1, span)
			test.apply(fleet, list)
			for at := timekeeper.Span(0); at < test.until; at += 100 {
				So(countForFirst(fleet, start.Add(at)), ShouldEqual, 0)
			}
			So(countForFirst(fleet, latestEnd(test.until)), ShouldEqual, 1)
		})
	}
	Convey("an answer to a request that was under way before does not end it", t, func() {
		fleet, list := newBackoffFleet(1, 0, span)
		placement, _ := fleet.Choose(promptRequest(1, 1), start)
		fleet.StartBackoff(list[0].Incarnation(), span, start)
		fleet.AnswerStarted(placement, start.Add(20))
		fleet.End(placement, Served, start.Add(200))
		So(countForFirst(fleet, start.Add(span-1)), ShouldEqual, 0)
	})
	Convey("a later life has none", t, func() {
		fleet, list := newBackoffFleet(1, 1, timekeeper.Hour)
		list[0].StartedAt = 2000
		fleet.SetReplicas(list, 6)
		So(countForFirst(fleet, start), ShouldBeGreaterThan, 1)
	})
}

func TestLeaveAnnouncedDuringABackoffOfAnUnlistedReplica(t *testing.T) {
	// Guards against a statement about an unlisted replica that hides the next one.
	fleet, list := newBackoffFleet(2, 1, timekeeper.Second)
	fleet.SetReplicas(list[1:], 6)
	Convey("both are kept", t, func() {
		So(fleet.MarkLeaveAnnounced(list[0].Incarnation(), start), ShouldBeTrue)
		So(fleet.MarkLeaveAnnounced(list[0].Incarnation(), start), ShouldBeFalse)
		fleet.SetReplicas(list, 7)
		So(countForFirst(fleet, latestEnd(timekeeper.Second)), ShouldEqual, 0)
	})
}

func TestNoRequestToARemovedIncarnation(t *testing.T) {
	// Guards against a request that was chosen for a replica and is sent after the list has
	// lost it, or has a later life of it.
	tests := []struct {
		name  string
		apply func(fleet *Fleet, list []Replica)
		want  bool
	}{
		{"it is listed", func(*Fleet, []Replica) {}, true},
		{"it is gone", func(fleet *Fleet, list []Replica) { fleet.SetReplicas(list[1:], 6) }, false},
		{"it has started again", func(fleet *Fleet, list []Replica) {
			list[0].StartedAt = 2000
			fleet.SetReplicas(list, 6)
		}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet, list := newBackoffFleet(1, 0, 0)
			placement, _ := fleet.Choose(promptRequest(1, 1), start)
			test.apply(fleet, list)
			_, admitted := fleet.Admits(placement, start)
			So(admitted, ShouldEqual, test.want)
		})
	}
}

func TestTrialRequestAfterABackoff(t *testing.T) {
	// Guards against a replica that gets all that waits at the end of its backoff.
	const span = timekeeper.Second
	fleet, list := newBackoffFleet(1, 1, span)
	over := latestEnd(span)
	trial, _ := fleet.Choose(promptRequest(1, 1), over)
	Convey("one", t, func() {
		So(trial, ShouldNotBeNil)
		So(countForFirst(fleet, over), ShouldEqual, 0)
		_, admitted := fleet.Admits(trial, over)
		So(admitted, ShouldBeTrue)
	})
	Convey("another, where the first says nothing for a while", t, func() {
		So(countForFirst(fleet, over.Add(trialTimeout)), ShouldEqual, 1)
	})
	Convey("none, where it is refused again", t, func() {
		fleet.StartBackoff(list[0].Incarnation(), span, over)
		fleet.End(trial, Refused, over)
		So(countForFirst(fleet, over.Add(span-1)), ShouldEqual, 0)
	})
	Convey("all, once it is served", t, func() {
		now := over.Add(2 * span)
		placement, _ := fleet.Choose(promptRequest(2, 2), now)
		fleet.AnswerStarted(placement, now.Add(20))
		So(countForFirst(fleet, now.Add(20)), ShouldBeGreaterThan, 10)
	})
}

func TestRequestsChosenBeforeABackoff(t *testing.T) {
	// Guards against hundreds of requests that were chosen in the same millisecond and are
	// sent after the refusal.
	fleet, list := newBackoffFleet(2, 0, 0)
	chosen := fillPlanners(fleet)
	fleet.StartBackoff(list[0].Incarnation(), timekeeper.Second, start)
	Convey("they go elsewhere unsent", t, func() {
		So(len(chosen), ShouldBeGreaterThan, 50)
		for _, placement := range chosen {
			current, admitted := fleet.Admits(placement, start)
			So(admitted, ShouldEqual, placement.Replica.ID != "planner-0")
			if !admitted {
				So(current.Cause, ShouldEqual, BackingOff)
				So(current.Until, ShouldBeGreaterThanOrEqualTo, start.Add(timekeeper.Second))
			}
		}
	})
}

func TestWaitersWhileReplicasBackOff(t *testing.T) {
	// Guards against callers who are held, or refused, although it is known what waiting
	// brings.
	waiterFor := func(use timekeeper.Span) *Waiter {
		return &Waiter{Request: promptRequest(1, 1), Due: start.Add(use / 2), Until: start.Add(use)}
	}
	const span = timekeeper.Second
	Convey("where all do, whoever can't wait for so long is told at once when to come", t, func() {
		fleet, _ := newBackoffFleet(3, 3, span)
		waiter := waiterFor(span / 2)
		fleet.Enqueue(waiter, start)
		So(waiter.Reason, ShouldEqual, AllBackingOff)
		So(waiter.Wait, ShouldBeBetweenOrEqual, span, latestEnd(span).Since(start))
		So(fleet.Waiting(), ShouldEqual, 0)
	})
	Convey("also who comes behind others that can", t, func() {
		fleet, _ := newBackoffFleet(3, 3, span)
		longWaiter, shortWaiter := waiterFor(2*span), waiterFor(span/2)
		fleet.Enqueue(longWaiter, start)
		fleet.Enqueue(shortWaiter, start)
		So(longWaiter.Reason, ShouldBeEmpty)
		So(shortWaiter.Reason, ShouldEqual, AllBackingOff)
		Convey("who waits is served by the first that ends", func() {
			So(fleet.Dispatch(start.Add(span-1)), ShouldBeEmpty)
			decided := fleet.Dispatch(latestEnd(span))
			So(decided, ShouldHaveLength, 1)
			So(decided[0].Placement, ShouldNotBeNil)
		})
	})
	Convey("and who waits already when the last one asks for it", t, func() {
		fleet, list := newBackoffFleet(2, 1, span)
		fillPlanners(fleet)
		waiter := waiterFor(span / 2)
		fleet.Enqueue(waiter, start)
		So(waiter.Reason, ShouldBeEmpty)
		fleet.StartBackoff(list[1].Incarnation(), span, start)
		decided := fleet.Dispatch(start)
		So(decided, ShouldHaveLength, 1)
		So(decided[0].Reason, ShouldEqual, AllBackingOff)
	})
	Convey("where some do, the others serve", t, func() {
		fleet, _ := newBackoffFleet(9, 3, span)
		for number := range 60 {
			waiter := &Waiter{Request: promptRequest(uint64(number), uint64(number)), Due: start.Add(300), Until: start.Add(600)}
			fleet.Enqueue(waiter, start)
			So(waiter.Placement, ShouldNotBeNil)
			So(waiter.Placement.Replica.ID, ShouldNotBeIn, "planner-0", "planner-1", "planner-2")
		}
	})
	Convey("who has met all but those that back off is told, and holds up nobody", t, func() {
		fleet, _ := newBackoffFleet(2, 1, span)
		waiter := waiterFor(2 * span)
		waiter.Request.Excluded = []string{"planner-1"}
		fleet.Enqueue(waiter, start)
		So(waiter.Reason, ShouldEqual, AllBackingOff)
	})
	Convey("those that leave or are evacuated don't count", t, func() {
		fleet, list := newBackoffFleet(3, 1, span)
		fleet.MarkLeaveAnnounced(list[1].Incarnation(), start)
		fleet.MarkLeaving(list[2].ID, 99)
		So(fleet.BackoffRemaining("planner", start), ShouldBeGreaterThanOrEqualTo, span)
		fleet.MarkLeaveAnnounced(list[0].Incarnation(), start)
		So(fleet.BackoffRemaining("planner", start), ShouldEqual, 0)
		waiter := waiterFor(2 * span)
		fleet.Enqueue(waiter, start)
		So(waiter.Reason, ShouldEqual, NoReplicas)
	})
}

func TestSeveralCausesAtOnce(t *testing.T) {
	// Guards against a replica that gets work when the first of several reasons ends.
	const span = timekeeper.Second
	fleet, list := newBackoffFleet(1, 1, span)
	fleet.SetWarmUp("planner", WarmUp{Span: 5 * span, Rate: 12})
	fleet.SetEntries("a", nil)
	list[0].WarmAt = start.Add(5 * span)
	fleet.SetReplicas(list, 6)
	fleet.Evacuate(NewEvacuations(1, []string{list[0].DataCentre}), start)
	member := fleet.replicas[list[0].ID]
	Convey("the reasons end one by one", t, func() {
		So(fleet.eligibility(member, start).Cause, ShouldEqual, Evacuated)
		fleet.Evacuate(NewEvacuations(2, nil), start)
		So(fleet.eligibility(member, start).Cause, ShouldEqual, BackingOff)
		So(fleet.eligibility(member, latestEnd(span)).Cause, ShouldEqual, Cold)
		So(fleet.eligibility(member, start.Add(6*span)).Access, ShouldEqual, Open)
	})
}

func TestBackoffsOfManyEntriesEndAtDifferentTimes(t *testing.T) {
	// Guards against a replica that is refilled in one instant by all the entries that it
	// refused in one instant.
	const entries, span, slots = 103, 3 * timekeeper.Second, 64
	reach := map[timekeeper.Instant]int{}
	for number := range entries {
		fleet := New(Settings{Seed: uint64(number)})
		fleet.SetReplicas(replicasOf("planner", 1, slots), 5)
		fleet.StartBackoff("planner-0", span, start)
		for now := start; now <= latestEnd(span).Add(trialTimeout); now = now.Add(10) {
			// Five requests wait at each entry.
			for request := range 5 {
				if placement, _ := fleet.Choose(promptRequest(uint64(request), uint64(request)), now); placement != nil {
					reach[now]++
				}
			}
		}
	}
	worst := 0
	for now := range reach {
		within := 0
		for at, count := range reach {
			if at >= now && at.Since(now) < 100 {
				within += count
			}
		}
		worst = max(worst, within)
	}
	Convey("no tenth of a second brings more than the replica has slots", t, func() {
		So(worst, ShouldBeBetweenOrEqual, 1, slots)
	})
}
