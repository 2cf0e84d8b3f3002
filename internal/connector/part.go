package connector

import "io"

// Part is a part of what a replica sends for one exchange.
type Part uint8

const (
	// Head is the status line and the header of an answer.
	Head Part = iota + 1
	// Interim are the interim (1xx) answers before it, and what is read after the first of them.
	Interim
	// Stray is an answer to another request.
	Stray
	// Body is the body of an answer.
	Body
)

// String returns the part's name in logs and metrics.
func (part Part) String() string {
	return [...]string{"", "head", "interim", "stray", "body"}[part]
}

// longPart is the length, in bytes, from which on a part is reported. It is reported again each
// time that its length has doubled.
const longPart = 1 << 20

// meteredReader counts what is read from a connection of the current part.
type meteredReader struct {
	from io.Reader
	part Part
	read int64
	// next is the length at which the part is reported.
	next int64
	// onLong is called with a long part.
	onLong func(part Part, read int64)
}

// begin starts a part.
func (reader *meteredReader) begin(part Part) {
	reader.part, reader.read, reader.next = part, 0, longPart
}

// Read reads from the connection.
func (reader *meteredReader) Read(buffer []byte) (int, error) {
	count, err := reader.from.Read(buffer)
	reader.read += int64(count)
	for reader.read >= reader.next {
		reader.onLong(reader.part, reader.read)
		reader.next *= 2
	}
	return count, err
}
