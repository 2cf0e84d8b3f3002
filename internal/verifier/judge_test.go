package verifier

import (
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var (
	front  = recorder.Origin{Group: recorder.EntryGroup, Name: "entry-1", Incarnation: 1}
	orders = recorder.Origin{Group: "orders", Name: "orders-1", Incarnation: 2}
	second = recorder.Origin{Group: "orders", Name: "orders-2", Incarnation: 3}
)

// story is what the processes of a test recorded, by origin.
type story map[recorder.Origin][]recorder.Event

// cleanStory is a day on which every promise held: an order, a refusal, a
// change of configuration, and a planned stop of everything.
func cleanStory() story {
	return story{
		front: {
			{At: 0, Kind: recorder.Started, Revision: 1},
			{At: 1000, Kind: recorder.Offered, Request: "a", Instance: "orders-1", Key: 7},
			{At: 1100, Kind: recorder.Answered, Request: "a", Instance: "orders-1", Incarnation: 2, Ran: "yes", Complete: true, Length: 5, Digest: 9},
			{At: 2000, Kind: recorder.Offered, Request: "b", Instance: "orders-1"},
			{At: 2010, Kind: recorder.Refused, Request: "b", Instance: "orders-1", Ran: "no", Reason: "overloaded"},
			{At: 2020, Kind: recorder.Answered, Request: "b", Ran: "no", Reason: "overloaded"},
			{At: 3000, Kind: recorder.Accepted, Revision: 2, Detail: "change"},
			{At: 5000, Kind: recorder.InForce, Revision: 2},
			{At: 60000, Kind: recorder.Alive, Revision: 2},
			{At: 61000, Kind: recorder.Stopped},
		},
		orders: {
			{At: 0, Kind: recorder.Started, Revision: 1},
			{At: 1050, Kind: recorder.Granted, Request: "a", Service: "orders", Load: 1, Work: 1, Bound: 2},
			{At: 1051, Kind: recorder.Committed, Request: "a", Key: 7},
			{At: 1090, Kind: recorder.Ended, Request: "a", Key: 7, Complete: true, Length: 5, Digest: 9},
			{At: 2005, Kind: recorder.Refused, Request: "b", Ran: "no", Reason: "overloaded"},
			{At: 6000, Kind: recorder.InForce, Revision: 2},
			{At: 50000, Kind: recorder.Draining},
			{At: 50010, Kind: recorder.Drained},
			{At: 50100, Kind: recorder.Stopped},
		},
		second: {
			{At: 0, Kind: recorder.Started, Revision: 1},
			{At: 4000, Kind: recorder.Sampled, Service: "orders", Revision: 2},
			{At: 61000, Kind: recorder.Stopped},
		},
	}
}

// add puts events into a process's record in order of time.
func (told story) add(origin recorder.Origin, events ...recorder.Event) {
	told[origin] = append(told[origin], events...)
	slices.SortStableFunc(told[origin], func(a, b recorder.Event) int { return int(a.At - b.At) })
}

// change edits the first event of a kind.
func (told story) change(origin recorder.Origin, kind recorder.Kind, edit func(event *recorder.Event)) {
	at := slices.IndexFunc(told[origin], func(event recorder.Event) bool { return event.Kind == kind })
	edit(&told[origin][at])
}

// drop takes the events of a kind out.
func (told story) drop(origin recorder.Origin, kind recorder.Kind) {
	told[origin] = slices.DeleteFunc(told[origin], func(event recorder.Event) bool { return event.Kind == kind })
}

// objects writes the story as segments of up to length records.
func (told story) objects(length int) []Object {
	var objects []Object
	for origin, events := range told {
		chain := recorder.NewChain(origin)
		for i, event := range events {
			chain.Add(event)
			if segment, ok := cutAt(chain, i+1, length, len(events)); ok {
				objects = append(objects, Object{segment.Name(), segment.Body})
			}
		}
	}
	return objects
}

func cutAt(chain *recorder.Chain, added, length, all int) (recorder.Segment, bool) {
	if added%length != 0 && added != all {
		return recorder.Segment{}, false
	}
	return chain.Seal()
}

func (told story) judge() Report {
	return Evaluate(Verify(told.objects(4)), Settings{From: 0, Until: timekeeper.Instant(timekeeper.Minute)})
}

func TestEachPromiseIsJudged(t *testing.T) {
	// Each row breaks one promise on purpose, or takes away the record that
	// would show whether it held. The regulator sees that promise, and with it
	// the records or the gap; a report that can't convict proves nothing.
	tests := []struct {
		name    string
		promise int
		outcome Outcome
		edit    func(told story)
		words   string
	}{
		{"1: a grant over the bound", 1, Broken, func(told story) {
			told.change(orders, recorder.Granted, func(event *recorder.Event) { event.Load = 4 })
		}, "over the bound 2"},
		{"1: no mean known, and the records show too much", 1, NotProvable, func(told story) {
			told.change(orders, recorder.Granted, func(event *recorder.Event) { event.Load, event.Bound, event.Factor = 9, 0, 1.25 })
		}, "knew no mean"},
		{"1: a crash hides what was offered", 1, NotProvable, func(told story) {
			told.drop(second, recorder.Stopped)
			told.add(front, recorder.Event{At: 9000, Kind: recorder.Offered, Request: "h", Instance: "orders-2", Idempotent: true},
				recorder.Event{At: 9900, Kind: recorder.Answered, Request: "h", Ran: "unknown"})
		}, "may hide the fate"},
		{"2: another digest", 2, Broken, func(told story) {
			told.change(orders, recorder.Ended, func(event *recorder.Event) { event.Digest = 8 })
		}, "did not end whole"},
		{"2: an answer to a request that was never offered", 2, Broken, func(told story) {
			told.add(front, recorder.Event{At: 2500, Kind: recorder.Answered, Request: "x", Instance: "orders-1", Incarnation: 2, Complete: true})
		}, "did not offer"},
		{"2: told twice", 2, Broken, func(told story) {
			told.add(front, recorder.Event{At: 2500, Kind: recorder.Answered, Request: "b", Ran: "no"})
		}, "answered twice"},
		{"2: the agent's record is not there", 2, NotProvable, func(told story) { delete(told, orders) }, "no record at all"},
		{"2: the entry lost events", 2, NotProvable, func(told story) {
			told.add(front, recorder.Event{At: 2500, Kind: recorder.Gap, Detail: recorder.LostInQueue, Count: 3})
		}, "3 events"},
		{"2: the entry's record is not there", 2, NotProvable, func(told story) { delete(told, front) }, "no entry's record offers it"},
		{"3: told not run, and it ran elsewhere", 3, Broken, func(told story) {
			told.add(second, recorder.Event{At: 2015, Kind: recorder.Committed, Request: "b"})
		}, "and it ran"},
		{"3: refused, and then it ran without another offer", 3, Broken, func(told story) {
			told.add(orders, recorder.Event{At: 1005, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, "did not run there"},
		{"3: refused after it ran", 3, Broken, func(told story) {
			told.add(front, recorder.Event{At: 1001, Kind: recorder.Offered, Request: "a", Instance: "orders-1", Key: 7})
			told.add(orders, recorder.Event{At: 1060, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, "did not run there"},
		{"3: refused, offered again, and then it ran", 3, Held, func(told story) {
			told.add(front, recorder.Event{At: 1001, Kind: recorder.Offered, Request: "a", Instance: "orders-1", Key: 7})
			told.add(orders, recorder.Event{At: 1005, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, ""},
		{"3: a tombstone, and then it ran", 3, Broken, func(told story) {
			told.add(orders, recorder.Event{At: 1040, Kind: recorder.Buried, Request: "a"})
		}, "did not run there"},
		{"4: one key ran at two replicas", 4, Broken, func(told story) {
			told.add(second, recorder.Event{At: 1500, Kind: recorder.Committed, Request: "c", Key: 7})
		}, "ran twice"},
		{"4: one request without a key ran at two replicas", 4, Broken, func(told story) {
			told.add(orders, recorder.Event{At: 1500, Kind: recorder.Committed, Request: "d"})
			told.add(second, recorder.Event{At: 1600, Kind: recorder.Committed, Request: "d"})
		}, "ran twice"},
		{"4: a crashed replica had been offered an order", 4, NotProvable, func(told story) {
			told.drop(second, recorder.Stopped)
			told.add(front, recorder.Event{At: 4100, Kind: recorder.Offered, Request: "e", Instance: "orders-2"},
				recorder.Event{At: 4200, Kind: recorder.Answered, Request: "e", Ran: "unknown"})
		}, "open tail"},
		{"4: a crashed replica had been offered nothing", 4, Held, func(told story) { told.drop(second, recorder.Stopped) }, ""},
		{"5: new work long after draining", 5, Broken, func(told story) {
			told.add(orders, recorder.Event{At: 50005, Kind: recorder.Draining}, recorder.Event{At: 55000, Kind: recorder.Granted, Request: "l"})
			told.drop(orders, recorder.Stopped)
		}, "took new work"},
		{"5: a call that waited when the replica began to leave", 5, Held, func(told story) {
			told.add(orders, recorder.Event{At: 50005, Kind: recorder.Draining},
				recorder.Event{At: 55000, Kind: recorder.Granted, Request: "l", Taken: 49000}, recorder.Event{At: 56000, Kind: recorder.Stopped})
			told[orders] = slices.DeleteFunc(told[orders], func(event recorder.Event) bool { return event.At == 50100 })
		}, ""},
		{"3: the run never reached its upstream", 3, Held, func(told story) {
			told.add(orders, recorder.Event{At: 2012, Kind: recorder.Committed, Request: "b"},
				recorder.Event{At: 2013, Kind: recorder.Ended, Request: "b", Ran: "no", Reason: "not-ready"})
			told.drop(orders, recorder.Refused)
		}, ""},
		{"5: the leaving replica's record ends", 5, NotProvable, func(told story) { told.drop(orders, recorder.Stopped) }, "open tail"},
		{"6: a run that never ended", 6, Broken, func(told story) { told.drop(orders, recorder.Ended) }, "had not ended"},
		{"6: a run that the stop ended", 6, Broken, func(told story) {
			told.add(orders, recorder.Event{At: 50005, Kind: recorder.Ended, Request: "a", Reason: "draining"})
		}, "the stop ended a run"},
		{"6: an entry stopped under a call", 6, Broken, func(told story) {
			told.add(front, recorder.Event{At: 2600, Kind: recorder.Offered, Request: "f", Instance: "orders-2"})
			told.change(front, recorder.Stopped, func(event *recorder.Event) { event.At = 59000 })
			told.drop(front, recorder.Alive)
		}, "no answer when the entry stopped"},
		{"6: the agent was killed while draining", 6, NotProvable, func(told story) { told.drop(orders, recorder.Stopped) }, "open tail"},
		{"7: a process went back", 7, Broken, func(told story) {
			told.add(front, recorder.Event{At: 7000, Kind: recorder.InForce, Revision: 1})
		}, "fell"},
		{"7: one process never took the change", 7, Broken, func(told story) { told.drop(second, recorder.Sampled) }, "not in force in time"},
		{"7: one revision for two changes", 7, Broken, func(told story) {
			told.add(front, recorder.Event{At: 3500, Kind: recorder.Accepted, Revision: 2, Detail: "other"})
		}, "accepted twice"},
		{"7: a revision that nobody accepted", 7, NotProvable, func(told story) { told.drop(front, recorder.Accepted) }, "no record accepts"},
		{"7: a process crashed before it had the change", 7, NotProvable, func(told story) {
			told.drop(second, recorder.Sampled)
			told.drop(second, recorder.Stopped)
		}, "open tail"},
	}
	Convey("a day without fault is held throughout", t, func() {
		report := cleanStory().judge()
		So(report.Findings, ShouldBeEmpty)
		for _, verdict := range report.Verdicts {
			So(append(verdict.Doubts, string(verdict.Outcome)), ShouldResemble, []string{"held"})
			So(verdict.Checked, ShouldBeGreaterThan, 0)
		}
	})
	Convey("where nothing is recorded, nothing is shown", t, func() {
		later := Settings{From: 70000, Until: 80000}
		for _, verdict := range Evaluate(Verify(cleanStory().objects(4)), later).Verdicts {
			So(verdict.Outcome, ShouldEqual, NotProvable)
			So(verdict.Doubts, ShouldContain, noRecord)
		}
	})
	for _, test := range tests {
		Convey(test.name, t, func() {
			told := cleanStory()
			test.edit(told)
			report := told.judge()
			verdict := report.Verdicts[test.promise-1]
			So(verdict.Outcome, ShouldEqual, test.outcome)
			var text strings.Builder
			report.WriteText(&text)
			So(text.String(), ShouldContainSubstring, test.words)
			So(report.WriteHTML(&text), ShouldBeNil)
		})
	}
}
