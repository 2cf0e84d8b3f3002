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

// model tracks the tickets that run and wait by the controller's decisions.
type model struct {
	t                *rapid.T
	controller       *Controller
	running, waiting map[string]bool
	now              timekeeper.Instant
}

func (model *model) finish(number int) {
	id := rapid.SampledFrom(keys(model.running, number)).Draw(model.t, "finished")
	delete(model.running, id)
	for _, granted := range model.controller.Finish(id, model.now) {
		if model.running[granted.ID] || !model.waiting[granted.ID] {
			model.t.Fatalf("%s was granted twice or never waited", granted.ID)
		}
		delete(model.waiting, granted.ID)
		model.running[granted.ID] = true
	}
}

func (model *model) offer(number int) {
	t := model.t
	offered := ticket(fmt.Sprint(number), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")),
		uint8(rapid.IntRange(0, 7).Draw(t, "class")), int64(rapid.IntRange(1, 500).Draw(t, "work")))
	offered.Arrived = model.now
	mean := Mean{Total: int64(rapid.IntRange(0, 9000).Draw(t, "total")), Replicas: rapid.IntRange(0, 9).Draw(t, "replicas")}
	held := model.controller.Load().Work
	decision := model.controller.Offer(offered, mean)
	for _, displaced := range decision.Displaced {
		if !model.waiting[displaced.ID] {
			t.Fatalf("%s was displaced but did not wait", displaced.ID)
		}
		delete(model.waiting, displaced.ID)
	}
	switch decision.Outcome {
	case Granted:
		model.running[offered.ID] = true
	case Queued:
		model.waiting[offered.ID] = true
	}
	if decision.Outcome != Refused && held >= model.controller.limits.Bound(mean, held, offered) {
		t.Fatalf("a ticket was taken above the bound: held %d, mean %+v", held, mean)
	}
}

func (model *model) check() {
	load := model.controller.Load()
	if load.Running != len(model.running) || load.Waiting != len(model.waiting) {
		model.t.Fatalf("the controller reports %+v, want %d running and %d waiting", load, len(model.running), len(model.waiting))
	}
	if load.Running > model.controller.limits.Slots || load.Waiting > model.controller.limits.QueueLength {
		model.t.Fatalf("a limit is exceeded: %+v", load)
	}
}

// TestControllerKeepsEveryTicket runs random operations on a controller: no
// ticket is lost or granted twice, the limits hold, and a replica exceeds its
// bound by at most the one ticket that crosses it.
func TestControllerKeepsEveryTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Slots: rapid.IntRange(2, 6).Draw(t, "slots"), QueueLength: rapid.IntRange(0, 8).Draw(t, "queue"),
			UrgentSlots: 1, LoadFactor: 1.25,
		}
		model := model{t: t, controller: NewController(limits), running: map[string]bool{}, waiting: map[string]bool{}}
		for number := range rapid.IntRange(1, 80).Draw(t, "steps") {
			model.now = model.now.Add(timekeeper.Span(rapid.IntRange(0, 900).Draw(t, "pause")))
			if len(model.running) > 0 && rapid.Bool().Draw(t, "finish") {
				model.finish(number)
			} else {
				model.offer(number)
			}
			model.check()
		}
	})
}

func keys(set map[string]bool, limit int) []string {
	var out []string
	for number := range limit {
		if set[fmt.Sprint(number)] {
			out = append(out, fmt.Sprint(number))
		}
	}
	return out
}

func TestBound(t *testing.T) {
	outdated := Mean{Total: 300, Replicas: 4, Age: timekeeper.Second}
	tests := []struct {
		name       string
		mean       Mean
		held       int64
		work       int64
		miss, last bool
		refused    bool
	}{
		{"an empty replica takes any ticket", Mean{Total: 0, Replicas: 182}, 0, 5000, false, false, false},
		{"below the bound in a service of four", Mean{Total: 400, Replicas: 4}, 100, 100, false, false, false},
		{"at the bound in a service of four", Mean{Total: 300, Replicas: 4}, 125, 100, false, false, true},
		{"the bound is lower for a prefix miss", Mean{Total: 400, Replicas: 4}, 140, 100, true, false, true},
		{"an outdated mean", outdated, 125, 100, false, false, true},
		{"an outdated mean on the last attempt", outdated, 125, 100, false, true, false},
		{"a current mean on the last attempt", Mean{Total: 300, Replicas: 4}, 125, 100, false, true, true},
		{"a service of one replica has no bound", Mean{Total: 900, Replicas: 1}, 900, 100, false, false, false},
		{"a service of 182 replicas", Mean{Total: 182_000, Replicas: 182}, 1260, 100, false, false, true},
		{"an unknown mean sets no bound", Mean{}, 900, 100, false, false, false},
		{"a mean over the maximum age sets no bound", Mean{Total: 4, Replicas: 4, Age: 6 * timekeeper.Second}, 900, 100, false, false, false},
	}
	Convey("the bound follows the mean up to its maximum age", t, func() {
		for _, test := range tests {
			controller := NewController(Limits{Slots: 8, QueueLength: 8, LoadFactor: 1.25})
			if test.held > 0 {
				controller.Offer(ticket("held", "a", 3, test.held), Mean{})
			}
			offered := ticket("new", "a", 3, test.work)
			offered.PrefixMiss, offered.LastAttempt = test.miss, test.last
			decision := controller.Offer(offered, test.mean)
			SoMsg(test.name, decision.Outcome == Refused, ShouldEqual, test.refused)
			if test.refused {
				SoMsg(test.name, decision.Failure.Kind, ShouldEqual, classifier.AtBound)
			}
		}
	})
}

func TestQueueUnderLoad(t *testing.T) {
	Convey("a caption gets the urgent slot while batch calls hold the rest", t, func() {
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
	Convey("a surge of one team displaces only that team's calls", t, func() {
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
	Convey("a flood of urgent calls doesn't starve an old batch call", t, func() {
		controller := NewController(Limits{Slots: 1, QueueLength: 64})
		controller.Offer(ticket("first", "a", 0, 1), Mean{})
		controller.Offer(ticket("batch", "a", 7, 1), Mean{})
		last, rounds, now := "first", 0, timekeeper.Instant(5*timekeeper.Second)
		for ; last != "batch" && rounds < 20; rounds++ {
			controller.Offer(Ticket{ID: fmt.Sprint("live-", rounds), Team: "b", Work: 1, Arrived: now}, Mean{})
			last = controller.Finish(last, now)[0].ID
		}
		So(rounds, ShouldBeBetweenOrEqual, 2, agedGrantInterval)
	})
	Convey("a call whose wait would pass its deadline is refused at once, with a retry time", t, func() {
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

// TestFairShares checks that a team of weight 2 gets twice the work of one of
// weight 1, whatever the lengths of their calls.
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
			t.Fatalf("the teams' work is %v, with call lengths %v", work, lengths)
		}
	})
}
