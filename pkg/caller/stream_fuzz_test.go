package caller

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzReadEvent checks readEvent on arbitrary streams. Reading ends with
// io.ErrUnexpectedEOF and gives the same events byte by byte as in one piece. Events
// that are written out again read the same, and any text written as the data lines of
// an event reads back unchanged.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{
		"", "data: a\n\n", "id: 9\ndata: a\ndata: b\n\n", "data: a\r\n\r\n", "data:a\n\ndata", ": note\n\nid: x\n\ndata: [DONE]\n\n",
		"\n\n\n", "data\n\n", "data:\ndata: x\n\n", "data: a\rb\n\n", "id: \xff\ndata: :\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole := eventsOf(t, bytes.NewReader(stream))
		bytewise := eventsOf(t, iotest.OneByteReader(bytes.NewReader(stream)))
		requireSameEvents(t, bytewise, whole)
		var written strings.Builder
		for _, event := range whole {
			written.WriteString("id: " + event.ID + "\ndata: " + strings.ReplaceAll(event.Data, "\n", "\ndata: ") + "\n\n")
		}
		requireSameEvents(t, eventsOf(t, strings.NewReader(written.String())), whole)
		text := "x" + strings.ReplaceAll(string(stream), "\r", "")
		lines := "id: 1\ndata: " + strings.ReplaceAll(text, "\n", "\ndata: ") + "\n\n"
		requireSameEvents(t, eventsOf(t, strings.NewReader(lines)), []Event{{ID: "1", Data: text}})
	})
}

// eventsOf reads a stream to its end.
func eventsOf(t *testing.T, stream io.Reader) []Event {
	in := bufio.NewReader(stream)
	var events []Event
	for {
		event, err := readEvent(in, 1<<20)
		if err == io.ErrUnexpectedEOF {
			return events
		}
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, event)
	}
}

func requireSameEvents(t *testing.T, got, want []Event) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d events, want %d: %q, %q", len(got), len(want), got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("event %d is %q, want %q", i, got[i], want[i])
		}
	}
}
