package marker

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestEventIDsComeBack(t *testing.T) {
	Convey("an id is read as it was written", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			id := EventID{
				Instance:        rapid.StringMatching(`[a-z][a-z0-9.-]{0,20}`).Draw(t, "instance"),
				IncarnationHash: rapid.Uint32().Draw(t, "mark"),
				Serial:          rapid.Uint64().Draw(t, "serial"),
				Offset:          rapid.Uint64Max(1<<36).Draw(t, "offset"),
			}
			back, err := ParseEventID(id.String())
			if err != nil || back != id {
				t.Fatalf("%v came back as %v: %v", id, back, err)
			}
		})
	})
	tests := []struct{ name, text string }{
		{"nothing", ""},
		{"too few parts", "planner-1.0.0"},
		{"a number that is none", "planner-1.0.!.0"},
		{"a mark out of range", "planner-1.zzzzzzzzz.0.0"},
		{"a name without end", strings.Repeat("a", 300) + ".0.0.0"},
	}
	for _, test := range tests {
		Convey(test.name+" is refused", t, func() {
			_, err := ParseEventID(test.text)
			So(err, ShouldEqual, errEventID)
		})
	}
}

func TestMarkedStreams(t *testing.T) {
	tests := []struct{ name, stream, want string }{
		{"an event gets an id", "data: a\n\n", "id: I\ndata: a\n\n"},
		{"an upstream's own id is left out", "id: 9\ndata: a\n\n", "id: I\ndata: a\n\n"},
		{"line ends of the other kind", "data: a\r\n\r\n", "id: I\ndata: a\r\n\r\n"},
		{"a part of an event comes last, as it is", "data: a\n\ndata: b", "id: I\ndata: a\n\ndata: b"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			marker := Marker{id: EventID{Instance: "planner-1"}}
			var out string
			for i := range len(test.stream) {
				part, err := marker.Mark(nil, []byte(test.stream[i:i+1]))
				So(err, ShouldBeNil)
				out += string(part)
			}
			out += string(marker.Rest())
			So(marker.id.Offset, ShouldEqual, len(out)-len(marker.Rest()))
			for _, line := range strings.Split(out, "\n") {
				if id, ok := strings.CutPrefix(line, "id: "); ok {
					out = strings.Replace(out, id, "I", 1)
				}
			}
			So(out, ShouldEqual, test.want)
		})
	}
	Convey("an event without end is refused", t, func() {
		marker := Marker{}
		_, err := marker.Mark(nil, make([]byte, longestEvent+1))
		So(err, ShouldEqual, errEventTooLong)
	})
}
