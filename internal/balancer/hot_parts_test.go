package balancer

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// withPeers tells a fleet of peers that have nothing under way and send a digest
// each so often.
func withPeers(fleet *Fleet, count int, gap timekeeper.Span, now timekeeper.Instant) *Fleet {
	for peer := range count {
		fleet.SetPeerInFlight(fmt.Sprint(peer), nil, timekeeper.Minute, now.Add(-gap))
		fleet.SetPeerInFlight(fmt.Sprint(peer), nil, timekeeper.Minute, now)
	}
	return fleet
}

func TestEnginesForAHotPart(t *testing.T) {
	// One of many entries sees a thirtieth of what all callers ask for. A part that
	// it is asked for again and again is asked for thirty times as often by all; one
	// that it is asked for once says nothing.
	tests := []struct {
		name  string
		peers int
		gap   timekeeper.Span
		asked int
		least int
		most  int
	}{
		{"asked for once", 30, 600, 1, 1, 1},
		{"asked for some times, by many entries", 30, 600, 5, 4, 10},
		{"the same with fresh digests", 30, 100, 5, 1, 3},
		{"the same by few entries", 3, 600, 5, 1, 2},
		{"no peers", 0, 0, 50, 1, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := withPeers(plannerFleet(40), test.peers, test.gap, start)
			for range test.asked {
				fleet.partRates.count(101, start)
			}
			candidates, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
			count := fleet.enginesForPart(101, candidates, start)
			So(count, ShouldBeGreaterThanOrEqualTo, test.least)
			So(count, ShouldBeLessThanOrEqualTo, test.most)
			seen := map[string]bool{}
			for range 200 {
				open, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
				seen[fleet.pickForHotPart(open, 101, count).ID] = true
			}
			So(len(seen), ShouldEqual, count)
		})
	}
}

func TestHotPartAvoidsAFailingEngine(t *testing.T) {
	// One of the engines that share a hot part has failed requests. It is left out,
	// as it would be for any other request, though rendezvous ranks it first.
	fleet := plannerFleet(9)
	all, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
	first := fleet.pickForHotPart(all, 101, 1).ID
	for range 3 {
		fleet.replicas[first].health.recordFailure(1, start)
	}
	Convey("the next ones take its part", t, func() {
		for range 50 {
			open, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
			So(fleet.pickForHotPart(open, 101, 3).ID, ShouldNotEqual, first)
		}
	})
}

func TestPartRatesAreBounded(t *testing.T) {
	counted := partRates{}
	for part := range uint64(3 * maxPartRates) {
		counted.count(part, start.Add(timekeeper.Span(part)))
	}
	Convey("no more parts than there is room for", t, func() {
		So(len(counted), ShouldBeLessThanOrEqualTo, maxPartRates)
	})
}

func TestRestartedEntryFollowsThePreferenceOrder(t *testing.T) {
	// An entry starts again among others that have sent a prompt where it ranks
	// first. It has heard of their load, not yet of their prompts; the engine is
	// busier than the rest. It goes there all the same: reading the prompt elsewhere
	// takes longer than the wait.
	Convey("for each of many prompts", t, func() {
		for subject := range uint64(50) {
			usual := mustChoose(t, plannerFleet(9), promptRequest(subject, 1), start).Replica.ID
			restarted := plannerFleet(9)
			held := map[Key]InFlight{}
			for _, other := range replicasOf("planner", 9, 64) {
				held[KeyOf(other.ID)] = InFlight{Running: 4}
			}
			held[KeyOf(usual)] = InFlight{Running: 7, PendingTokens: 6000}
			restarted.SetPeerInFlight("peer", held, timekeeper.Minute, start)
			So(mustChoose(t, restarted, promptRequest(subject, 2), start).Replica.ID, ShouldEqual, usual)
		}
	})
}
