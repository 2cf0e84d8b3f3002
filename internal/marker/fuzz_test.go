package marker

import (
	"bytes"
	"testing"
)

// FuzzMarkedStream passes a stream to the marker in two parts. The output must not
// depend on the split, and must equal the stream when id lines are removed from
// both. Each id must give the offset of the next one, with no other id between.
func FuzzMarkedStream(f *testing.F) {
	for _, seed := range []string{
		"", "data: a\n\n", "id: 9\ndata: a\n\ndata: b\n\n", "data: a\r\n\r\ndata: b\r\n\r\n", "data: a\n\ndata: b",
		"\n\n\n\n", "id:\n\nid", "data: a\n\r\n\n", "data: id: x\n\n", ": note\n\ndata: [DONE]\n\n", "data: a\r\nid: 4\r\n\r\n",
	} {
		for at := 0; at <= len(seed); at += 3 {
			f.Add([]byte(seed), uint(at))
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, at uint) {
		unsplit, offset, ok := marked(stream)
		if !ok {
			return
		}
		cut := at % uint(len(stream)+1)
		split, _, _ := marked(stream[:cut], stream[cut:])
		if !bytes.Equal(split, unsplit) {
			t.Fatalf("split at %d: %q, unsplit: %q", cut, split, unsplit)
		}
		if got, want := withoutIDLines(unsplit), withoutIDLines(stream); !bytes.Equal(got, want) {
			t.Fatalf("without ids %q, want %q", got, want)
		}
		requireIDs(t, unsplit[:offset])
	})
}

// marked passes the parts of a stream to a marker. It returns the output and the
// offset in the last id.
func marked(parts ...[]byte) (out []byte, offset uint64, ok bool) {
	marker := Marker{id: EventID{Instance: "planner-1"}}
	for _, part := range parts {
		var err error
		if out, err = marker.Mark(out, part); err != nil {
			return nil, 0, false
		}
	}
	return append(out, marker.Rest()...), marker.id.Offset, true
}

// requireIDs checks the ids of a stream of complete events.
func requireIDs(t *testing.T, events []byte) {
	t.Helper()
	at, next := uint64(0), uint64(0)
	for line := range bytes.Lines(events) {
		if text, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id, err := ParseEventID(string(bytes.TrimSpace(text)))
			if err != nil || at != next {
				t.Fatalf("%q at offset %d, want the next id at %d: %v", line, at, next, err)
			}
			next = id.Offset
		}
		at += uint64(len(line))
	}
	if at != next {
		t.Fatalf("the last id has offset %d, the events are %d bytes long", next, at)
	}
}

// withoutIDLines removes the id lines. This includes an unterminated id line at the
// end, which is part of an incomplete event.
func withoutIDLines(stream []byte) []byte {
	var out []byte
	for line := range bytes.Lines(stream) {
		if !bytes.HasPrefix(line, []byte("id:")) {
			out = append(out, line...)
		}
	}
	return out
}
