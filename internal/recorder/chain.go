package recorder

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ObjectPrefix is the start of every segment's object name.
const ObjectPrefix = "record/"

// EntryGroup is the group of entries in segment names, where agents have their service.
const EntryGroup = "entry"

// OperatorGroup is the group of operators' commands in segment names.
const OperatorGroup = "operator"

// Origin identifies one incarnation of one process.
type Origin struct {
	// Group is the service of an agent, EntryGroup or OperatorGroup.
	Group       string `json:"group"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns the origin as it appears in the names of its segments.
func (origin Origin) String() string {
	return fmt.Sprintf("%s/%s/%016x", origin.Group, origin.Name, origin.Incarnation)
}

// ObjectName returns the name of the segment that starts with sequence number first.
func (origin Origin) ObjectName(first uint64) string {
	return fmt.Sprintf("%s%s/%012d", ObjectPrefix, origin, first)
}

// ParseObjectName returns the origin and the first sequence number from a
// segment's name.
func ParseObjectName(name string) (Origin, uint64, error) {
	parts := strings.Split(strings.TrimPrefix(name, ObjectPrefix), "/")
	const nameParts = 4
	if len(parts) != nameParts {
		return Origin{}, 0, eris.Errorf("%q is not the name of a segment", name)
	}
	origin := Origin{Group: parts[0], Name: parts[1]}
	var first uint64
	if _, err := fmt.Sscanf(parts[2]+" "+parts[3], "%x %d", &origin.Incarnation, &first); err != nil {
		return Origin{}, 0, eris.Wrapf(err, "%q is not the name of a segment", name)
	}
	if origin.ObjectName(first) != name {
		return Origin{}, 0, eris.Errorf("%q is not the name of a segment", name)
	}
	return origin, first, nil
}

// Link is the hash over all records of a chain up to one position.
type Link [sha256.Size]byte

// Genesis returns the link that precedes an origin's first record.
func Genesis(origin Origin) Link {
	return sha256.Sum256([]byte("trefoilseam record 1 " + origin.String()))
}

// Next returns the link after a record with the given bytes.
func (link Link) Next(record []byte) Link {
	hash := sha256.New()
	_, _ = hash.Write(link[:])
	_, _ = hash.Write(record)
	var next Link
	hash.Sum(next[:0])
	return next
}

// Record is an event with its sequence number in the chain.
type Record struct {
	Sequence uint64 `json:"seq"`
	Event
}

// bytes returns the record as it is hashed and stored. Fields are encoded in the
// order of the type, so equal records have equal bytes.
func (record Record) bytes() []byte {
	text, err := json.Marshal(record)
	if err != nil {
		panic(unencodable)
	}
	return text
}

const unencodable = "recorder: an event holds a value that JSON can't write"

// Chain builds the segments of one incarnation. It does no I/O and is not safe
// for concurrent use.
type Chain struct {
	origin   Origin
	sequence uint64
	link     Link
	open     *builder
}

// NewChain returns the empty chain of an origin.
func NewChain(origin Origin) *Chain {
	return &Chain{origin: origin, link: Genesis(origin)}
}

// Add appends an event and returns the size of the open segment in bytes, before
// compression.
func (chain *Chain) Add(event Event) int {
	if chain.open == nil {
		chain.open = newBuilder(chain.origin, chain.sequence+1, chain.link)
	}
	chain.sequence++
	line := Record{Sequence: chain.sequence, Event: event}.bytes()
	chain.link = chain.link.Next(line)
	chain.open.add(line, chain.link)
	return chain.open.size()
}

// Seal closes the open segment and returns it, or false when it holds no record.
func (chain *Chain) Seal() (Segment, bool) {
	if chain.open == nil {
		return Segment{}, false
	}
	segment := chain.open.seal(chain.sequence, chain.link)
	chain.open = nil
	return segment, true
}
