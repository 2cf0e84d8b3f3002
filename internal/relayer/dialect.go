package relayer

import (
	"net/http"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Call is the metadata of a caller's request, beside method, path and body.
type Call struct {
	// ID identifies this one of the caller's tries.
	ID string
	// Key is the caller's team key.
	Key string
	// Deadline is how long the caller waits; zero means that it is not stated.
	Deadline timekeeper.Span
	// Parts are the parts of the prompt, root first; nil when there is none.
	Parts []balancer.Part
	// MaxOutputTokens limits the tokens of the answer.
	MaxOutputTokens int
	// LastEventID is the last event that the caller has of a stream which it takes up, and Resumes
	// the ID of the try that brought the first one. Both are "" for a new stream.
	LastEventID, Resumes string
}

// TakesUpStream reports whether the caller already has events of the stream.
func (call Call) TakesUpStream() bool { return call.LastEventID != "" || call.Resumes != "" }

// Dispatch is the metadata that the entry sends with a request to a replica.
type Dispatch struct {
	Call Call
	// Remaining is how long the replica may take.
	Remaining timekeeper.Span
	// Replica is the ID of the intended replica; any other replica refuses the request.
	Replica string
	// Team is the caller's team, or "" on public routes.
	Team string
	// Priority orders requests at an engine, from 0 (first) to 9; negative means
	// none.
	Priority int
	// Source is the address of a replica from which this one may fetch cached prompt
	// parts that it lacks, or "".
	Source string
	// LastEventID is the last event that the caller has of a stream that is resumed;
	// "" keeps the caller's own header.
	LastEventID string
}

// Head is the metadata in the head of a replica's answer.
type Head struct {
	// ID is the request ID that the replica echoes, or "".
	ID string
	// Signed reports whether the replica vouches for the answer: the signature header is
	// present. Its value isn't checked.
	Signed bool
	// NotRun reports whether the replica states that it did not run the request.
	NotRun bool
	// Misdirected reports whether another replica than the intended one answered: the
	// other fields are then not about the intended replica.
	Misdirected bool
	// Leaving reports whether the replica states that it leaves.
	Leaving bool
	// Backoff is how long a replica that refuses wants no requests from this entry; zero
	// means that it is not stated. BackoffFault says why that time is invalid, or is "".
	Backoff      timekeeper.Span
	BackoffFault string
	// Encoded reports whether the answer has a content encoding: its body is then not the
	// bytes that the replica sent.
	Encoded bool
	// Load is nil when the replica does not report it. LoadFault says what of the report could not
	// be used.
	Load      *balancer.LoadReport
	LoadFault LoadFault
	// Replica is the ID that the replica states, or "".
	Replica string
	// ColdFor is how much longer the replica says that it is cold; zero if it doesn't say so.
	ColdFor timekeeper.Span
}

// Dialect translates between HTTP messages and the types of this package. All
// fields must be set.
type Dialect struct {
	// ReadCall parses the head of a caller's request.
	ReadCall func(r *http.Request) (Call, error)
	// Dispatch returns the header of a request to a replica.
	Dispatch func(r *http.Request, dispatch Dispatch) http.Header
	// CheckHealth returns the header of a health check of a replica.
	CheckHealth func(replica string) http.Header
	// ReadHead parses the head of a replica's answer.
	ReadHead func(status int, header http.Header) Head
	// CopyAnswer copies a replica's header to the answer for the caller.
	CopyAnswer func(to, from http.Header)
	// Refuse answers a request with a failure instead of a replica's answer.
	Refuse func(w http.ResponseWriter, failure classifier.Failure, requestID string)
}
