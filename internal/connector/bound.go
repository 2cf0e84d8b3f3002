package connector

import (
	"fmt"
	"io"
	"net/http"
)

// Part is a part of what a replica sends for one exchange.
type Part uint8

const (
	// Head is the status line and the header of an answer.
	Head Part = iota + 1
	// Fields are the fields of the header.
	Fields
	// Interim are the interim (1xx) answers before it.
	Interim
	// Stray is an answer to another request.
	Stray
	// Body is the body of an answer.
	Body
	// Event is an event of a stream.
	Event
)

// String returns the part's name in logs and metrics.
func (part Part) String() string {
	return [...]string{"", "head", "fields", "interim", "stray", "body", "event"}[part]
}

// TooLongError is the error of an answer with a part that is longer than its bound. The connection
// can't carry another exchange.
type TooLongError struct {
	Part Part
	// Limit is the bound in bytes, or the greatest number of fields.
	Limit int64
}

// Error names the part and its bound.
func (long TooLongError) Error() string {
	if long.Part == Fields {
		return fmt.Sprintf("the answer has more than %d header fields", long.Limit)
	}
	return fmt.Sprintf("the answer is too long: %s of more than %d bytes", long.Part, long.Limit)
}

const (
	// maxHeadBytes bounds the head of an answer, together with the interim answers before it, in
	// bytes. Heads of replicas have some hundred bytes.
	maxHeadBytes = 16 << 10
	// maxHeadFields bounds the header fields of an answer: in memory, a short field takes many
	// times its length.
	maxHeadFields = 256
	// DefaultMaxBody is the bound of a body in bytes if the request sets none.
	DefaultMaxBody = 16 << 20
)

// boundedReader reads from a connection, up to the limit of the current part.
type boundedReader struct {
	from io.Reader
	part Part
	// limit is the bound of the part in bytes, zero if what reads it bounds it; left is what may
	// still be read.
	limit, left int64
	// exceeded reports whether more than the limit was to be read.
	exceeded bool
}

// begin starts a part.
func (reader *boundedReader) begin(part Part, limit int64) {
	reader.part, reader.limit, reader.left, reader.exceeded = part, limit, limit, false
}

// tooLong returns the error of a part that is longer than its bound.
func (reader *boundedReader) tooLong() TooLongError {
	return TooLongError{Part: reader.part, Limit: reader.limit}
}

// Read reads from the connection. It returns a TooLongError if the current part is longer than its
// bound.
func (reader *boundedReader) Read(buffer []byte) (int, error) {
	if reader.limit == 0 {
		return reader.from.Read(buffer)
	}
	if reader.left == 0 {
		reader.exceeded = true
		return 0, reader.tooLong()
	}
	count, err := reader.from.Read(buffer[:min(int64(len(buffer)), reader.left)])
	reader.left -= int64(count)
	return count, err
}

// boundedBody is a body that ends with a TooLongError if it is longer than its bound.
type boundedBody struct {
	io.ReadCloser
	limit, left int64
}

// Read reads from the body.
func (body *boundedBody) Read(buffer []byte) (int, error) {
	// One byte more than the bound shows that the body goes on.
	if int64(len(buffer)) > body.left+1 {
		buffer = buffer[:body.left+1]
	}
	count, err := body.ReadCloser.Read(buffer)
	if int64(count) > body.left {
		count, err = int(body.left), TooLongError{Part: Body, Limit: body.limit}
	}
	body.left -= int64(count)
	return count, err
}

// checkFields returns an error if a head has too many header fields.
func checkFields(header http.Header) error {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	if count > maxHeadFields {
		return TooLongError{Part: Fields, Limit: maxHeadFields}
	}
	return nil
}
