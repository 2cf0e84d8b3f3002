package balancer

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// start is a time well after zero, which means "never".
const start = timekeeper.Instant(timekeeper.Hour)

// plannerFleet returns a fleet of engines, orderFleet one of plain replicas.
func plannerFleet(count int) *Fleet {
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	fleet.SetEngine("planner", Engine{Memory: 300000})
	fleet.SetReplicas(replicasOf("planner", count, 64), numbered(1))
	return fleet
}

func orderFleet(count int) *Fleet {
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	fleet.SetReplicas(replicasOf("orders", count, 6), numbered(1))
	return fleet
}

func replicasOf(service string, count, slots int) []Replica {
	replicas := make([]Replica, count)
	for i := range replicas {
		id := fmt.Sprintf("%s-%d", service, i)
		replicas[i] = Replica{ID: id, Service: service, Address: id + ":1", DataCentre: "bole", Slots: slots}
	}
	return replicas
}

// prompt returns a prompt of a root, a shared subject and a part of its own.
func prompt(subject, own uint64) []Part {
	return []Part{{ID: subject % 4, Tokens: 2500}, {ID: 100 + subject, Tokens: 6000}, {ID: 1000 + own, Tokens: 580}}
}

func promptRequest(subject, own uint64) Request {
	return Request{Service: "planner", Parts: prompt(subject, own)}
}

// mustChoose places a request at a replica and fails the test if there is none.
func mustChoose(t *testing.T, fleet *Fleet, request Request, now timekeeper.Instant) *Placement {
	t.Helper()
	placement, reason := fleet.Choose(request, now)
	if placement == nil {
		t.Fatalf("no replica was chosen: %s", reason)
	}
	return placement
}

func TestRequestGoesWhereItsPromptIsCached(t *testing.T) {
	fleet := plannerFleet(9)
	first := mustChoose(t, fleet, promptRequest(1, 1), start)
	fleet.AnswerStarted(first, start.Add(230))
	fleet.End(first, Served, start.Add(400))
	Convey("the second request prefills only its own part", t, func() {
		second := mustChoose(t, fleet, promptRequest(1, 2), start.Add(500))
		So(first.Uncached, ShouldEqual, 9080)
		So(second.Replica.ID, ShouldEqual, first.Replica.ID)
		So(second.Uncached, ShouldEqual, 580)
	})
	Convey("a part counts only if all before it are cached", t, func() {
		parts := prompt(1, 3)
		parts[0].ID = 77
		third := mustChoose(t, fleet, Request{Service: "planner", Parts: parts}, start.Add(600))
		So(third.Uncached, ShouldEqual, 9080)
	})
}

func TestEntriesWithoutDigestsAgree(t *testing.T) {
	// Callers of one new prompt arrive at several entries at the same time. The entries have
	// not received each other's digests, but must prefill the prompt at one engine.
	Convey("for each of many prompts", t, func() {
		for subject := range uint64(50) {
			where := map[string]bool{}
			for range 4 {
				where[mustChoose(t, plannerFleet(9), promptRequest(subject, 1), start).Replica.ID] = true
			}
			So(len(where), ShouldEqual, 1)
		}
	})
}

func TestRequestFollowsAPeersPrompt(t *testing.T) {
	fleet := plannerFleet(9)
	Convey("a request goes to the engine that a peer has sent the prompt to", t, func() {
		fleet.RecordCached(KeyOf("planner-3"), prompt(1, 1), start)
		placement := mustChoose(t, fleet, promptRequest(1, 2), start)
		So(placement.Replica.ID, ShouldEqual, "planner-3")
		So(placement.Uncached, ShouldEqual, 580)
	})
}

