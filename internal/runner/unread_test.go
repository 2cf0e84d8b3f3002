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

func TestAnUnreadOrderEndsAndFreesItsSlot(t *testing.T) {
	// The caller of an order leaves while its answer is longer than the window.
	// The run may not be ended, and nobody takes its bytes. It is drained, so
	// the upstream ends, the slot is free, and its tail waits for a look-up.
	bench := newBench(t)
	whole := bytes.Repeat([]byte("0123456789abcdef"), (2*replayer.MaxRetained+replayer.Window)/16)
	bench.upstream.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(whole) })
	near, far := net.Pipe()
	go bench.agent.serveStream(t.Context(), far)
	stream := encoder.NewStream(near)
	bench.send(stream, &encoder.Offer{RequestId: "lost", Service: "orders", Team: "rig"})
	Convey("it ends, and a look-up gets what is kept", t, func() {
		_, err := encoder.ReadAs(stream, (*encoder.Frame).GetGranted)
		So(err, ShouldBeNil)
		bench.send(stream, &encoder.Run{RequestId: "lost", Method: "POST", Path: "/orders"})
		_, err = encoder.ReadAs(stream, (*encoder.Frame).GetHead)
		So(err, ShouldBeNil)
		_ = near.Close()
		bench.until(func() bool { return bench.agent.inFlight() == 0 })
		lookup := &encoder.Lookup{RequestId: "lost", Team: "rig", Follow: true}
		early, _ := bench.agent.find(lookup)
		So(early.GetState(), ShouldEqual, encoder.RunState_RUN_STATE_FORGOTTEN)
		lookup.Offset = uint64(len(whole)) - replayer.MaxRetained
		rest, end := restOf(bench.open(lookup))
		So(bytes.Equal(rest, whole[lookup.Offset:]), ShouldBeTrue)
		So(end.GetDigest(), ShouldEqual, xxhash.Sum64(whole))
		So(end.GetPartDigest(), ShouldEqual, xxhash.Sum64(rest))
	})
	Convey("its id is known, and never called not run", t, func() {
		So(refusalOf(bench.offer("lost", "")), ShouldEqual, "outcome-unknown")
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
