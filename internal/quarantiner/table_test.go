package quarantiner

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var (
	rootPart, otherPart, badPart = Feature{Kind: Part, ID: 1}, Feature{Kind: Part, ID: 2}, Feature{Kind: Part, ID: 3}
	badRequest                   = Feature{Kind: Request, ID: 4}
)

// history is a table with the instant up to which something has happened.
type history struct {
	*Table
	now     timekeeper.Instant
	crashes int
}

func newHistory() *history { return &history{Table: New(), now: 100_000} }

func (history *history) wait(span timekeeper.Span) { history.now = history.now.Add(span) }

// crash crashes a number of replicas, 100 ms apart, with features in flight.
func (history *history) crash(count int, inFlight ...Feature) {
	for range count {
		history.wait(100)
		history.crashes++
		history.Crash(fmt.Sprint("replica-", history.crashes), inFlight, history.now)
	}
}

func (history *history) survive(features ...Feature) {
	history.wait(100)
	history.Survive(features, history.now)
}

// try sends a trial that crashes its replica, and returns the parts that are quarantined for it.
func (history *history) try(features ...Feature) (convicted []Quarantine) {
	decision := history.Admit(features, rankOf(0), history.now)
	history.crash(1, features...)
	convicted, _ = history.Convict(decision.Trial, fmt.Sprint("replica-", history.crashes), history.now)
	return convicted
}

func rankOf(rank int) func(Feature) int { return func(Feature) int { return rank } }

func (history *history) check(features ...Feature) Decision {
	return history.Check(features, rankOf(0), history.now)
}

