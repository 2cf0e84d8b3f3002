package replayer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// readBody returns the body that a reader receives from offset to the end.
func readBody(t *testing.T, answer *Answer, offset uint64) []byte {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() { _ = answer.Follow(t.Context(), encoder.NewStream(far), offset); _ = far.Close() }()
	stream := encoder.NewStream(near)
	var body []byte
	for {
		frame, err := stream.Read()
		if err != nil {
			if err != io.EOF {
				t.Log(err)
			}
			return body
		}
		body = append(body, frame.GetChunk().GetData()...)
		if frame.GetEnd() != nil {
			return body
		}
	}
}

func TestAReaderResumesAtItsOffset(t *testing.T) {
	// A caller's connection breaks in the middle of an answer, and the answer
	// continues. The returning caller must receive exactly the bytes it lacks.
	answer := New(Settings{})
	body := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	answer.SetHead(&encoder.Head{Status: 200})
	Convey("at an offset while the body is retained", t, func() {
		So(answer.Add(t.Context(), body), ShouldBeNil)
		answer.Close("run", true, classifier.Failure{})
		So(answer.Resumable(1000), ShouldBeTrue)
		So(bytes.Equal(readBody(t, answer, 1000), body[1000:]), ShouldBeTrue)
		So(bytes.Equal(readBody(t, answer, 0), body), ShouldBeTrue)
		So(answer.End().GetDigest(), ShouldEqual, xxhash.Sum64(body))
	})
	Convey("not after the body is dropped", t, func() {
		So(answer.RetainedBytes(), ShouldEqual, len(body))
		answer.Drop()
		So(answer.RetainedBytes(), ShouldEqual, 0)
		So(answer.Resumable(1000), ShouldBeFalse)
		So(answer.End().GetComplete(), ShouldBeTrue)
	})
}

func TestASlowReaderBlocksTheUpstream(t *testing.T) {
	// Guards against unlimited memory when a caller stops reading. Once the window is
	// full, Add must block; a drained answer doesn't block and retains its last bytes.
	part := make([]byte, Window+1)
	tests := []struct {
		name     string
		drained  bool
		retained int
		blocks   bool
	}{
		{"not drained", false, Window + 1, true},
		{"drained", true, MaxRetained, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			answer := New(Settings{})
			if test.drained {
				answer.Drain()
			}
			So(answer.Add(t.Context(), part), ShouldBeNil)
			canceled, cancel := context.WithCancel(t.Context())
			cancel()
			err := answer.Add(canceled, part)
			So(err != nil, ShouldEqual, test.blocks)
			for range 5 {
				_ = answer.Add(canceled, part)
			}
			So(answer.RetainedBytes(), ShouldEqual, test.retained)
		})
	}
}
