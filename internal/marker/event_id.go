package marker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// EventID identifies a position in a streamed answer. It is the id field of each
// server-sent event (WHATWG HTML, section 9.2), and a caller whose connection broke
// sends it back as Last-Event-ID. It is short, since each token of an answer has
// one.
type EventID struct {
	// Instance is the replica that holds the answer.
	Instance string
	// IncarnationHash is a hash of the agent's incarnation. Other incarnations don't
	// hold the answer.
	IncarnationHash uint32
	// Serial is the number of the run in its incarnation.
	Serial uint64
	// Offset is the offset of the first byte after the event.
	Offset uint64
}

// errEventID is returned for a malformed Last-Event-ID.
var errEventID = eris.New("not an event id of this fleet")

const (
	eventIDParts = 4
	base36       = 36
	// offsetDigits is the fixed width of an offset, so that the length of an event
	// is known before its id is written. The maximum offset is 36^7 bytes, 78 GB.
	offsetDigits = 7
)

// HashIncarnation returns the hash of an incarnation for an EventID.
func HashIncarnation(incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(strconv.FormatUint(incarnation, base36)))
}

// String returns the id as written in the id field of an event.
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

// ParseEventID parses a Last-Event-ID.
func ParseEventID(text string) (EventID, error) {
	const maxLength = 256
	parts := strings.Split(text, ".")
	if len(text) > maxLength || len(parts) < eventIDParts {
		return EventID{}, errEventID
	}
	numbers := parts[len(parts)-3:]
	hash, errHash := strconv.ParseUint(numbers[0], base36, 32)
	serial, errSerial := strconv.ParseUint(numbers[1], base36, 64)
	offset, errOffset := strconv.ParseUint(numbers[2], base36, 64)
	if errHash != nil || errSerial != nil || errOffset != nil {
		return EventID{}, errEventID
	}
	instance := strings.Join(parts[:len(parts)-3], ".")
	return EventID{Instance: instance, IncarnationHash: uint32(hash), Serial: serial, Offset: offset}, nil
}