// Guards against suspicions, trials and quarantines that begin or end at the wrong time.
func TestTable(t *testing.T) {
	Convey("a request is refused after two crashes, for a while", t, func() {
		history := newHistory()
		history.crash(1, badRequest)
		So(history.check(badRequest).Allowed(), ShouldBeTrue)
		history.crash(1, badRequest)
		So(history.check(badRequest).Final, ShouldBeTrue)
		So(history.MayRepeat([]Feature{badRequest}, history.now), ShouldBeFalse)
		history.wait(requestLifetime + 1)
		So(history.check(badRequest).Allowed(), ShouldBeTrue)
	})
	Convey("a request is quarantined for its crashes, and at most three times more within a day", t, func() {
		history, crashes := newHistory(), 0
		began := history.now
		for history.now < began.Add(24*timekeeper.Hour) {
			if decision := history.Admit([]Feature{badRequest}, rankOf(0), history.now); decision.Allowed() {
				crashes++
				history.crash(1, badRequest)
				history.ConcludeCrash(fmt.Sprint("replica-", history.crashes), history.now)
			}
			history.wait(10 * timekeeper.Second)
		}
		So(crashes, ShouldEqual, countedCrashes+allowedLate)
	})
	Convey("a crash that comes with others doesn't quarantine a request", t, func() {
		history := newHistory()
		for rack := range 3 {
			for number := range 3 {
				history.Crash(fmt.Sprint("rack-", rack, "-", number), []Feature{{Kind: Request, ID: uint64(10 + number)}}, history.now)
			}
			for number := range 3 {
				So(history.ConcludeCrash(fmt.Sprint("rack-", rack, "-", number), history.now), ShouldBeEmpty)
			}
			history.wait(timekeeper.Minute)
		}
		So(history.check(Feature{Kind: Request, ID: 10}).Allowed(), ShouldBeTrue)
	})
	Convey("a request that replicas outlive is free at all entries, whatever older statements say", t, func() {
		history, peer := newHistory(), newHistory()
		history.crash(2, badRequest)
		convicted := history.ConcludeCrash("replica-2", history.now)
		So(convicted, ShouldHaveLength, 1)
		So(peer.Quarantine(convicted[0], history.now), ShouldBeTrue)
		history.wait(requestLifetime)
		So(history.Admit([]Feature{badRequest}, rankOf(0), history.now).Trial, ShouldResemble, []Feature{badRequest})
		So(history.check(badRequest).Allowed(), ShouldBeFalse)
		cleared, urgent := history.Survive([]Feature{badRequest}, history.now)
		So(cleared, ShouldResemble, []Feature{badRequest})
		So(urgent, ShouldBeTrue)
		peer.Survive(cleared, history.now)
		So(peer.Quarantine(convicted[0], history.now), ShouldBeFalse)
		So(peer.check(badRequest).Allowed(), ShouldBeTrue)
	})
	Convey("a quarantined request leaves its parts their crashes, and takes them from other requests", t, func() {
		history, sound := newHistory(), Feature{Kind: Request, ID: 9}
		for number := range uint64(2) {
			request := Feature{Kind: Request, ID: 100 + number}
			history.crash(1, request, badPart, sound)
			history.crash(1, request, badPart)
			So(history.ConcludeCrash(fmt.Sprint("replica-", history.crashes), history.now), ShouldHaveLength, 1)
			history.wait(timekeeper.Second)
		}
		history.wait(trialPatience)
		So(history.check(badPart).Trial, ShouldResemble, []Feature{badPart})
		So(history.records[sound], ShouldBeNil)
	})
	Convey("a request that replicas have outlived needs more crashes", t, func() {
		history := newHistory()
		history.survive(badRequest)
		history.crash(refuseKnown-1, badRequest)
		So(history.ConcludeCrash("replica-4", history.now), ShouldBeEmpty)
		So(history.check(badRequest).Allowed(), ShouldBeTrue)
		history.crash(1, badRequest)
		So(history.ConcludeCrash("replica-5", history.now), ShouldHaveLength, 1)
	})
	Convey("one crash counts once", t, func() {
		history := newHistory()
		for range 9 {
			history.Crash("replica", []Feature{badPart}, history.now)
		}
		So(history.check(badPart).Trial, ShouldBeEmpty)
	})
	Convey("the trial of a new part waits for the survival of another answer, or a second", t, func() {
		history := newHistory()
		history.crash(suspectParts, badPart)
		So(history.check(badPart).Wait, ShouldEqual, trialPatience)
		history.survive(rootPart)
		So(history.check(badPart).Trial, ShouldResemble, []Feature{badPart})
		history.crash(suspectParts, otherPart)
		history.wait(trialPatience)
		So(history.check(otherPart).Trial, ShouldResemble, []Feature{otherPart})
	})
	Convey("entries of later ranks wait longer, and all while a trial goes on", t, func() {
		history := newHistory()
		history.crash(suspectParts, badPart)
		history.survive(rootPart)
		So(history.Check([]Feature{badPart}, rankOf(2), history.now).Wait, ShouldEqual, 2*trialSpacing-100)
		So(history.Admit([]Feature{badPart}, rankOf(0), history.now).Trial, ShouldNotBeEmpty)
		So(history.check(badPart).Wait, ShouldEqual, trialTimeout)
		history.wait(trialTimeout)
		So(history.Check([]Feature{badPart}, rankOf(1), history.now).Wait, ShouldEqual, trialSpacing)
		history.EndTrial([]Feature{badPart}, history.now)
		history.survive(rootPart)
		So(history.check(badPart).Allowed(), ShouldBeTrue)
	})
	Convey("a failed trial convicts only while other answers survive", t, func() {
		history := newHistory()
		history.crash(suspectParts, badPart)
		history.wait(trialPatience)
		So(history.try(badPart), ShouldBeEmpty)
		history.survive(rootPart)
		history.wait(trialPatience)
		So(history.try(badPart), ShouldHaveLength, 1)
		So(history.check(badPart).Final, ShouldBeTrue)
	})
	Convey("a part that has survived needs more crashes, a gap and two trials", t, func() {
		history := newHistory()
		history.survive(rootPart)
		history.crash(suspectKnown-1, rootPart)
		history.wait(survivalGap)
		So(history.check(rootPart).Trial, ShouldBeEmpty)
		history.crash(1, rootPart)
		So(history.check(rootPart).Trial, ShouldNotBeEmpty)
		history.survive(otherPart)
		So(history.try(rootPart), ShouldBeEmpty)
		history.survive(otherPart)
		So(history.try(rootPart), ShouldHaveLength, 1)
	})
	Convey("a part that came along loses the crashes that a quarantine explains", t, func() {
		history := newHistory()
		history.crash(suspectParts, badPart)
		history.crash(suspectParts, otherPart, badPart)
		history.survive(rootPart)
		convicted := history.try(otherPart, badPart)
		So(convicted, ShouldHaveLength, 1)
		So(convicted[0].Feature, ShouldEqual, badPart)
		So(history.check(otherPart).Allowed(), ShouldBeTrue)
		history.crash(suspectParts, otherPart, badPart)
		So(history.check(otherPart).Trial, ShouldBeEmpty)
	})
	Convey("parts that the crashes don't tell apart need two trials, and a survival in between clears one", t, func() {
		history := newHistory()
		history.crash(suspectParts, rootPart, badPart)
		history.survive(otherPart)
		So(history.try(rootPart, badPart), ShouldBeEmpty)
		history.survive(rootPart)
		convicted := history.try(rootPart, badPart)
		So(convicted, ShouldHaveLength, 1)
		So(convicted[0].Feature, ShouldEqual, badPart)
		So(history.check(rootPart).Allowed(), ShouldBeTrue)
	})
	Convey("a trial that failed at another entry counts, once", t, func() {
		history := newHistory()
		history.crash(suspectParts, rootPart, badPart)
		history.survive(otherPart)
		for range 2 {
			history.FailTrial([]Feature{badPart}, "elsewhere", history.now)
		}
		history.survive(otherPart)
		So(history.try(rootPart, badPart), ShouldHaveLength, 1)
	})
	Convey("a quarantine lapses, and lasts longer after a failed trial", t, func() {
		history := newHistory()
		history.Quarantine(Quarantine{Feature: badPart, Since: history.now}, history.now)
		for _, lifetime := range []timekeeper.Span{firstLifetime, lifetimeGrowth * firstLifetime} {
			history.wait(lifetime - 1)
			So(history.check(badPart).Final, ShouldBeTrue)
			history.wait(1)
			history.survive(rootPart)
			So(history.check(badPart).Trial, ShouldResemble, []Feature{badPart})
			So(history.try(badPart), ShouldHaveLength, 1)
		}
		So(history.Quarantine(Quarantine{Feature: badPart, Since: history.now}, history.now), ShouldBeFalse)
		history.wait(lifetimeGrowth * lifetimeGrowth * firstLifetime)
		history.survive(badPart)
		So(history.Quarantined(history.now), ShouldBeEmpty)
		So(history.check(badPart).Trial, ShouldBeEmpty)
	})
	Convey("a lifted quarantine stays lifted, until the part crashes replicas again", t, func() {
		history := newHistory()
		earlier := Quarantine{Feature: badPart, Since: history.now}
		So(history.Lift(badPart, history.now), ShouldBeFalse)
		So(history.Quarantine(earlier, history.now), ShouldBeTrue)
		history.wait(2 * mergeSlack)
		So(history.Lift(badPart, history.now), ShouldBeTrue)
		So(history.Lift(badPart, history.now), ShouldBeFalse)
		So(history.Quarantine(earlier, history.now), ShouldBeFalse)
		So(history.check(badPart).Trial, ShouldBeEmpty)
		peer := newHistory()
		So(peer.Quarantine(earlier, history.now), ShouldBeTrue)
		So(peer.Quarantine(history.Quarantined(history.now)[0], history.now), ShouldBeTrue)
		So(peer.check(badPart).Allowed(), ShouldBeTrue)
		peer.crash(suspectParts, badPart, otherPart)
		So(peer.Quarantine(Quarantine{Feature: otherPart, Since: history.now, Lifted: true}, peer.now), ShouldBeTrue)
		So(peer.check(badPart).Refused, ShouldEqual, badPart)
		history.wait(mergeSlack)
		history.crash(suspectParts, badPart)
		history.survive(rootPart)
		So(history.try(badPart), ShouldHaveLength, 1)
		So(peer.Quarantine(history.Quarantined(history.now)[0], history.now), ShouldBeTrue)
		history.wait(liftMemory)
		So(history.check(badPart).Allowed(), ShouldBeTrue)
	})
	Convey("records and quarantines are bounded, and those with most crashes stay", t, func() {
		history := newHistory()
		history.crash(suspectParts, badPart)
		for number := range uint64(2 * maxRecords) {
			history.crash(1, Feature{Kind: Request, ID: 100 + number})
		}
		So(len(history.records), ShouldEqual, maxRecords)
		history.survive(rootPart)
		So(history.check(badPart).Trial, ShouldNotBeEmpty)
		for number := range uint64(2 * MaxQuarantined) {
			history.Quarantine(Quarantine{Feature: Feature{Kind: Part, ID: number}, Since: history.now}, history.now)
		}
		So(history.Quarantined(history.now), ShouldHaveLength, MaxQuarantined)
	})
}
