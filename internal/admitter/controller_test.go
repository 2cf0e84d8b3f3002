package admitter

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func ticket(id, team string, class uint8, work int64) Ticket {
	return Ticket{ID: id, Team: team, Class: class, Work: work}
}

// trial follows what a controller says about its tickets.
type trial struct {
	t                *rapid.T
	controller       *Controller
	running, waiting map[string]bool
	now              timekeeper.Instant
}

func (trial *trial) finish(number int) {
	id := rapid.SampledFrom(keys(trial.running, number)).Draw(trial.t, "finished")
	delete(trial.running, id)
	for _, granted := range trial.controller.Finish(id, trial.now) {
		if trial.running[granted.ID] || !trial.waiting[granted.ID] {
			trial.t.Fatalf("%s was granted twice, or never waited", granted.ID)
		}
		delete(trial.waiting, granted.ID)
		trial.running[granted.ID] = true
	}
}

func (trial *trial) offer(number int) {
	t := trial.t
	offered := ticket(fmt.Sprint(number), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")),
		uint8(rapid.IntRange(0, 7).Draw(t, "class")), int64(rapid.IntRange(1, 500).Draw(t, "work")))
	offered.Arrived = trial.now
	mean := Mean{Total: int64(rapid.IntRange(0, 9000).Draw(t, "total")), Replicas: rapid.IntRange(0, 9).Draw(t, "replicas")}
	held := trial.controller.Load().Work
	decision := trial.controller.Offer(offered, mean)
	for _, displaced := range decision.Displaced {
		if !trial.waiting[displaced.ID] {
			t.Fatalf("%s was displaced and did not wait", displaced.ID)
		}
		delete(trial.waiting, displaced.ID)
	}
	switch decision.Outcome {
	case Granted:
		trial.running[offered.ID] = true
	case Queued:
		trial.waiting[offered.ID] = true
	}
	if decision.Outcome != Refused && held >= trial.controller.limits.Bound(mean, held, offered) {
		t.Fatalf("taken above the bound: held %d, mean %+v", held, mean)
	}
}

func (trial *trial) check() {
	load := trial.controller.Load()
	if load.Running != len(trial.running) || load.Waiting != len(trial.waiting) {
		trial.t.Fatalf("the controller holds %+v, of %d running and %d waiting", load, len(trial.running), len(trial.waiting))
	}
	if load.Running > trial.controller.limits.Slots || load.Waiting > trial.controller.limits.QueueLength {
		trial.t.Fatalf("a cap broke: %+v", load)
	}
}

// TestDeskKeepsEveryTicket drives a controller at random: no ticket is lost, none is
// granted twice, the caps hold, and no replica goes above its bound by more
// than the one ticket that crosses it.
func TestControllerKeepsEveryTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Slots: rapid.IntRange(2, 6).Draw(t, "slots"), QueueLength: rapid.IntRange(0, 8).Draw(t, "queue"),
			UrgentSlots: 1, LoadFactor: 1.25,
		}
		trial := trial{t: t, controller: NewController(limits), running: map[string]bool{}, waiting: map[string]bool{}}
		for number := range rapid.IntRange(1, 80).Draw(t, "steps") {
			trial.now = trial.now.Add(timekeeper.Span(rapid.IntRange(0, 900).Draw(t, "pause")))
			if len(trial.running) > 0 && rapid.Bool().Draw(t, "finish") {
				trial.finish(number)
			} else {
				trial.offer(number)
			}
			trial.check()
		}
	})
}

func keys(set map[string]bool, most int) []string {
	var out []string
	for number := range most {
		if set[fmt.Sprint(number)] {
			out = append(out, fmt.Sprint(number))
		}
	}
	return out
}

func TestBound(t *testing.T) {
	old := Mean{Total: 300, Replicas: 4, Age: timekeeper.Second}
	tests := []struct {
		name       string
		mean       Mean
		held       int64
		work       int64
		cold, last bool
		refused    bool
	}{
		{"an empty replica takes any ticket", Mean{Total: 0, Replicas: 182}, 0, 5000, false, false, false},
		{"below the bound in a service of four", Mean{Total: 400, Replicas: 4}, 100, 100, false, false, false},
		{"at the bound in a service of four", Mean{Total: 300, Replicas: 4}, 125, 100, false, false, true},
		{"a cold ticket stops nearer to the mean", Mean{Total: 400, Replicas: 4}, 140, 100, true, false, true},
		{"an old mean", old, 125, 100, false, false, true},
		{"an old mean, and nowhere else to go", old, 125, 100, false, true, false},
		{"a fresh mean, and nowhere else to go", Mean{Total: 300, Replicas: 4}, 125, 100, false, true, true},
		{"a service of one has no mean", Mean{Total: 900, Replicas: 1}, 900, 100, false, false, false},
		{"a service of 182", Mean{Total: 182_000, Replicas: 182}, 1260, 100, false, false, true},
		{"an unknown mean", Mean{}, 900, 100, false, false, false},
		{"a stale mean", Mean{Total: 4, Replicas: 4, Age: 6 * timekeeper.Second}, 900, 100, false, false, false},
	}
	Convey("the bound follows the mean while that can be believed", t, func() {
		for _, test := range tests {
			controller := NewController(Limits{Slots: 8, QueueLength: 8, LoadFactor: 1.25})
			if test.held > 0 {
				controller.Offer(ticket("held", "a", 3, test.held), Mean{})
			}
			offered := ticket("new", "a", 3, test.work)
			offered.PrefixMiss, offered.LastAttempt = test.cold, test.last
			decision := controller.Offer(offered, test.mean)
			SoMsg(test.name, decision.Outcome == Refused, ShouldEqual, test.refused)
			if test.refused {
				SoMsg(test.name, decision.Failure.Kind, ShouldEqual, classifier.AtBound)
			}
		}
	})
}

