package limiter

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/validator"
)

// MaxHeadBytes bounds the head of an answer of the platform, a peer or an engine, in bytes.
const MaxHeadBytes = 64 << 10

// TooLongError is the error of a text that is longer than its bound.
type TooLongError struct {
	// Limit is the bound in bytes.
	Limit int64
}

// Error tells the bound.
func (long TooLongError) Error() string {
	return fmt.Sprintf("the text is longer than %d bytes", long.Limit)
}

// ReadAll reads to the end. It returns a TooLongError if that comes after more than limit bytes.
func ReadAll(from io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err == nil && int64(len(text)) > limit {
		return nil, TooLongError{Limit: limit}
	}
	return text, err
}

// Decode reads a JSON value of at most limit bytes to the end. Errors are those of ReadAll and of
// encoding/json.
func Decode(from io.Reader, limit int64, into any) error {
	text, err := ReadAll(from, limit)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(text, into), "decode JSON")
}

// Transport returns a transport whose answers have heads of at most MaxHeadBytes, and are whole and
// valid: others are errors of package validator. The given one isn't shared and may be changed before
// the first call.
func Transport(transport *http.Transport) *validator.Transport {
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	return validator.NewTransport(transport)
}

// Client returns a client of a Transport, and a function that closes its idle connections.
func Client(transport *http.Transport) (*http.Client, func()) {
	return &http.Client{Transport: Transport(transport)}, transport.CloseIdleConnections
}
