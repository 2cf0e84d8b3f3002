package encoder

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
)

// pipe is a connection whose writes can be read back.
type pipe struct {
	bytes.Buffer
}

func TestFramesRoundTrip(t *testing.T) {
	offer := Of(&Offer{RequestId: "r-1", Service: "planner", Work: 12})
	run := Of(&Run{RequestId: "r-1", Body: bytes.Repeat([]byte("x"), 300<<10)})
	Convey("two frames in one write", t, func() {
		conn := &pipe{}
		stream := NewStream(conn)
		So(stream.Write(offer, run), ShouldBeNil)
		first, err := stream.Read()
		So(err, ShouldBeNil)
		So(proto.Equal(first, offer), ShouldBeTrue)
		second, err := ReadAs(stream, (*Frame).GetRun)
		So(err, ShouldBeNil)
		So(len(second.GetBody()), ShouldEqual, 300<<10)
		_, err = stream.Read()
		So(err, ShouldEqual, io.EOF)
	})
}

func TestMalformedFramesAreRefused(t *testing.T) {
	whole, err := Append(nil, Of(&Granted{RequestId: "r-1"}))
	if err != nil {
		t.Fatal(err)
	}
	tooLong := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	withoutBody := binary.BigEndian.AppendUint32(nil, MaxFrame)
	tests := []struct {
		name string
		wire []byte
		want error
	}{
		{"a frame cut in its length", whole[:2], io.ErrUnexpectedEOF},
		{"a frame cut in its body", whole[:len(whole)-1], io.ErrUnexpectedEOF},
		{"a length over the limit", tooLong, ErrFrameTooLong},
		{"a length without its body", withoutBody, io.ErrUnexpectedEOF},
		{"a frame without a message", []byte{0, 0, 0, 0}, ErrUnexpected},
		{"a frame of another type", whole, ErrUnexpected},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			conn := &pipe{}
			_, _ = conn.Write(test.wire)
			_, err := ReadAs(NewStream(conn), (*Frame).GetOffer)
			So(eris.Is(err, test.want), ShouldBeTrue)
		})
	}
}

func TestOfPanicsForAMessageThatIsNotAMember(t *testing.T) {
	Convey("a Digest is not a member of Frame", t, func() {
		So(func() { Of(&Digest{}) }, ShouldPanicWith, notAMember)
	})
}

// FuzzRead reads arbitrary bytes. Read must return an error, or a frame that is the
// same after it is written and read again.
func FuzzRead(f *testing.F) {
	for _, message := range []any{
		&Offer{RequestId: "r-1"}, &Run{Body: []byte("{}")}, &Chunk{Offset: 7, Data: []byte("data: x\n\n")},
		&Digests{Digests: []*Digest{{Instance: "planner-1"}}}, &Lookup{Tombstone: true},
	} {
		wire, err := Append(nil, Of(message))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(wire)
		f.Add(wire[:len(wire)/2])
		wire[len(wire)/2] ^= 0x80
		f.Add(wire)
	}
	f.Fuzz(func(t *testing.T, wire []byte) {
		conn := &pipe{}
		_, _ = conn.Write(wire)
		frame, err := NewStream(conn).Read()
		if err != nil {
			return
		}
		again, err := Append(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		conn.Reset()
		_, _ = conn.Write(again)
		back, err := NewStream(conn).Read()
		if err != nil || !proto.Equal(frame, back) {
			t.Fatalf("%v came back as %v: %v", frame, back, err)
		}
	})
}
