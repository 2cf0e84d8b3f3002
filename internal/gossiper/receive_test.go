package gossiper

import (
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestADigestThatPanics(t *testing.T) {
	// Guards against a datagram that ends the process, or keeps it from handling those that follow.
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	first, second := newTestEntry(t, 1, clock.Clock()), newTestEntry(t, 2, clock.Clock())
	first.AddPeer(second.address())
	record := second.settings.OnDigest
	var digests atomic.Int32
	second.settings.OnDigest = func(received Digest) {
		if digests.Add(1) == 1 {
			panic("odd digest")
		}
		record(received)
	}
	Convey("the next digest of the peer is handled", t, func() {
		first.sendDigest()
		for digests.Load() == 0 {
			_ = timekeeper.Steady().Sleep(t.Context(), 2)
		}
		clock.Advance(timekeeper.Minute)
		first.SendUnreachable("planner-2")
		first.sendDigest()
		So(second.wait(t, 1)[0].Unreachable, ShouldResemble, []string{"planner-2"})
	})
}
