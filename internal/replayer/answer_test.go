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

// relayed returns the body that a reader gets from an offset on.
func relayed(t *testing.T, answer *Answer, offset uint64) []byte {
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

func TestAReaderComesBackForTheRest(t *testing.T) {
	// A caller's connection breaks in the middle of an answer. The answer goes on
	// without it; the caller comes back and gets what it has not had, and only that.
	answer := New(Settings{})
	whole := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	answer.SetHead(&encoder.Head{Status: 200})
	Convey("from where it stopped", t, func() {
		So(answer.Add(t.Context(), whole), ShouldBeNil)
		answer.Close("run", true, classifier.Failure{})
		So(answer.Resumable(1000), ShouldBeTrue)
		So(bytes.Equal(relayed(t, answer, 1000), whole[1000:]), ShouldBeTrue)
		So(bytes.Equal(relayed(t, answer, 0), whole), ShouldBeTrue)
		So(answer.End().GetDigest(), ShouldEqual, xxhash.Sum64(whole))
	})
	Convey("until the body is dropped", t, func() {
		So(answer.RetainedBytes(), ShouldEqual, len(whole))
		answer.Drop()
		So(answer.RetainedBytes(), ShouldEqual, 0)
		So(answer.Resumable(1000), ShouldBeFalse)
		So(answer.End().GetComplete(), ShouldBeTrue)
	})
}

func TestASlowReaderHoldsBackTheUpstream(t *testing.T) {
	// Nobody reads. Once the window is full the upstream has to wait, so that memory
	// stays bounded; an answer that is drained waits for nobody and keeps its tail.
	part := make([]byte, Window+1)
	tests := []struct {
		name   string
		drains bool
		held   int
		waits  bool
	}{
		{"held back", false, Window + 1, true},
		{"drained", true, MaxRetained, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			answer := New(Settings{})
			if test.drains {
				answer.Drain()
			}
			So(answer.Add(t.Context(), part), ShouldBeNil)
			gone, cancel := context.WithCancel(t.Context())
			cancel()
			err := answer.Add(gone, part)
			So(err != nil, ShouldEqual, test.waits)
			for range 5 {
				_ = answer.Add(gone, part)
			}
			So(answer.RetainedBytes(), ShouldEqual, test.held)
		})
	}
}
