package marker

import (
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
	// IncarnationHash is a hash of the agent's incarnation; another incarnation knows
	// nothing of the answer.
	IncarnationHash uint32
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

// HashIncarnation returns the mark of an incarnation.
func HashIncarnation(incarnation uint64) uint32 {
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
	out = strconv.AppendUint(out, uint64(id.IncarnationHash), base36)
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
	return EventID{Instance: instance, IncarnationHash: uint32(mark), Serial: serial, Offset: offset}, nil
}
