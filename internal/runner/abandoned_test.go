package runner

import (
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
)

func TestOrderWithoutReaderEndsAndFreesItsSlot(t *testing.T) {
	// Guards against a slot that stays taken after the caller of an order has left. The
	// answer is longer than the window, the run must not be canceled, and no reader takes
	// its bytes. The agent drains it, so that the upstream can finish and the slot is
	// freed, and keeps the end of the answer for a look-up.
	harness := newHarness(t)
	whole := bytes.Repeat([]byte("0123456789abcdef"), (2*replayer.MaxRetained+replayer.Window)/16)
	harness.upstream.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(whole) })
	near, far := net.Pipe()
	go harness.agent.serveStream(t.Context(), far)
	stream := encoder.NewStream(near)
	harness.send(stream, &encoder.Offer{RequestId: "lost", Service: "orders", Team: "rig"})
	Convey("the run ends, and a look-up gets the kept end of the answer", t, func() {
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		harness.send(stream, &encoder.Run{RequestId: "lost", Method: "POST", Path: "/orders"})
		_, err = encoder.ReadAs(stream, (*encoder.Frame).GetHead)
		So(err, ShouldBeNil)
		_ = near.Close()
		harness.until(func() bool { return harness.agent.inFlight() == 0 })
		lookup := &encoder.Lookup{RequestId: "lost", Team: "rig", Follow: true}
		early, _ := harness.agent.findRun(lookup)
		So(early.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_FORGOTTEN)
		lookup.Offset = uint64(len(whole)) - replayer.MaxRetained
		rest, end := restOf(harness.open(lookup))
		So(bytes.Equal(rest, whole[lookup.Offset:]), ShouldBeTrue)
		So(end.GetDigest(), ShouldEqual, xxhash.Sum64(whole))
		So(end.GetPartDigest(), ShouldEqual, xxhash.Sum64(rest))
	})
	Convey("the id stays known, and a second offer isn't answered with not run", t, func() {
		So(refusalOf(harness.offer("lost", "")), ShouldEqual, "outcome-unknown")
	})
}

// restOf reads an answer to its end.
func restOf(stream *encoder.Stream) ([]byte, *encoder.End) {
	var rest []byte
	for {
		frame, err := stream.Read()
		if err != nil || frame.GetEnd() != nil {
			return rest, frame.GetEnd()
		}
		rest = append(rest, frame.GetChunk().GetData()...)
	}
}
