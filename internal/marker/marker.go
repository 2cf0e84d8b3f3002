package runner

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// EventID names a place in a streamed answer. It stands in the id field of
// each server-sent event (WHATWG HTML, section 9.2), and a caller whose
// connection broke sends it back as Last-Event-ID. It is short, since each
// token of an answer carries one.
type EventID struct {
	// Instance is the replica that holds the answer.
	Instance string
	// Mark is a hash of the agent's incarnation; another incarnation knows
	// nothing of the answer.
	Mark uint32
	// Serial counts the runs of the incarnation.
	Serial uint64
	// Offset is where the bytes after the event begin.
	Offset uint64
}

// errEventID is returned for a Last-Event-ID that no agent has written.
var errEventID = eris.New("not an event id of this fleet")

const (
	eventIDParts = 4
	base36       = 36
	// offsetDigits is the fixed width of an offset: with it the length of an
	// event is known before its id is written. It holds 36^7 bytes, 78 GB.
	offsetDigits = 7
)

// markOf returns the mark of an incarnation.
func markOf(incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(strconv.FormatUint(incarnation, base36)))
}

// String returns the id as it stands in an event.
func (id EventID) String() string {
	return string(id.append(nil))
}

// append appends the id to out.
func (id EventID) append(out []byte) []byte {
	out = append(out, id.Instance...)
	out = append(out, '.')
	out = strconv.AppendUint(out, uint64(id.Mark), base36)
	out = append(out, '.')
	out = strconv.AppendUint(out, id.Serial, base36)
	out = append(out, '.')
	var digits [16]byte
	offset := strconv.AppendUint(digits[:0], id.Offset, base36)
	for range offsetDigits - len(offset) {
		out = append(out, '0')
	}
	return append(out, offset...)
}

// ParseEventID reads a Last-Event-ID.
func ParseEventID(text string) (EventID, error) {
	const longest = 256
	parts := strings.Split(text, ".")
	if len(text) > longest || len(parts) < eventIDParts {
		return EventID{}, errEventID
	}
	numbers := parts[len(parts)-3:]
	mark, errMark := strconv.ParseUint(numbers[0], base36, 32)
	serial, errSerial := strconv.ParseUint(numbers[1], base36, 64)
	offset, errOffset := strconv.ParseUint(numbers[2], base36, 64)
	if errMark != nil || errSerial != nil || errOffset != nil {
		return EventID{}, errEventID
	}
	instance := strings.Join(parts[:len(parts)-3], ".")
	return EventID{Instance: instance, Mark: uint32(mark), Serial: serial, Offset: offset}, nil
}

// eventMarker rewrites a stream of server-sent events so that each carries the
// id of the place behind it. An id of the upstream's own is left out, since a
// caller can send back only one.
type eventMarker struct {
	id      EventID
	pending []byte
	// width is the length of an id of this stream, which is fixed; zero until
	// the first event.
	width int
}

// longestEvent bounds the bytes held back while an event is not whole.
const longestEvent = 256 << 10

var errEventTooLong = eris.New("an event of the stream is over the limit")

// mark appends to out the whole events among the bytes so far, with ids. It
// returns an error for an event over longestEvent bytes.
func (marker *eventMarker) mark(out, part []byte) ([]byte, error) {
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

// rest returns what is left when the stream ended inside an event.
func (marker *eventMarker) rest() []byte {
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

func (marker *eventMarker) rewrite(out, event []byte) []byte {
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
