package balancer

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// withPeers gives a fleet peers that have nothing in flight and send digests at an interval.
func withPeers(fleet *Fleet, count int, interval timekeeper.Span, now timekeeper.Instant) *Fleet {
	for peer := range count {
		fleet.SetPeerInFlight(fmt.Sprint(peer), nil, timekeeper.Minute, now.Add(-interval))
		fleet.SetPeerInFlight(fmt.Sprint(peer), nil, timekeeper.Minute, now)
	}
	return fleet
}

func TestEnginesForAHotPart(t *testing.T) {
	// One of many entries receives a thirtieth of all requests. If it is asked for a part
	// several times, all entries together are asked for it thirty times as often; a single
	// request shows nothing.
	tests := []struct {
		name     string
		peers    int
		interval timekeeper.Span
		asked    int
		minCount int
		maxCount int
	}{
		{"one request", 30, 600, 1, 1, 1},
		{"several requests, many entries", 30, 600, 5, 4, 10},
		{"several requests, many entries, recent digests", 30, 100, 5, 1, 3},
		{"several requests, few entries", 3, 600, 5, 1, 2},
		{"no peers", 0, 0, 50, 1, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := withPeers(plannerFleet(40), test.peers, test.interval, start)
			for range test.asked {
				fleet.partRates.count(101, start)
			}
			candidates, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
			count := fleet.enginesForPart(101, candidates, start)
			So(count, ShouldBeGreaterThanOrEqualTo, test.minCount)
			So(count, ShouldBeLessThanOrEqualTo, test.maxCount)
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
	// One of the engines that share a hot part has failed requests. It must be left out, as for
	// any other request, though it is first in rendezvous order.
	fleet := plannerFleet(9)
	all, _ := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
	first := fleet.pickForHotPart(all, 101, 1).ID
	for range 3 {
		fleet.replicas[first].health.recordFailure(1, start)
	}
	Convey("the next engines in order take its requests", t, func() {
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
	Convey("no more parts are counted than the limit", t, func() {
		So(len(counted), ShouldBeLessThanOrEqualTo, maxPartRates)
	})
}

func TestRestartedEntryFollowsThePreferenceOrder(t *testing.T) {
	// A restarted entry has received its peers' load, but not yet their prompts. The engine
	// that has a prompt, first in rendezvous order, is busier than the rest. The request must
	// go there all the same: prefill elsewhere takes longer than the wait.
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
