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
	firstEntry    = recorder.Origin{Group: recorder.EntryGroup, Name: "entry-1", Incarnation: 1}
	firstReplica  = recorder.Origin{Group: "orders", Name: "orders-1", Incarnation: 2}
	secondReplica = recorder.Origin{Group: "orders", Name: "orders-2", Incarnation: 3}
)

// processEvents holds the events of each process of a test, by origin.
type processEvents map[recorder.Origin][]recorder.Event

// cleanEvents returns events with which every promise holds: a call, a refusal, a
// configuration change, and a planned stop of every process.
func cleanEvents() processEvents {
	return processEvents{
		firstEntry: {
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
		firstReplica: {
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
		secondReplica: {
			{At: 0, Kind: recorder.Started, Revision: 1},
			{At: 4000, Kind: recorder.Sampled, Service: "orders", Revision: 2},
			{At: 61000, Kind: recorder.Stopped},
		},
	}
}

// add adds events to a process's record in order of time.
func (processes processEvents) add(origin recorder.Origin, events ...recorder.Event) {
	processes[origin] = append(processes[origin], events...)
	slices.SortStableFunc(processes[origin], func(a, b recorder.Event) int { return int(a.At - b.At) })
}

// editFirst edits the first event of a kind.
func (processes processEvents) editFirst(origin recorder.Origin, kind recorder.Kind, edit func(event *recorder.Event)) {
	at := slices.IndexFunc(processes[origin], func(event recorder.Event) bool { return event.Kind == kind })
	edit(&processes[origin][at])
}

// removeKind removes the events of a kind.
func (processes processEvents) removeKind(origin recorder.Origin, kind recorder.Kind) {
	processes[origin] = slices.DeleteFunc(processes[origin], func(event recorder.Event) bool { return event.Kind == kind })
}

// objects returns the segments of the processes, each with up to length records.
func (processes processEvents) objects(length int) []Object {
	var objects []Object
	for origin, events := range processes {
		chain := recorder.NewChain(origin)
		for i, event := range events {
			chain.Add(event)
			if segment, ok := sealAt(chain, i+1, length, len(events)); ok {
				objects = append(objects, Object{segment.Name(), segment.Body})
			}
		}
	}
	return objects
}

func sealAt(chain *recorder.Chain, added, length, all int) (recorder.Segment, bool) {
	if added%length != 0 && added != all {
		return recorder.Segment{}, false
	}
	return chain.Seal()
}

func (processes processEvents) evaluate() Report {
	return Evaluate(Verify(processes.objects(4)), Settings{From: 0, Until: timekeeper.Instant(timekeeper.Minute)})
}

func TestEachPromiseIsEvaluated(t *testing.T) {
	// Each row breaks one promise, or removes the record that would show whether it
	// held; some rows check that a promise still holds. The report must name the
	// promise and the records or the gap, since a report that can't show a breach
	// proves nothing.
	tests := []struct {
		name    string
		promise int
		outcome Outcome
		edit    func(processes processEvents)
		words   string
	}{
		{"1: a grant over the bound", 1, Broken, func(processes processEvents) {
			processes.editFirst(firstReplica, recorder.Granted, func(event *recorder.Event) { event.Load = 4 })
		}, "over the bound 2"},
		{"1: no mean known, and the recorded load is over the bound", 1, NotProvable, func(processes processEvents) {
			processes.editFirst(firstReplica, recorder.Granted, func(event *recorder.Event) { event.Load, event.Bound, event.Factor = 9, 0, 1.25 })
		}, "knew no mean"},
		{"1: a crash hides what was offered", 1, NotProvable, func(processes processEvents) {
			processes.removeKind(secondReplica, recorder.Stopped)
			processes.add(firstEntry, recorder.Event{At: 9000, Kind: recorder.Offered, Request: "h", Instance: "orders-2", Idempotent: true},
				recorder.Event{At: 9900, Kind: recorder.Answered, Request: "h", Ran: "unknown"})
		}, "may hide the fate"},
		{"2: another digest", 2, Broken, func(processes processEvents) {
			processes.editFirst(firstReplica, recorder.Ended, func(event *recorder.Event) { event.Digest = 8 })
		}, "did not end whole"},
		{"2: an answer to a request that was never offered", 2, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 2500, Kind: recorder.Answered, Request: "x", Instance: "orders-1", Incarnation: 2, Complete: true})
		}, "did not offer"},
		{"2: one request answered twice", 2, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 2500, Kind: recorder.Answered, Request: "b", Ran: "no"})
		}, "answered twice"},
		{"2: the agent's record is missing", 2, NotProvable, func(processes processEvents) { delete(processes, firstReplica) }, "no record at all"},
		{"2: the entry lost events", 2, NotProvable, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 2500, Kind: recorder.Gap, Detail: recorder.LostInQueue, Count: 3})
		}, "3 events"},
		{"2: the entry's record is missing", 2, NotProvable, func(processes processEvents) { delete(processes, firstEntry) }, "no entry's record offers it"},
		{"3: told not run, and it ran elsewhere", 3, Broken, func(processes processEvents) {
			processes.add(secondReplica, recorder.Event{At: 2015, Kind: recorder.Committed, Request: "b"})
		}, "and it ran"},
		{"3: refused, and then it ran without another offer", 3, Broken, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 1005, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, "did not run there"},
		{"3: refused after it ran", 3, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 1001, Kind: recorder.Offered, Request: "a", Instance: "orders-1", Key: 7})
			processes.add(firstReplica, recorder.Event{At: 1060, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, "did not run there"},
		{"3: refused, offered again, and then it ran", 3, Held, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 1001, Kind: recorder.Offered, Request: "a", Instance: "orders-1", Key: 7})
			processes.add(firstReplica, recorder.Event{At: 1005, Kind: recorder.Refused, Request: "a", Ran: "no"})
		}, ""},
		{"3: a tombstone, and then it ran", 3, Broken, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 1040, Kind: recorder.Buried, Request: "a"})
		}, "did not run there"},
		{"4: one key ran at two replicas", 4, Broken, func(processes processEvents) {
			processes.add(secondReplica, recorder.Event{At: 1500, Kind: recorder.Committed, Request: "c", Key: 7})
		}, "ran twice"},
		{"4: one request without a key ran at two replicas", 4, Broken, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 1500, Kind: recorder.Committed, Request: "d"})
			processes.add(secondReplica, recorder.Event{At: 1600, Kind: recorder.Committed, Request: "d"})
		}, "ran twice"},
		{"4: a crashed replica had been offered an order", 4, NotProvable, func(processes processEvents) {
			processes.removeKind(secondReplica, recorder.Stopped)
			processes.add(firstEntry, recorder.Event{At: 4100, Kind: recorder.Offered, Request: "e", Instance: "orders-2"},
				recorder.Event{At: 4200, Kind: recorder.Answered, Request: "e", Ran: "unknown"})
		}, "open tail"},
		{"4: a crashed replica had been offered nothing", 4, Held, func(processes processEvents) { processes.removeKind(secondReplica, recorder.Stopped) }, ""},
		{"5: new work long after draining", 5, Broken, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 50005, Kind: recorder.Draining}, recorder.Event{At: 55000, Kind: recorder.Granted, Request: "l"})
			processes.removeKind(firstReplica, recorder.Stopped)
		}, "took new work"},
		{"5: a call that was queued when the replica began to leave", 5, Held, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 50005, Kind: recorder.Draining},
				recorder.Event{At: 55000, Kind: recorder.Granted, Request: "l", Taken: 49000}, recorder.Event{At: 56000, Kind: recorder.Stopped})
			processes[firstReplica] = slices.DeleteFunc(processes[firstReplica], func(event recorder.Event) bool { return event.At == 50100 })
		}, ""},
		{"3: the run never reached its upstream", 3, Held, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 2012, Kind: recorder.Committed, Request: "b"},
				recorder.Event{At: 2013, Kind: recorder.Ended, Request: "b", Ran: "no", Reason: "not-ready"})
			processes.removeKind(firstReplica, recorder.Refused)
		}, ""},
		{"5: the leaving replica's record ends", 5, NotProvable, func(processes processEvents) { processes.removeKind(firstReplica, recorder.Stopped) }, "open tail"},
		{"6: a run that never ended", 6, Broken, func(processes processEvents) { processes.removeKind(firstReplica, recorder.Ended) }, "had not ended"},
		{"6: a run that the stop ended", 6, Broken, func(processes processEvents) {
			processes.add(firstReplica, recorder.Event{At: 50005, Kind: recorder.Ended, Request: "a", Reason: "draining"})
		}, "the stop ended a run"},
		{"6: an entry stopped with a call in flight", 6, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 2600, Kind: recorder.Offered, Request: "f", Instance: "orders-2"})
			processes.editFirst(firstEntry, recorder.Stopped, func(event *recorder.Event) { event.At = 59000 })
			processes.removeKind(firstEntry, recorder.Alive)
		}, "no answer when the entry stopped"},
		{"6: the agent was killed while draining", 6, NotProvable, func(processes processEvents) { processes.removeKind(firstReplica, recorder.Stopped) }, "open tail"},
		{"7: a process reverted to an older revision", 7, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 7000, Kind: recorder.InForce, Revision: 1})
		}, "fell"},
		{"7: one process never applied the change", 7, Broken, func(processes processEvents) { processes.removeKind(secondReplica, recorder.Sampled) }, "not in force in time"},
		{"7: one revision for two changes", 7, Broken, func(processes processEvents) {
			processes.add(firstEntry, recorder.Event{At: 3500, Kind: recorder.Accepted, Revision: 2, Detail: "other"})
		}, "accepted twice"},
		{"7: a revision that nobody accepted", 7, NotProvable, func(processes processEvents) { processes.removeKind(firstEntry, recorder.Accepted) }, "no record accepts"},
		{"7: a process crashed before it had the change", 7, NotProvable, func(processes processEvents) {
			processes.removeKind(secondReplica, recorder.Sampled)
			processes.removeKind(secondReplica, recorder.Stopped)
		}, "open tail"},
	}
	Convey("every promise holds when nothing fails", t, func() {
		report := cleanEvents().evaluate()
		So(report.Findings, ShouldBeEmpty)
		for _, verdict := range report.Verdicts {
			So(append(verdict.Doubts, string(verdict.Outcome)), ShouldResemble, []string{"held"})
			So(verdict.Checked, ShouldBeGreaterThan, 0)
		}
	})
	Convey("a range without records proves nothing", t, func() {
		later := Settings{From: 70000, Until: 80000}
		for _, verdict := range Evaluate(Verify(cleanEvents().objects(4)), later).Verdicts {
			So(verdict.Outcome, ShouldEqual, NotProvable)
			So(verdict.Doubts, ShouldContain, noRecord)
		}
	})
	for _, test := range tests {
		Convey(test.name, t, func() {
			processes := cleanEvents()
			test.edit(processes)
			report := processes.evaluate()
			verdict := report.Verdicts[test.promise-1]
			So(verdict.Outcome, ShouldEqual, test.outcome)
			var text strings.Builder
			report.WriteText(&text)
			So(text.String(), ShouldContainSubstring, test.words)
			So(report.WriteHTML(&text), ShouldBeNil)
		})
	}
}
