package runner

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// queuedOffer makes an offer that waits for a slot: it first takes every slot with calls
// that wait at the upstream until releaseSlow is closed. It returns the streams of those.
func (harness *harness) queuedOffer(request, key string) (stream *encoder.Stream, slow []*encoder.Stream) {
	for i := range resolver.DefaultSlots {
		id := "slow-" + strconv.Itoa(i)
		taken := harness.offer(id, "")
		_, err := encoder.ReadAs(taken, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		harness.send(taken, &encoder.Run{RequestId: id, Method: "POST", Path: "/slow"})
		slow = append(slow, taken)
	}
	stream = harness.offer(request, key)
	_, err := encoder.ReadAs(stream, (*encoder.Frame).GetQueued)
	So(err, ShouldBeNil)
	return stream, slow
}

func TestRepeatedOfferTakesThePlaceOfTheFirst(t *testing.T) {
	// Guards against "unknown" or "in progress" for an order that has not run. The
	// connection of an offer breaks before its grant arrives, and the entry repeats the
	// offer before the agent has noticed. The first offer must free its slot and its key.
	for _, key := range []string{"", "key"} {
		Convey("a granted offer gives way, key "+strconv.Quote(key), t, func() {
			harness := newHarness(t)
			first := harness.offer("order", key)
			_, err := encoder.ReadAs(first, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
			second := harness.offer("order", key)
			So(refusalOf(first), ShouldEqual, "unreachable")
			_, err = encoder.ReadAs(second, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
			So(harness.agent.Digest().GetRunning(), ShouldEqual, 1)
			harness.send(second, &encoder.Run{RequestId: "order", Method: "POST", Path: "/orders"})
			So(refusalOf(second), ShouldEqual, "")
			So(harness.runs.Load(), ShouldEqual, 1)
		})
		Convey("a queued offer gives way, key "+strconv.Quote(key), t, func() {
			harness := newHarness(t)
			first, slow := harness.queuedOffer("order", key)
			second := harness.offer("order", key)
			So(refusalOf(first), ShouldEqual, "unreachable")
			_, err := encoder.ReadAs(second, (*encoder.Frame).GetQueued)
			So(err, ShouldBeNil)
			So(harness.agent.Digest().GetWaiting(), ShouldEqual, 1)
			close(harness.releaseSlow)
			for _, stream := range slow {
				So(refusalOf(stream), ShouldEqual, "")
			}
			_, err = encoder.ReadAs(second, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
		})
		Convey("a run doesn't give way, key "+strconv.Quote(key), t, func() {
			harness := newHarness(t)
			first := harness.offer("order", key)
			_, err := encoder.ReadAs(first, (*encoder.Frame).GetGranted)
			So(err, ShouldBeNil)
			harness.send(first, &encoder.Run{RequestId: "order", Method: "POST", Path: "/slow"})
			harness.until(func() bool { return harness.atUpstream.Load() == 1 })
			live := refusalOf(harness.offer("order", key))
			harness.agent.mu.Lock()
			harness.agent.draining = true
			harness.agent.mu.Unlock()
			draining := refusalOf(harness.offer("order", key))
			close(harness.releaseSlow)
			So(live, ShouldBeIn, "outcome-unknown", "key-in-progress")
			So(draining, ShouldBeIn, "outcome-unknown", "key-in-progress")
			So(refusalOf(first), ShouldEqual, "")
			So(harness.runs.Load(), ShouldEqual, 1)
		})
	}
}

func TestBuriedOfferTakesNoKey(t *testing.T) {
	// Guards against a key that counts as in progress for an order that was declared not
	// run. The offer waits for a slot when its tombstone is written, and is granted later.
	Convey("a resend is granted", t, func() {
		harness := newHarness(t)
		buried, slow := harness.queuedOffer("order", "key")
		_, err := encoder.ReadAs(
			harness.open(&encoder.Lookup{RequestId: "order", Team: "rig", Incarnation: 7, Tombstone: true}), (*encoder.Frame).GetFound)
		So(err, ShouldBeNil)
		close(harness.releaseSlow)
		for _, stream := range slow {
			So(refusalOf(stream), ShouldEqual, "")
		}
		So(refusalOf(buried), ShouldEqual, "tombstoned")
		_, err = encoder.ReadAs(harness.offer("resend", "key"), (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		So(harness.runs.Load(), ShouldEqual, resolver.DefaultSlots)
	})
}
