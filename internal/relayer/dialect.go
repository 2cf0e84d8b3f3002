package relayer

import (
	"net/http"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Call is what a caller says about its request beside method, path and body.
type Call struct {
	// ID names this try of the caller.
	ID  string
	Key string
	// Deadline is how long the caller waits; zero means that it didn't say.
	Deadline timekeeper.Span
	// Parts is the prompt, root first; nil when there is none.
	Parts []balancer.Part
	// MaxOutputTokens is the most tokens of the answer.
	MaxOutputTokens int
}

// Dispatch is what the entry says about a request to a replica.
type Dispatch struct {
	Call Call
	// Remaining is how long the replica may work.
	Remaining timekeeper.Span
	// Replica is the incarnation that is meant; any other refuses.
	Replica string
	// Team is the caller's team, or "" on public routes.
	Team string
	// Priority orders requests at an engine, from 0, which is first, to 9;
	// negative means none.
	Priority int
	// Source is the address of a replica from which this one may fetch what it lacks
	// of the prompt, or "".
	Source string
	// LastEventID is the last event that the caller has of a stream that goes on; ""
	// leaves what the caller said.
	LastEventID string
}

// Head is what a replica says in the head of an answer.
type Head struct {
	// ID is the request that it answers, or "".
	ID string
	// Signed reports whether the replica vouches for the answer.
	Signed bool
	// NotRun reports whether the replica states that it did not run the request.
	NotRun bool
	// Misdirected reports whether another replica answered than the one that was meant:
	// what else the head says is not about the one that was meant.
	Misdirected bool
	// Leaving reports whether the replica says that it leaves.
	Leaving bool
	// Backoff is for how long a replica that refuses wants nothing from this entry; zero
	// means that it doesn't say. BackoffFault is what was wrong with that time, or "".
	Backoff      timekeeper.Span
	BackoffFault string
	// Encoded answers are not the bytes that the replica sent.
	Encoded bool
	// Load is nil when the replica didn't tell.
	Load *balancer.LoadReport
}

// Dialect translates between HTTP messages and the types of this package. All
// fields must be set.
type Dialect struct {
	// ReadCall reads the head of a caller's request.
	ReadCall func(r *http.Request) (Call, error)
	// Dispatch returns the header for a replica.
	Dispatch func(r *http.Request, dispatch Dispatch) http.Header
	// ReadHead reads the head of a replica's answer.
	ReadHead func(status int, header http.Header) Head
	// CopyAnswer writes a replica's header to the answer for the caller.
	CopyAnswer func(to, from http.Header)
	// Refuse answers a request that was given up on.
	Refuse func(w http.ResponseWriter, failure classifier.Failure, requestID string)
}