func TestPeersPromptBeforeTheConfiguration(t *testing.T) {
	// A restarted entry receives its peers' prompts some milliseconds before the configuration
	// with the memory of an engine. Later prompts must still be remembered; otherwise the entry
	// would take these engines for empty as long as it runs.
	fleet := New(Settings{DataCentre: "bole", Seed: 1})
	fleet.SetReplicas(replicasOf("planner", 9, 64), numbered(1))
	fleet.RecordCached(KeyOf("planner-3"), prompt(1, 1), start)
	fleet.SetEngine("planner", Engine{Memory: 300000})
	Convey("a prompt after the configuration is remembered", t, func() {
		fleet.RecordCached(KeyOf("planner-3"), prompt(1, 2), start.Add(100))
		placement := mustChoose(t, fleet, promptRequest(1, 3), start.Add(200))
		So(placement.Replica.ID, ShouldEqual, "planner-3")
		So(placement.Uncached, ShouldEqual, 580)
	})
}

func TestHotPromptIsSpread(t *testing.T) {
	// Guards against a hot prompt whose requests wait for one engine. Requests about one
	// subject arrive at the same time, more than one engine may hold by the bound. They must
	// spread over several engines within the bound.
	fleet := plannerFleet(9)
	held := map[string]int{}
	for own := range uint64(60) {
		placement, _ := fleet.Choose(promptRequest(1, own), start)
		if placement == nil {
			break
		}
		held[placement.Replica.ID]++
		total := 0
		for _, count := range held {
			total += count
		}
		limit := 2*float64(total)/9 + 3
		if float64(held[placement.Replica.ID]) > limit {
			t.Fatalf("an engine holds %d of %d requests, over the bound", held[placement.Replica.ID], total)
		}
	}
	Convey("several engines get the prompt", t, func() { So(len(held), ShouldBeGreaterThan, 2) })
}

func TestEngineBeyondItsShareGetsNoRequests(t *testing.T) {
	// Guards against an overloaded engine that slows all its callers down while others idle:
	// many callers ask about one subject, and the engine that has the prompt is chosen again
	// and again. Beyond its share of the mean load another engine must prefill the prompt.
	tests := []struct {
		name       string
		held, rest int
		first      bool
	}{
		{"at the mean", 4, 4, true},
		{"within its share", 6, 4, true},
		{"slightly below the operators' bound, because of requests that peers have started since", 16, 4, false},
		{"beyond the operators' bound", 19, 4, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := plannerFleet(4)
			fleet.RecordCached(KeyOf("planner-0"), prompt(1, 9), start)
			held := map[Key]InFlight{KeyOf("planner-0"): {Running: test.held}}
			for _, other := range []string{"planner-1", "planner-2", "planner-3"} {
				held[KeyOf(other)] = InFlight{Running: test.rest}
			}
			fleet.SetPeerInFlight("peer", held, timekeeper.Minute, start)
			open, reason := fleet.candidates(promptRequest(1, 1), fleet.estimateReplicas(promptRequest(1, 1)), start)
			So(reason, ShouldEqual, noReason)
			first := slices.ContainsFunc(open, func(c candidate) bool { return c.ID == "planner-0" })
			So(first, ShouldEqual, test.first)
		})
	}
}

func TestLeavingReplicaGetsNoWork(t *testing.T) {
	fleet := plannerFleet(2)
	list := replicasOf("planner", 2, 64)
	list[0].Leaving = true
	changes := fleet.SetReplicas(list, numbered(1))
	Convey("the change is returned once", t, func() {
		So(changes, ShouldResemble, []Change{{Replica: list[0]}})
		So(fleet.SetReplicas(list, numbered(1)), ShouldBeEmpty)
	})
	Convey("all requests go to the other replica, even if the prompt is cached at the leaving one", t, func() {
		fleet.RecordCached(KeyOf("planner-0"), prompt(1, 1), start)
		for own := range uint64(5) {
			So(mustChoose(t, fleet, promptRequest(1, own), start).Replica.ID, ShouldEqual, "planner-1")
		}
		fleet.MarkLeaving("planner-1", numbered(2))
		_, reason := fleet.Choose(promptRequest(1, 9), start)
		So(reason, ShouldEqual, NoReplicas)
		So(fleet.CountAvailable("planner"), ShouldEqual, 0)
	})
	Convey("a removed replica is forgotten", t, func() {
		So(fleet.SetReplicas(nil, numbered(1)), ShouldHaveLength, 2)
		_, found := fleet.Replica("planner-1")
		So(found, ShouldBeFalse)
	})
}

