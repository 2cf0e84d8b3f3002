package classifier

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Failure is an error with a Kind. It is an immutable value.
type Failure struct {
	Kind       Kind
	Detail     string
	RetryAfter timekeeper.Span
	// LastReplica is the replica at which the chat last ran, or "".
	LastReplica string
	// Alternative is a replica with free capacity, or "".
	Alternative string
}

// New returns a failure of the kind with a detail for the caller.
func New(kind Kind, detail string) Failure {
	return Failure{Kind: kind, Detail: detail}
}

// WithRetryAfter returns the failure with the delay after which the caller may
// retry.
func (failure Failure) WithRetryAfter(span timekeeper.Span) Failure {
	failure.RetryAfter = span
	return failure
}

// Error returns the kind's name and the detail.
func (failure Failure) Error() string {
	if failure.Detail == "" {
		return failure.Kind.String()
	}
	return failure.Kind.String() + ": " + failure.Detail
}

// Of returns the failure inside err, or one of kind Internal.
func Of(err error) Failure {
	var failure Failure
	if eris.As(err, &failure) {
		return failure
	}
	return New(Internal, err.Error())
}

// Problem is the body of an answer, in the form of RFC 9457.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Ran       Ran    `json:"ran"`
	RequestID string `json:"request-id,omitempty"`
}

// Write answers a request with the problem details of the failure. It must be
// called before any part of an answer is written.
func Write(w http.ResponseWriter, failure Failure, requestID string) {
	WriteWithRetry(w, failure, requestID, strconv.FormatInt(RetrySeconds(failure.RetryAfter), 10))
}

// WriteWithRetry is like Write with the given value of Retry-After, for HTTP clients
// that expect another form than whole seconds.
func WriteWithRetry(w http.ResponseWriter, failure Failure, requestID, retryAfter string) {
	answer := AnswerOf(failure.Kind)
	body, err := json.Marshal(Problem{
		Type:      "urn:trefoilseam:" + answer.Name,
		Title:     answer.Title,
		Status:    answer.Status,
		Detail:    failure.Detail,
		Ran:       answer.Ran,
		RequestID: requestID,
	})
	if err != nil {
		http.Error(w, answer.Title, answer.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	// Without it, an answer that is flushed before the rest of the request is read has no end.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Retry {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(body)
}

// RetrySeconds returns the whole seconds of a Retry-After header: at least one,
// rounded up, so that no caller retries early.
func RetrySeconds(span timekeeper.Span) int64 {
	seconds := int64((span + timekeeper.Second - 1) / timekeeper.Second)
	return max(1, seconds)
}
