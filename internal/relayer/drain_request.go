package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// requestDrainTimeout bounds the draining of a refused request's body. Callers
	// whose last bytes take longer have lost their network path.
	requestDrainTimeout = 500 * timekeeper.Millisecond
	// maxRequestDrainBytes bounds the bytes that are drained. net/http drains as many
	// on connections that are kept alive.
	maxRequestDrainBytes = 256 << 10
	// maxLongDrainBytes and bodyTimeout are the bounds for a body that is longer than net/http
	// drains: callers may read the refusal only after they have sent the body.
	maxLongDrainBytes = defaultBodyLimit
)

// drainRequest reads the rest of a request's body after a refusal, without keeping it. Closing a
// connection with unread bytes resets it, and the caller would not receive the refusal. Short bodies
// on connections that are kept alive are drained by net/http.
func (entry *Entry) drainRequest(w http.ResponseWriter, r *http.Request) {
	isLong := r.ContentLength < 0 || r.ContentLength > maxRequestDrainBytes
	if r.ContentLength == 0 || !r.Close && !isLong {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	timeout, limit := requestDrainTimeout, int64(maxRequestDrainBytes)
	if isLong && !entry.closing.Load() {
		timeout, limit = bodyTimeout, maxLongDrainBytes
	}
	_ = control.SetReadDeadline(timekeeper.In(timeout))
	if _, err := io.CopyN(io.Discard, r.Body, limit); eris.Is(err, io.EOF) {
		_ = control.SetReadDeadline(time.Time{})
	}
}
