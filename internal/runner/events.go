package runner

import (
	"bytes"
	"fmt"
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
	offset := strconv.FormatUint(id.Offset, base36)
	padding := strings.Repeat("0", max(0, offsetDigits-len(offset)))
	return fmt.Sprintf("%s.%s.%s.%s%s", id.Instance, strconv.FormatUint(uint64(id.Mark), base36),
		strconv.FormatUint(id.Serial, base36), padding, offset)
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
}

// longestEvent bounds the bytes held back while an event is not whole.
const longestEvent = 256 << 10

var errEventTooLong = eris.New("an event of the stream is over the limit")

// mark takes in bytes of the stream and returns the whole events among them,
// with ids. It returns an error for an event over longestEvent bytes.
func (marker *eventMarker) mark(part []byte) ([]byte, error) {
	marker.pending = append(marker.pending, part...)
	var out []byte
	for {
		event, rest, found := cutEvent(marker.pending)
		if !found {
			break
		}
		out = append(out, marker.rewrite(event)...)
		marker.pending = rest
	}
	if len(marker.pending) > longestEvent {
		return nil, errEventTooLong
	}
	marker.pending = append([]byte(nil), marker.pending...)
	return out, nil
}

// rest returns what is left when the stream ended inside an event.
func (marker *eventMarker) rest() []byte {
	return marker.pending
}

// cutEvent splits the first whole event off, with the blank line that ends it.
func cutEvent(stream []byte) (event, rest []byte, found bool) {
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.Index(stream, blank); at >= 0 {
			end := at + len(blank)
			return stream[:end], stream[end:], true
		}
	}
	return nil, stream, false
}

func (marker *eventMarker) rewrite(event []byte) []byte {
	body := withoutID(event)
	const field, newline = "id: ", "\n"
	length := len(field) + len(marker.id.String()) + len(newline) + len(body)
	marker.id.Offset += uint64(length)
	out := make([]byte, 0, length)
	out = append(out, field...)
	out = append(out, marker.id.String()...)
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