func TestUnreachableReplica(t *testing.T) {
	// A replica refuses connections. After a pause one trial request finds out whether it is
	// back, and others follow only after it succeeds.
	fleet := orderFleet(1)
	request := Request{Service: "orders"}
	first := mustChoose(t, fleet, request, start)
	fleet.End(first, Unreachable, start)
	Convey("the replica gets no requests until the pause is over", t, func() {
		_, reason := fleet.Choose(request, start.Add(minUnreachablePause-1))
		So(reason, ShouldEqual, AllUnreachable)
	})
	Convey("then one trial request is sent, and the others wait for its result", t, func() {
		now := start.Add(minUnreachablePause)
		trial := mustChoose(t, fleet, request, now)
		_, reason := fleet.Choose(request, now.Add(1))
		So(reason, ShouldEqual, AllUnreachable)
		fleet.AnswerStarted(trial, now.Add(20))
		So(mustChoose(t, fleet, request, now.Add(21)), ShouldNotBeNil)
	})
}

func TestReplicaThatNeverAnswers(t *testing.T) {
	// A replica accepts requests and never answers. New requests must go to the others before
	// the first caller has left.
	fleet := orderFleet(4)
	request := Request{Service: "orders"}
	silent := mustChoose(t, fleet, request, start).Replica.ID
	Convey("overdue answers count before their requests end", t, func() {
		now := start.Add(overdueSlack + 100)
		for range 20 {
			placement := mustChoose(t, fleet, request, now)
			So(placement.Replica.ID, ShouldNotEqual, silent)
			fleet.AnswerStarted(placement, now)
			fleet.End(placement, Served, now)
		}
	})
}

func TestFailuresDecay(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		avoided bool
	}{
		{"a failure", Failed, true},
		{"an answer", Served, false},
		{"a caller who left at once", Abandoned, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := orderFleet(2)
			request := Request{Service: "orders"}
			first := mustChoose(t, fleet, request, start)
			fleet.End(first, test.outcome, start.Add(30))
			count := 0
			for range 20 {
				placement := mustChoose(t, fleet, request, start.Add(31))
				if placement.Replica.ID == first.Replica.ID {
					count++
				}
				fleet.End(placement, Abandoned, start.Add(31))
			}
			So(count == 0, ShouldEqual, test.avoided)
			later := start.Add(20 * failureHalfLife)
			back := 0
			for range 20 {
				placement := mustChoose(t, fleet, request, later)
				if placement.Replica.ID == first.Replica.ID {
					back++
				}
				fleet.End(placement, Abandoned, later)
			}
			So(back, ShouldBeGreaterThan, 0)
		})
	}
}

func TestPlainReplicasAreFilledEvenly(t *testing.T) {
	// A burst arrives for four replicas of six slots. Each must get the same number, and no
	// more than twice its slots, so that none refuses requests.
	fleet := orderFleet(4)
	held := map[string]int{}
	for {
		placement, reason := fleet.Choose(Request{Service: "orders"}, start)
		if placement == nil {
			Convey("all replicas are full", t, func() { So(reason, ShouldEqual, AllFull) })
			break
		}
		held[placement.Replica.ID]++
	}
	Convey("all replicas hold the same number", t, func() {
		for _, count := range held {
			So(count, ShouldEqual, maxPlainPerSlot*6)
		}
	})
}

