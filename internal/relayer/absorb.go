package relayer

import (
	"io"
	"net/http"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// absorbPatience bounds the time for which the rest of a refused body is read:
	// callers whose last bytes take longer have lost their path.
	absorbPatience = 500 * timekeeper.Millisecond
	// absorbBytes bounds what is read of it; net/http reads as much where the
	// connection is kept.
	absorbBytes = 256 << 10
)

// absorb reads what is left of a request's body behind a refusal. A connection that is
// closed with unread bytes is reset, and the caller would not see the refusal. Where the
// connection is kept, net/http does the same.
func absorb(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(timekeeper.In(absorbPatience))
	_, _ = io.CopyN(io.Discard, r.Body, absorbBytes)
}
