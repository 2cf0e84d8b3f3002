package relayer

import (
	"io"
	"net/http"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// requestDrainTimeout bounds the draining of a refused request's body. Callers
	// whose last bytes take longer have lost their network path.
	requestDrainTimeout = 500 * timekeeper.Millisecond
	// maxRequestDrainBytes bounds the bytes that are drained. net/http drains as many
	// on connections that are kept alive.
	maxRequestDrainBytes = 256 << 10
)

// drainRequest reads the rest of a request's body after a refusal. Closing a connection with
// unread bytes resets it, and the caller would not receive the refusal. On connections that
// are kept alive, net/http drains the body itself.
func drainRequest(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(timekeeper.In(requestDrainTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxRequestDrainBytes)
}
