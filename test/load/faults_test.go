package load

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestReuseWithWrongCacheAndRosterState(t *testing.T) {
	// Guards against lost calls when agents or entries have wrong state: chats may
	// only miss their prefix a little more often.
	// Engines don't report evictions, so agents that assume a cache of four times
	// the size, or an unbounded one, direct chats to evicted prefixes. Or half of
	// the calls come through entries that learn of each change a minute late.
	const maxExtraUnserved = 0.005
	noFault := returningChats(systemPolicy(3), false, smallCaches)
	tests := []struct {
		name     string
		fault    func(fleet *fleet)
		minReuse float64
	}{
		{"agents assume an unbounded cache", func(fleet *fleet) { fleet.assumeCapacity(0) }, 0.98},
		{"agents assume four times the cache", func(fleet *fleet) { fleet.assumeCapacity(4 * fleet.tokenCapacity) }, 0.98},
		{"agents assume half the cache", func(fleet *fleet) { fleet.assumeCapacity(fleet.tokenCapacity / 2) }, 0.95},
		{"half of the entries learn of changes a minute late", func(fleet *fleet) { fleet.extraLag = timekeeper.Minute; fleet.updateRosters() }, 0.9},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			run := returningChats(systemPolicy(3), false, smallCaches, test.fault)
			t.Logf("%s: reuse %.3f of that without the fault, offers %.2f, not served %.4f (%.4f without)", test.name,
				run.reuse()/noFault.reuse(), offersPerCall(run), unservedShare(run), unservedShare(noFault))
			So(run.reuse(), ShouldBeGreaterThan, test.minReuse*noFault.reuse())
			So(unservedShare(run), ShouldBeLessThan, unservedShare(noFault)+maxExtraUnserved)
			So(offersPerCall(run), ShouldBeLessThan, offersPerCall(noFault)+1)
		})
	}
}

// smallCaches gives the engines memory for two of three chats.
func smallCaches(fleet *fleet) {
	fleet.tokenCapacity = 300_000
	for _, member := range fleet.members {
		member.cache.tokenCapacity = fleet.tokenCapacity
	}
	fleet.assumeCapacity(fleet.tokenCapacity)
}

// assumeCapacity sets the cache capacity that agents assume.
func (fleet *fleet) assumeCapacity(tokenCapacity int64) {
	fleet.assumedCapacity = tokenCapacity
	for _, member := range fleet.members {
		member.directory = placer.NewDirectory(placer.DirectorySettings{Self: member.name, CacheTokens: tokenCapacity})
	}
}

func TestCallsOfASlowUpstreamSpill(t *testing.T) {
	// Guards against missed deadlines when one engine becomes five times slower;
	// under plain rendezvous hashing its callers wait past their deadlines.
	// Its work piles up until it reaches the load bound and its controller
	// estimates too long a wait; its chats spill to the other replicas, which fetch
	// their prefixes.
	withSlowReplica := func(policy policy) *fleet {
		return overload(policy, 0.7, func(fleet *fleet) { fleet.members["replica-2"].slowdown = 5 })
	}
	Convey("one of six replicas is slow", t, func() {
		systemRun, rendezvousRun := withSlowReplica(systemPolicy(1.25)), withSlowReplica(rendezvous())
		t.Logf("not served: system %.4f, rendezvous %.4f", unservedShare(systemRun), unservedShare(rendezvousRun))
		So(unservedShare(systemRun), ShouldBeLessThan, 0.02)
		So(unservedShare(systemRun)*3, ShouldBeLessThan, unservedShare(rendezvousRun))
	})
}

// identicalBodies runs a dozen replicas where two of three calls have no chat and
// one of three bodies, like probes and prompts from templates.
func identicalBodies(policy policy) *fleet {
	const rate, bodies = 60, 3
	fleet := newFleet(policy, 12, 400_000)
	random := rand.New(rand.NewPCG(34, 55))
	at := 0.0
	for number := 0; at < float64(timekeeper.Minute); number++ {
		call := request{
			id: fmt.Sprint(number), team: fmt.Sprint("team-", random.IntN(4)), class: draft, deadline: 10 * timekeeper.Second,
			promptTokens: 400, outputTokens: 100,
		}
		if random.IntN(3) == 0 {
			call.chat = 1 + random.Uint64N(400)
		} else {
			call.bodyFingerprint = 1 + random.Uint64N(bodies)
		}
		fleet.at(timekeeper.Instant(at), func() { fleet.arrive(call) })
		at += random.ExpFloat64() * 1000 / rate
	}
	fleet.run()
	return fleet
}

func TestIdenticalBodiesDoNotOverloadAReplica(t *testing.T) {
	// Guards against an overloaded replica when thousands of callers send the same
	// prompt. Calls without a chat are placed by a fingerprint of their body, so
	// that a resend finds the cached prefix. The home replica of a common body
	// reaches the load bound, and further calls spill to replicas with free capacity.
	Convey("two of three calls have one of three bodies", t, func() {
		run := identicalBodies(systemPolicy(1.25))
		t.Logf("busiest %.2f of the mean, not served %.4f, offers %.2f", run.maxOverMean, unservedShare(run), offersPerCall(run))
		So(run.maxOverMean, ShouldBeLessThanOrEqualTo, 1.25)
		So(unservedShare(run), ShouldBeLessThan, 0.01)
	})
}