func TestQueueUnderLoad(t *testing.T) {
	Convey("a caption finds the slot kept for it while batch work holds the rest", t, func() {
		controller := NewController(Limits{Slots: 4, QueueLength: 8, UrgentSlots: 1})
		for i := range 6 {
			controller.Offer(ticket(fmt.Sprint("batch-", i), "a", 6, 900), Mean{})
		}
		So(controller.Load().Running, ShouldEqual, 3)
		So(controller.Offer(ticket("caption", "b", 0, 10), Mean{}).Outcome, ShouldEqual, Granted)
		So(controller.Offer(ticket("next", "b", 0, 10), Mean{}).Outcome, ShouldEqual, Queued)
		granted := controller.Finish("batch-0", 10)
		So(granted[0].ID, ShouldEqual, "next")
	})
	Convey("a surge of one team harms only itself", t, func() {
		controller := NewController(Limits{Slots: 1, QueueLength: 4})
		for i := range 9 {
			controller.Offer(ticket(fmt.Sprint("surge-", i), "loud", 3, 100), Mean{})
		}
		decision := controller.Offer(ticket("quiet", "small", 3, 100), Mean{})
		So(decision.Outcome, ShouldEqual, Queued)
		So(decision.Displaced[0].ID, ShouldEqual, "surge-4")
		So(controller.DisplacedFailure().Kind, ShouldEqual, classifier.Overloaded)
		So(controller.Offer(ticket("surge-10", "loud", 3, 100), Mean{}).Outcome, ShouldEqual, Refused)
		controller.Finish("surge-0", 10)
		So(controller.Finish("surge-1", 20)[0].ID, ShouldEqual, "quiet")
	})
	Convey("old batch work is not starved by a flood of live work", t, func() {
		controller := NewController(Limits{Slots: 1, QueueLength: 64})
		controller.Offer(ticket("first", "a", 0, 1), Mean{})
		controller.Offer(ticket("batch", "a", 7, 1), Mean{})
		last, rounds, now := "first", 0, timekeeper.Instant(5*timekeeper.Second)
		for ; last != "batch" && rounds < 20; rounds++ {
			controller.Offer(Ticket{ID: fmt.Sprint("live-", rounds), Team: "b", Work: 1, Arrived: now}, Mean{})
			last = controller.Finish(last, now)[0].ID
		}
		So(rounds, ShouldBeBetweenOrEqual, 2, agedShare)
	})
	Convey("a wait past the deadline is refused at once, with a time to come back", t, func() {
		controller := NewController(Limits{Slots: 1, QueueLength: 64, Backoff: Backoff{Draw: func() float64 { return 0.5 }}})
		controller.Offer(ticket("slow", "a", 3, 100), Mean{})
		controller.Finish("slow", 4000)
		controller.Offer(Ticket{ID: "running", Team: "a", Class: 3, Work: 100, Arrived: 4000}, Mean{})
		controller.Offer(Ticket{ID: "queued", Team: "a", Class: 3, Work: 100, Arrived: 4000}, Mean{})
		decision := controller.Offer(Ticket{ID: "late", Team: "a", Class: 3, Work: 100, Arrived: 4000, Deadline: 5000}, Mean{})
		So(decision.Failure.Kind, ShouldEqual, classifier.DeadlinePassed)
		So(decision.Failure.RetryAfter, ShouldEqual, 2*decision.EstimatedWait)
	})
}

// TestFairShares gives a team of weight 2 twice the work of one of weight 1,
// whatever the lengths of their calls.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController(Limits{Slots: 1, QueueLength: 400})
		lengths := map[string]int64{"long": rapid.Int64Range(50, 100).Draw(t, "long"), "short": rapid.Int64Range(20, 50).Draw(t, "short")}
		for i := range 200 {
			controller.Offer(Ticket{ID: fmt.Sprint("long-", i), Team: "long", Weight: 2, Class: 3, Work: lengths["long"]}, Mean{})
			controller.Offer(Ticket{ID: fmt.Sprint("short-", i), Team: "short", Weight: 1, Class: 3, Work: lengths["short"]}, Mean{})
		}
		work, last := map[string]int64{}, "long-0"
		for range 100 {
			granted := controller.Finish(last, 0)[0]
			work[granted.Team] += granted.Work
			last = granted.ID
		}
		if share := float64(work["long"]) / float64(work["short"]); share < 1.7 || share > 2.3 {
			t.Fatalf("the shares are %v, of lengths %v", work, lengths)
		}
	})
}