func TestReplicasOwnCountExpires(t *testing.T) {
	fleet := orderFleet(2)
	fleet.RecordReport("orders-0", LoadReport{Running: 6, Waiting: 5, Slots: 6}, start)
	Convey("requests that no digest has reported count", t, func() {
		for range 5 {
			So(mustChoose(t, fleet, Request{Service: "orders"}, start.Add(10)).Replica.ID, ShouldEqual, "orders-1")
		}
		So(mustChoose(t, fleet, Request{Service: "orders"}, start.Add(reportLifetime+1)).Replica.ID, ShouldEqual, "orders-0")
	})
}

func TestPeersRequestsExpireWithItsDigest(t *testing.T) {
	fleet := orderFleet(2)
	fleet.SetPeerInFlight("entry-2", map[Key]InFlight{KeyOf("orders-0"): {Running: 9}}, 800, start)
	Convey("requests count until the digest expires", t, func() {
		So(mustChoose(t, fleet, Request{Service: "orders"}, start.Add(800)).Replica.ID, ShouldEqual, "orders-1")
	})
	Convey("requests don't count after the digest expires", t, func() {
		where := map[string]bool{}
		for range 6 {
			where[mustChoose(t, fleet, Request{Service: "orders"}, start.Add(801)).Replica.ID] = true
		}
		So(where["orders-0"], ShouldBeTrue)
		fleet.SetPeerInFlight("entry-3", nil, 800, start.Add(2*timekeeper.Minute))
		So(fleet.peers, ShouldHaveLength, 1)
	})
}

func TestCountsReturnToZero(t *testing.T) {
	// Requests are placed, start and end in any order. When all have ended nothing may be in
	// flight and no tokens may be pending.
	rapid.Check(t, func(t *rapid.T) {
		fleet := plannerFleet(4)
		now := start
		var open []*Placement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(timekeeper.Span(rapid.IntRange(0, 300).Draw(t, "pause")))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				request := promptRequest(rapid.Uint64Range(0, 5).Draw(t, "thing"), rapid.Uint64Range(0, 99).Draw(t, "own"))
				request.Priority = rapid.IntRange(0, Priorities-1).Draw(t, "priority")
				if placement, _ := fleet.Choose(request, now); placement != nil {
					open = append(open, placement)
				}
			case 2:
				if len(open) > 0 {
					fleet.AnswerStarted(open[rapid.IntRange(0, len(open)-1).Draw(t, "began")], now)
				}
			default:
				if len(open) > 0 {
					last := len(open) - 1
					fleet.End(open[last], Outcome(rapid.IntRange(int(Served), int(Abandoned)).Draw(t, "ending")), now)
					open = open[:last]
				}
			}
		}
		for _, placement := range open {
			fleet.End(placement, Served, now)
		}
		if held := fleet.InFlight(now); len(held) > 0 {
			t.Fatalf("still in flight after all requests ended: %v", held)
		}
	})
}

func TestPrefixCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	cache := newPrefixCache(1000, maxPartsPerReplica)
	Convey("the least recently used part is evicted first", t, func() {
		cache.touch([]Part{{ID: 1, Tokens: 300}}, start)
		cache.touch([]Part{{ID: 2, Tokens: 300}}, start.Add(1))
		cache.touch([]Part{{ID: 1, Tokens: 300}}, start.Add(2))
		cache.touch([]Part{{ID: 3, Tokens: 300}}, start.Add(3))
		So(cache.uncached([]Part{{ID: 1, Tokens: 300}}), ShouldEqual, 0)
		So(cache.uncached([]Part{{ID: 2, Tokens: 300}}), ShouldEqual, 300)
		So(cache.tokens, ShouldEqual, 600)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{9, 56, 400} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			fleet := plannerFleet(replicas)
			own := uint64(0)
			for b.Loop() {
				own++
				placement, _ := fleet.Choose(promptRequest(own%26, own), start)
				if placement != nil {
					fleet.End(placement, Served, start)
				}
			}
		})
	}
}
