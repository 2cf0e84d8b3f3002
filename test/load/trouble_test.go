package load

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestReuseWhenKnowledgeIsWrong(t *testing.T) {
	// Callers lose some speed and nothing else when agents or entries believe
	// what isn't so: turns find a cold prefix a little more often.
	// Engines evict without a word, so agents that take the cache for four times
	// as large, or for endless, lead chats to prefixes that are gone. Or half of
	// the calls come through entries that learn of each change a minute late.
	const most = 0.005
	calm := entoto(own(3), false, cramped)
	tests := []struct {
		name    string
		trouble func(fleet *fleet)
		least   float64
	}{
		{"evictions are never told", func(fleet *fleet) { fleet.believe(0) }, 0.98},
		{"evictions are told late", func(fleet *fleet) { fleet.believe(4 * fleet.room) }, 0.98},
		{"the cache is believed to be half", func(fleet *fleet) { fleet.believe(fleet.room / 2) }, 0.95},
		{"entries disagree for a minute", func(fleet *fleet) { fleet.farLag = timekeeper.Minute; fleet.look() }, 0.9},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			run := entoto(own(3), false, cramped, test.trouble)
			t.Logf("%s: reuse %.3f of that without, offers %.2f, not served %.4f (%.4f without)", test.name,
				run.reuse()/calm.reuse(), offersPerCall(run), refusedShare(run), refusedShare(calm))
			So(run.reuse(), ShouldBeGreaterThan, test.least*calm.reuse())
			So(refusedShare(run), ShouldBeLessThan, refusedShare(calm)+most)
			So(offersPerCall(run), ShouldBeLessThan, offersPerCall(calm)+1)
		})
	}
}

// cramped gives the engines memory for two of three chats.
func cramped(fleet *fleet) {
	fleet.room = 300_000
	for _, member := range fleet.members {
		member.cache.room = fleet.room
	}
	fleet.believe(fleet.room)
}

// believe sets the room that the agents take their caches to have.
func (fleet *fleet) believe(room int64) {
	fleet.believed = room
	for _, member := range fleet.members {
		member.known = placer.NewDirectory(placer.DirectorySettings{Self: member.name, CacheTokens: room})
	}
}

func TestOneSlowUpstream(t *testing.T) {
	// Callers of an engine that has turned five times slower are served by the
	// others; under plain rendezvous they wait past their deadlines.
	// Its work piles up, so it meets the bound and its controller's estimate tells
	// that the wait is too long; its chats spill and their prefixes follow.
	drag := func(policy policy) *fleet {
		return overload(policy, 0.7, func(fleet *fleet) { fleet.members["replica-2"].slow = 5 })
	}
	Convey("one of six is slow", t, func() {
		ours, plain := drag(own(1.25)), drag(rendezvous())
		t.Logf("not served: ours %.4f, rendezvous %.4f", refusedShare(ours), refusedShare(plain))
		So(refusedShare(ours), ShouldBeLessThan, 0.02)
		So(refusedShare(ours)*3, ShouldBeLessThan, refusedShare(plain))
	})
}

// identical is a dozen replicas where two of three calls have no chat and one
// of a few bodies, as probes and prompts from templates have.
func identical(policy policy) *fleet {
	const rate, bodies = 60, 3
	fleet := newFleet(policy, 12, 400_000)
	random := rand.New(rand.NewPCG(34, 55))
	at := 0.0
	for number := 0; at < float64(timekeeper.Minute); number++ {
		call := request{
			id: fmt.Sprint(number), team: fmt.Sprint("team-", random.IntN(4)), class: draft, deadline: 10 * timekeeper.Second,
			prompt: 400, made: 100,
		}
		if random.IntN(3) == 0 {
			call.chat = 1 + random.Uint64N(400)
		} else {
			call.body = 1 + random.Uint64N(bodies)
		}
		fleet.at(timekeeper.Instant(at), func() { fleet.arrive(call) })
		at += random.ExpFloat64() * 1000 / rate
	}
	fleet.run()
	return fleet
}

func TestIdenticalBodiesDoNotPileUp(t *testing.T) {
	// A caller whose prompt thousands of others send as well is served as soon
	// as anyone.
	// Calls without a chat are placed by what they say, so that a resend finds
	// its like. The home of a common body meets the bound, and the rest spills
	// to replicas with room.
	Convey("three bodies make two of three calls", t, func() {
		run := identical(own(1.25))
		t.Logf("busiest %.2f of the mean, not served %.4f, offers %.2f", run.worst, refusedShare(run), offersPerCall(run))
		So(run.worst, ShouldBeLessThanOrEqualTo, 1.25)
		So(refusedShare(run), ShouldBeLessThan, 0.01)
	})
}
