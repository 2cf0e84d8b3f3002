package marker

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestEventIDsRoundTrip(t *testing.T) {
	Convey("a parsed id equals the id that was formatted", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			id := EventID{
				Instance:        rapid.StringMatching(`[a-z][a-z0-9.-]{0,20}`).Draw(t, "instance"),
				IncarnationHash: rapid.Uint32().Draw(t, "hash"),
				Serial:          rapid.Uint64().Draw(t, "serial"),
				Offset:          rapid.Uint64Max(1<<36).Draw(t, "offset"),
			}
			parsed, err := ParseEventID(id.String())
			if err != nil || parsed != id {
				t.Fatalf("%v was parsed as %v: %v", id, parsed, err)
			}
		})
	})
	tests := []struct{ name, text string }{
		{"an empty id", ""},
		{"an id with too few parts", "planner-1.0.0"},
		{"an id with a malformed number", "planner-1.0.!.0"},
		{"an id with a hash out of range", "planner-1.zzzzzzzzz.0.0"},
		{"an id that is too long", strings.Repeat("a", 300) + ".0.0.0"},
	}
	for _, test := range tests {
		Convey(test.name+" is refused", t, func() {
			_, err := ParseEventID(test.text)
			So(err, ShouldEqual, errEventID)
		})
	}
}

func TestMarkAddsIDs(t *testing.T) {
	tests := []struct{ name, stream, want string }{
		{"an event gets an id", "data: a\n\n", "id: I\ndata: a\n\n"},
		{"an id of the upstream is removed", "id: 9\ndata: a\n\n", "id: I\ndata: a\n\n"},
		{"an event with CRLF line ends gets an id", "data: a\r\n\r\n", "id: I\ndata: a\r\n\r\n"},
		{"an incomplete event at the end stays unchanged", "data: a\n\ndata: b", "id: I\ndata: a\n\ndata: b"},
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
	Convey("an incomplete event over the limit is refused", t, func() {
		marker := Marker{}
		_, err := marker.Mark(nil, make([]byte, maxEventBytes+1))
		So(err, ShouldEqual, errEventTooLong)
	})
}
