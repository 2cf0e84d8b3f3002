package marker

import (
	"bytes"
	"testing"
)

// FuzzMarkedStream holds the marker against any stream in any two parts: where
// the stream is split makes no difference to what comes out, and without ids
// the bytes are those of the stream without its own ids. Each id names the
// place where the next one begins, and no other id stands between.
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
		whole, offset, ok := marked(stream)
		if !ok {
			return
		}
		cut := at % uint(len(stream)+1)
		split, _, _ := marked(stream[:cut], stream[cut:])
		if !bytes.Equal(split, whole) {
			t.Fatalf("split at %d: %q, whole: %q", cut, split, whole)
		}
		if got, want := withoutIDLines(whole), withoutIDLines(stream); !bytes.Equal(got, want) {
			t.Fatalf("without ids %q, want %q", got, want)
		}
		requireIDs(t, whole[:offset])
	})
}

// marked runs the parts of a stream through a marker. It returns what came out
// and the place that the last id names.
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

// requireIDs checks the ids of a stream of whole events.
func requireIDs(t *testing.T, events []byte) {
	t.Helper()
	at, next := uint64(0), uint64(0)
	for line := range bytes.Lines(events) {
		if text, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id, err := ParseEventID(string(bytes.TrimSpace(text)))
			if err != nil || at != next {
				t.Fatalf("%q at %d, the next id belongs at %d: %v", line, at, next, err)
			}
			next = id.Offset
		}
		at += uint64(len(line))
	}
	if at != next {
		t.Fatalf("the last id names %d of %d bytes", next, at)
	}
}

// withoutIDLines drops the lines that are ids, and nothing else. An id at the
// very end that no line end follows is part of an event that isn't whole.
func withoutIDLines(stream []byte) []byte {
	var out []byte
	for line := range bytes.Lines(stream) {
		if !bytes.HasPrefix(line, []byte("id:")) {
			out = append(out, line...)
		}
	}
	return out
}
