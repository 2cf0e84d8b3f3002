package marker

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// Marker rewrites a stream of server-sent events so that each carries the
// id of the place behind it. An id of the upstream's own is left out, since a
// caller can send back only one.
type Marker struct {
	id      EventID
	pending []byte
	// width is the length of an id of this stream, which is fixed; zero until
	// the first event.
	width int
}

// New returns a marker for a stream whose first event begins at id.
func New(id EventID) *Marker { return &Marker{id: id} }

// longestEvent bounds the bytes held back while an event is not whole.
const longestEvent = 256 << 10

var errEventTooLong = eris.New("an event of the stream is over the limit")

// Mark appends to out the whole events among the bytes so far, with ids. It
// returns an error for an event over longestEvent bytes.
func (marker *Marker) Mark(out, part []byte) ([]byte, error) {
	marker.pending = append(marker.pending, part...)
	stream := marker.pending
	for {
		event, rest, found := cutEvent(stream)
		if !found {
			break
		}
		out = marker.rewrite(out, event)
		stream = rest
	}
	marker.pending = marker.pending[:copy(marker.pending, stream)]
	if len(marker.pending) > longestEvent {
		return nil, errEventTooLong
	}
	return out, nil
}

// Rest returns what is left when the stream ended inside an event.
func (marker *Marker) Rest() []byte {
	return marker.pending
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// cutEvent splits the first whole event off, with the blank line that ends it.
func cutEvent(stream []byte) (event, rest []byte, found bool) {
	end := endOf(stream, blankLine)
	if other := endOf(stream, blankLineCRLF); other > 0 && (end == 0 || other < end) {
		end = other
	}
	return stream[:end], stream[end:], end > 0
}

// endOf returns where the first blank line ends, and zero when there is none.
func endOf(stream, blank []byte) int {
	at := bytes.Index(stream, blank)
	if at < 0 {
		return 0
	}
	return at + len(blank)
}

func (marker *Marker) rewrite(out, event []byte) []byte {
	const field, newline = "id: ", "\n"
	if marker.width == 0 {
		marker.width = len(marker.id.append(nil))
	}
	body := withoutID(event)
	marker.id.Offset += uint64(len(field) + marker.width + len(newline) + len(body))
	out = append(out, field...)
	out = marker.id.append(out)
	out = append(out, newline...)
	return append(out, body...)
}

func withoutID(event []byte) []byte {
	if !bytes.HasPrefix(event, []byte("id:")) && !bytes.Contains(event, []byte("\nid:")) {
		return event
	}
	var out []byte
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, []byte("id:")) {
			out = append(out, line...)
		}
	}
	return out
}
