package marker

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// Marker rewrites a stream of server-sent events so that the id of each event
// gives the position after it. It removes ids of the upstream, since a caller can
// send back only one.
type Marker struct {
	id EventID
	// pending holds the bytes of an incomplete event.
	pending []byte
	// idLength is the fixed length of the ids of this stream; zero until the first
	// event.
	idLength int
}

// New returns a marker for a stream whose first event begins at the position id.
func New(id EventID) *Marker { return &Marker{id: id} }

// maxEventBytes limits the bytes that are buffered until an event is complete.
const maxEventBytes = 256 << 10

var errEventTooLong = eris.New("an event of the stream is over the limit")

// Mark reads part and appends the events that are now complete to out, with ids.
// It returns an error if an incomplete event exceeds maxEventBytes.
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
	if len(marker.pending) > maxEventBytes {
		return nil, errEventTooLong
	}
	return out, nil
}

// Rest returns the bytes of an incomplete event at the end of the stream.
func (marker *Marker) Rest() []byte {
	return marker.pending
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// cutEvent splits off the first complete event, with the blank line that ends it.
func cutEvent(stream []byte) (event, rest []byte, found bool) {
	end := blankLineEnd(stream, blankLine)
	if endCRLF := blankLineEnd(stream, blankLineCRLF); endCRLF > 0 && (end == 0 || endCRLF < end) {
		end = endCRLF
	}
	return stream[:end], stream[end:], end > 0
}

// blankLineEnd returns the offset after the first blank line, or zero if there is none.
func blankLineEnd(stream, blank []byte) int {
	at := bytes.Index(stream, blank)
	if at < 0 {
		return 0
	}
	return at + len(blank)
}

// rewrite appends the event to out with the marker's id in place of its own.
func (marker *Marker) rewrite(out, event []byte) []byte {
	const field, newline = "id: ", "\n"
	if marker.idLength == 0 {
		marker.idLength = len(marker.id.append(nil))
	}
	body := withoutID(event)
	marker.id.Offset += uint64(len(field) + marker.idLength + len(newline) + len(body))
	out = append(out, field...)
	out = marker.id.append(out)
	out = append(out, newline...)
	return append(out, body...)
}

// withoutID returns the event without its id lines.
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
